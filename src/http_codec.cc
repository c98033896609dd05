// Uses the parser of Boost.Beast. libwebsockets 4.1 would not do for a proxy, which must forward
// messages unchanged: it decodes and normalises request paths, cannot enumerate header fields that
// it does not know, and does not accept chunked request bodies.
#include "http_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace http = boost::beast::http;

namespace endivecleat {
namespace {

// Maximum size of an incomplete chunk header or trailer section of a request.
constexpr size_t kMaxPendingBytes = 16384;

template <class Parser>
void Prepare(Parser& parser, const MessageLimits& limits) {
  parser.eager(true);
  parser.body_limit(limits.body.value());
  parser.header_limit(static_cast<uint32_t>(limits.header.value()));
}

template <class Fields>
HeaderList CopyHeaders(const Fields& fields) {
  HeaderList headers;
  for (const auto& field : fields) {
    headers.Add(std::string(field.name_string()), std::string(field.value()));
  }
  return headers;
}

int StatusFor(const boost::beast::error_code& error) {
  if (error == http::error::header_limit) {
    return 431;
  }
  if (error == http::error::body_limit || error == http::error::buffer_overflow) {
    return 413;
  }
  return 400;
}

bool IsKnownMethod(http::verb verb) {
  switch (verb) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::post:
    case http::verb::put:
    case http::verb::delete_:
    case http::verb::patch:
    case http::verb::options:
      return true;
    default:
      return false;
  }
}

bool NeedsLength(http::verb verb) {
  return verb == http::verb::post || verb == http::verb::put || verb == http::verb::patch;
}

bool IsText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char each) {
    const auto byte = static_cast<unsigned char>(each);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7F);
  });
}

bool IsToken(std::string_view text) {
  return !text.empty() && IsText(text) && text.find_first_of(" \t") == std::string_view::npos;
}

bool IsFieldWritable(const Header& header) {
  return IsToken(header.name) && header.name.find(':') == std::string::npos && IsText(header.value);
}

bool IsFramingField(const std::string& name) {
  return EqualIgnoringCase(name, "content-length") ||
         EqualIgnoringCase(name, "transfer-encoding") || EqualIgnoringCase(name, "connection") ||
         EqualIgnoringCase(name, "keep-alive");
}

void AppendField(std::string& head, std::string_view name, std::string_view value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

void AppendFields(std::string& head, const HeaderList& headers) {
  for (const Header& header : headers) {
    if (!IsFramingField(header.name) && IsFieldWritable(header)) {
      AppendField(head, header.name, header.value);
    }
  }
}

/// Feeds the parser and removes the consumed bytes from input.
template <class Parser>
boost::beast::error_code Put(Parser& parser, std::string& input) {
  boost::beast::error_code error;
  input.erase(0, parser.put(boost::asio::buffer(input), error));
  return error;
}

}  // namespace

struct RequestReader::Parser : http::request_parser<http::string_body> {};

RequestReader::RequestReader(MessageLimits limits) : limits_(limits) {
  parser_ = std::make_unique<Parser>();
  Prepare(*parser_, limits_);
}

RequestReader::~RequestReader() = default;

ReadStatus RequestReader::Bad(int status) {
  error_status_ = status;
  return ReadStatus::kBad;
}

ReadStatus RequestReader::Feed(std::string& input) {
  if (!started()) {
    // RFC 9112, section 2.2: an empty line before a request is ignored.
    while (input.starts_with("\r\n")) {
      input.erase(0, 2);
    }
  }
  if (input.empty() || (!started() && input == "\r")) {
    return ReadStatus::kNeedMore;
  }
  if (!parser_->is_header_done()) {
    parser_->eager(false);  // stop after the header: it is validated before the body is read
    started_ = true;
    const auto error = Put(*parser_, input);
    if (error && error != http::error::need_more) {
      return Bad(StatusFor(error));
    }
    if (!parser_->is_header_done()) {
      return ReadStatus::kNeedMore;
    }
    parser_->eager(true);
  }
  if (!header_checked_) {
    header_checked_ = true;
    if (const ReadStatus status = CheckHeader(); status == ReadStatus::kBad) {
      return status;
    }
  }
  while (!parser_->is_done() && !input.empty()) {
    const auto error = Put(*parser_, input);
    if (error == http::error::need_more) {
      return input.size() > kMaxPendingBytes ? Bad(400) : ReadStatus::kNeedMore;
    }
    if (error) {
      return Bad(StatusFor(error));
    }
  }
  return parser_->is_done() ? ReadStatus::kComplete : ReadStatus::kNeedMore;
}

ReadStatus RequestReader::CheckHeader() {
  const auto& message = parser_->get();
  const auto transfer_encoding = message.find(http::field::transfer_encoding);
  if (transfer_encoding != message.end() &&
      !boost::beast::iequals(transfer_encoding->value(), "chunked")) {
    return Bad(501);
  }
  if (!IsKnownMethod(message.method())) {
    return Bad(501);
  }
  const bool new_version = message.version() >= 11;
  if ((new_version && message.count(http::field::host) != 1) ||
      message.count(http::field::host) > 1 || message.target().empty()) {
    return Bad(400);
  }
  const char first = message.target().front();
  if (first != '/' && message.target() != "*") {
    return Bad(400);
  }
  if (NeedsLength(message.method()) && !parser_->chunked() && !parser_->content_length()) {
    return Bad(411);
  }
  expect_continue_ = new_version && !parser_->is_done() &&
                     boost::beast::iequals(message[http::field::expect], "100-continue");
  return ReadStatus::kNeedMore;
}

bool RequestReader::TakeExpectContinue() { return std::exchange(expect_continue_, false); }

HttpRequest RequestReader::Take() {
  keep_alive_ = parser_->keep_alive();
  auto message = parser_->release();
  HttpRequest request;
  request.method = std::string(message.method_string());
  const std::string target(message.target());
  const size_t query = target.find('?');
  request.path = target.substr(0, query);
  request.query = query == std::string::npos ? "" : target.substr(query + 1);
  request.headers = CopyHeaders(message);
  request.body = std::move(message.body());

  parser_ = std::make_unique<Parser>();
  Prepare(*parser_, limits_);
  started_ = false;
  header_checked_ = false;
  expect_continue_ = false;
  return request;
}

struct ResponseReader::Parser : http::response_parser<http::string_body> {};

ResponseReader::ResponseReader(MessageLimits limits) : limits_(limits) { Expect("GET"); }

ResponseReader::~ResponseReader() = default;

void ResponseReader::Expect(const std::string& method) {
  head_ = method == "HEAD";
  parser_ = std::make_unique<Parser>();
  Prepare(*parser_, limits_);
  parser_->skip(head_);
}

ReadStatus ResponseReader::Feed(std::string& input) {
  while (!input.empty()) {
    const auto error = Put(*parser_, input);
    if (error && error != http::error::need_more) {
      return ReadStatus::kBad;
    }
    if (parser_->is_done()) {
      const unsigned status = parser_->get().result_int();
      if (status == 101) {
        return ReadStatus::kBad;
      }
      if (status >= 200) {
        return ReadStatus::kComplete;
      }
      Expect(head_ ? "HEAD" : "GET");  // interim (1xx) response: the final one follows
    } else if (error) {
      return input.size() > limits_.header.value() ? ReadStatus::kBad : ReadStatus::kNeedMore;
    }
  }
  return ReadStatus::kNeedMore;
}

ReadStatus ResponseReader::FeedEnd() {
  if (!parser_->is_header_done() || !parser_->need_eof()) {
    return ReadStatus::kBad;
  }
  boost::beast::error_code error;
  parser_->put_eof(error);
  return error || !parser_->is_done() ? ReadStatus::kBad : ReadStatus::kComplete;
}

HttpResponse ResponseReader::Take() {
  keep_alive_ = parser_->keep_alive();
  auto message = parser_->release();
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  response.headers = CopyHeaders(message);
  response.body = std::move(message.body());
  return response;
}

bool IsWritable(const HttpRequest& request) {
  return IsToken(request.method) && IsToken(request.path) &&
         (request.query.empty() || IsToken(request.query)) &&
         std::all_of(request.headers.begin(), request.headers.end(), IsFieldWritable);
}

std::string RequestHead(const HttpRequest& request, const std::string& host) {
  std::string head = request.method + " " + request.path;
  if (!request.query.empty()) {
    head.append("?").append(request.query);
  }
  head.append(" HTTP/1.1\r\n");
  if (!request.headers.Contains("host")) {
    AppendField(head, "Host", host);
  }
  AppendFields(head, request.headers);
  const http::verb verb = http::string_to_verb(request.method);
  if (!request.body.empty() || NeedsLength(verb)) {
    AppendField(head, "Content-Length", std::to_string(request.body.size()));
  }
  return head.append("\r\n");
}

bool HasBody(int status, bool answers_head) {
  return !answers_head && status >= 200 && status != 204 && status != 304;
}

std::string ResponseHead(const HttpResponse& response, bool answers_head, bool keep_alive) {
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + " ";
  const auto reason = http::obsolete_reason(http::int_to_status(response.status));
  head.append(reason.data(), reason.size()).append("\r\n");
  AppendFields(head, response.headers);
  if (HasBody(response.status, answers_head)) {
    AppendField(head, "Content-Length", std::to_string(response.body.size()));
  } else if (answers_head) {
    const std::string size = std::to_string(response.body.size());
    AppendField(head, "Content-Length", response.headers.ValueOr("content-length", size));
  }
  if (!keep_alive) {
    AppendField(head, "Connection", "close");
  }
  return head.append("\r\n");
}

}  // namespace endivecleat
