// Uses the parser of Boost.Beast. libwebsockets 4.1 would not do for a proxy, which must forward
// messages unchanged: it decodes and normalises request paths, cannot enumerate header fields that
// it does not know, and does not accept chunked request bodies.
#include "http_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>
#include <iterator>
#include <optional>
#include <string_view>

namespace http = boost::beast::http;

namespace endivecleat {
namespace {

// Maximum size of an incomplete chunk header or trailer section of a request.
constexpr size_t kMaxPendingBytes = 16384;
// Interim responses before a final one; a server sends one or two at most.
constexpr size_t kMaxInterimResponses = 16;
// Bytes of a chunked body as sent, for each byte of content: chunks of one byte take six. A client
// that sends more, in extensions of chunks, would keep the parser busy without an end.
constexpr uint64_t kMaxFramingFactor = 16;
constexpr uint64_t kFramingAllowance = 64U << 10U;
// Estimated memory of a header field beside its text, in the parser and in a HeaderList.
constexpr size_t kFieldOverheadBytes = 128;
constexpr std::string_view kResponseStart = "HTTP/1.";

template <class Parser>
void ConfigureParser(Parser& parser, const MessageLimits& limits) {
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

bool IsSupportedMethod(http::verb verb) {
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

bool RequiresContentLength(http::verb verb) {
  return verb == http::verb::post || verb == http::verb::put || verb == http::verb::patch;
}

/// Whether the text has no control character but tab, as required of a field value.
bool IsFieldText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7F);
  });
}

/// Whether the text is non-empty and has no spaces, tabs or control characters.
bool IsVisibleText(std::string_view text) {
  return !text.empty() && IsFieldText(text) && text.find_first_of(" \t") == std::string_view::npos;
}

bool IsFieldSerializable(const Header& header) {
  return IsVisibleText(header.name) && header.name.find(':') == std::string::npos &&
         IsFieldText(header.value);
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
    if (!IsFramingField(header.name) && IsFieldSerializable(header)) {
      AppendField(head, header.name, header.value);
    }
  }
}

bool MayBeginResponse(std::string_view input) {
  const std::string_view start = input.substr(0, kResponseStart.size());
  return kResponseStart.starts_with(start);
}

/// Whether a response may have this status (RFC 9110, section 15). 101 answers an upgrade, which no
/// request asks for.
bool IsExpectedStatus(unsigned status) { return status >= 100 && status <= 599 && status != 101; }

/// Feeds the parser and removes the consumed bytes from input.
template <class Parser>
boost::beast::error_code FeedParser(Parser& parser, std::string& input) {
  boost::beast::error_code error;
  input.erase(0, parser.put(boost::asio::buffer(input), error));
  return error;
}

/// Feeds the parser until the end of the head at most. The parser grants its limit of the head anew
/// whenever it has consumed a part, so the bytes of the whole head are counted here.
template <class Parser>
boost::beast::error_code FeedHead(Parser& parser, size_t limit, size_t& head_bytes,
                                  std::string& input) {
  boost::beast::error_code error;
  const size_t allowed = std::min(input.size(), limit - head_bytes);
  parser.eager(false);
  const size_t consumed = parser.put(boost::asio::buffer(input.data(), allowed), error);
  parser.eager(true);
  input.erase(0, consumed);
  head_bytes += consumed;
  const bool incomplete = !error || error == http::error::need_more;
  if (incomplete && !parser.is_header_done() && head_bytes + input.size() >= limit) {
    error = http::error::header_limit;
  }
  return error;
}

}  // namespace

namespace {

// A body that grows as it arrives. The string_body of Beast reserves the announced length at once.
struct GrowingBody {
  using value_type = std::string;

  class reader {  // NOLINT(readability-identifier-naming): the name is required by Beast
   public:
    template <bool is_request, class Fields>
    reader(http::header<is_request, Fields>& /*header*/, value_type& body) : body_(body) {}

    static void init(const boost::optional<uint64_t>& /*length*/, boost::beast::error_code& error) {
      error = {};
    }
    template <class Buffers>
    size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      const size_t before = body_.size();
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return body_.size() - before;
    }
    static void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

template <class Message>
HttpRequest CopyHead(const Message& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  const std::string target(message.target());
  const size_t query = target.find('?');
  request.path = target.substr(0, query);
  request.query = query == std::string::npos ? "" : target.substr(query + 1);
  request.headers = CopyHeaders(message);
  return request;
}

}  // namespace

struct RequestReader::Parser : http::request_parser<GrowingBody> {};

RequestReader::RequestReader(MessageLimits limits) : limits_(limits) { Reset(); }

void RequestReader::ResetParser() {
  parser_ = std::make_unique<Parser>();
  MessageLimits limits = limits_;
  if (stream_policy_) {
    // The smaller limit is checked once it is known whether the body is streamed.
    limits.body = std::max(limits.body, limits.streamed_body);
  }
  ConfigureParser(*parser_, limits);
  head_limit_ = limits.header.value();
  head_bytes_ = 0;
  streamed_head_.reset();
}

void RequestReader::SetStreamPolicy(StreamPolicy policy) {
  stream_policy_ = std::move(policy);
  ResetParser();
}

std::optional<uint64_t> RequestReader::content_length() const {
  const auto length = parser_->content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

std::string RequestReader::TakeBody() {
  content_bytes_ += parser_->get().body().size();
  return std::exchange(parser_->get().body(), {});
}

bool RequestReader::streamed_keep_alive() const { return parser_->keep_alive(); }

bool RequestReader::BodyTooLarge() const {
  return !streamed_head_ && parser_->get().body().size() > limits_.body.value();
}

ReadStatus RequestReader::CheckBodyPolicy() {
  if (!stream_policy_ || parser_->is_done()) {
    return ReadStatus::kNeedMore;
  }
  const uint64_t length = content_length().value_or(UINT64_MAX);
  if (length > kMinStreamedBytes) {
    HttpRequest head = CopyHead(parser_->get());
    if (stream_policy_(head)) {
      streamed_head_ = std::make_unique<HttpRequest>(std::move(head));
      return ReadStatus::kNeedMore;
    }
  }
  return content_length() && length > limits_.body.value() ? Fail(413) : ReadStatus::kNeedMore;
}

RequestReader::~RequestReader() = default;

void RequestReader::SetLimits(const MessageLimits& limits) {
  if (limits == limits_) {
    return;
  }
  limits_ = limits;
  if (!started_) {
    ResetParser();
  }
}

void RequestReader::Reset() {
  ResetParser();
  empty_lines_ = 0;
  encoded_bytes_ = 0;
  content_bytes_ = 0;
  fields_ = 0;
  started_ = false;
  header_checked_ = false;
  expect_continue_ = false;
}

size_t RequestReader::held_bytes() const {
  return parser_->get().body().size() + fields_ * kFieldOverheadBytes;
}

/// Removes empty lines before a request (RFC 9112, section 2.2). Returns false when there are too
/// many.
bool RequestReader::SkipEmptyLines(std::string& input) {
  size_t skipped = 0;
  while (input.compare(skipped, 2, "\r\n") == 0 && empty_lines_ <= kMaxEmptyLines) {
    skipped += 2;
    ++empty_lines_;
  }
  input.erase(0, skipped);
  return empty_lines_ <= kMaxEmptyLines;
}

bool RequestReader::IsFramingExcessive() const {
  return parser_->chunked() &&
         encoded_bytes_ > kMaxFramingFactor * (content_bytes_ + parser_->get().body().size()) +
                              kFramingAllowance;
}

ReadStatus RequestReader::Fail(int status) {
  error_status_ = status;
  return ReadStatus::kError;
}

ReadStatus RequestReader::Feed(std::string& input) {
  if (!started() && !SkipEmptyLines(input)) {
    return Fail(400);
  }
  if (input.empty() || (!started() && input == "\r")) {
    return ReadStatus::kNeedMore;
  }
  if (!parser_->is_header_done()) {
    // The header is validated before the body is read.
    started_ = true;
    const auto error = FeedHead(*parser_, head_limit_, head_bytes_, input);
    if (error && error != http::error::need_more) {
      return Fail(StatusFor(error));
    }
    if (!parser_->is_header_done()) {
      return ReadStatus::kNeedMore;
    }
    const auto& fields = parser_->get();
    fields_ = static_cast<size_t>(std::distance(fields.begin(), fields.end()));
  }
  if (!header_checked_) {
    header_checked_ = true;
    if (CheckHeader() == ReadStatus::kError || CheckBodyPolicy() == ReadStatus::kError) {
      return ReadStatus::kError;
    }
  }
  while (!parser_->is_done() && !input.empty()) {
    const size_t available = input.size();
    const auto error = FeedParser(*parser_, input);
    encoded_bytes_ += available - input.size();
    if (IsFramingExcessive()) {
      return Fail(400);
    }
    if (error == http::error::need_more) {
      if (BodyTooLarge()) {
        return Fail(413);
      }
      return input.size() > kMaxPendingBytes ? Fail(400) : ReadStatus::kNeedMore;
    }
    if (error || BodyTooLarge()) {
      return Fail(error ? StatusFor(error) : 413);
    }
  }
  return parser_->is_done() ? ReadStatus::kComplete : ReadStatus::kNeedMore;
}

ReadStatus RequestReader::CheckHeader() {
  const auto& message = parser_->get();
  const auto transfer_encoding = message.find(http::field::transfer_encoding);
  if (transfer_encoding != message.end() &&
      !boost::beast::iequals(transfer_encoding->value(), "chunked")) {
    return Fail(501);
  }
  if (!IsSupportedMethod(message.method())) {
    return Fail(501);
  }
  const bool at_least_http_1_1 = message.version() >= 11;
  if ((at_least_http_1_1 && message.count(http::field::host) != 1) ||
      message.count(http::field::host) > 1 || message.target().empty()) {
    return Fail(400);
  }
  const char first = message.target().front();
  if (first != '/' && message.target() != "*") {
    return Fail(400);
  }
  if (RequiresContentLength(message.method()) && !parser_->chunked() &&
      !parser_->content_length()) {
    return Fail(411);
  }
  expect_continue_ = at_least_http_1_1 && !parser_->is_done() &&
                     boost::beast::iequals(message[http::field::expect], "100-continue");
  return ReadStatus::kNeedMore;
}

bool RequestReader::TakeExpectContinue() { return std::exchange(expect_continue_, false); }

HttpRequest RequestReader::Take() {
  keep_alive_ = parser_->keep_alive();
  auto message = parser_->release();
  HttpRequest request = CopyHead(message);
  request.body = std::move(message.body());
  Reset();
  return request;
}

struct ResponseReader::Parser : http::response_parser<http::string_body> {};

ResponseReader::ResponseReader(MessageLimits limits) : limits_(limits) { ResetFor("GET"); }

ResponseReader::~ResponseReader() = default;

void ResponseReader::ResetFor(const std::string& method) {
  request_is_head_ = method == "HEAD";
  interim_responses_ = 0;
  ResetParser();
}

void ResponseReader::ResetParser() {
  started_ = false;
  head_bytes_ = 0;
  parser_ = std::make_unique<Parser>();
  ConfigureParser(*parser_, limits_);
  parser_->skip(request_is_head_);
}

ReadStatus ResponseReader::Feed(std::string& input) {
  while (!input.empty()) {
    // The parser waits for a whole header before it looks at the first line.
    if (!started_ && !MayBeginResponse(input)) {
      return ReadStatus::kError;
    }
    const size_t available = input.size();
    const auto error = parser_->is_header_done()
                           ? FeedParser(*parser_, input)
                           : FeedHead(*parser_, limits_.header.value(), head_bytes_, input);
    started_ = started_ || input.size() < available;
    if (error && error != http::error::need_more) {
      return ReadStatus::kError;
    }
    const unsigned status = parser_->get().result_int();
    if (parser_->is_header_done() && !IsExpectedStatus(status)) {
      return ReadStatus::kError;
    }
    if (parser_->is_done()) {
      if (status >= 200) {
        return ReadStatus::kComplete;
      }
      if (++interim_responses_ > kMaxInterimResponses) {
        return ReadStatus::kError;
      }
      ResetParser();  // interim (1xx) response: the final one follows
    } else if (error) {
      return input.size() > limits_.header.value() ? ReadStatus::kError : ReadStatus::kNeedMore;
    }
  }
  return ReadStatus::kNeedMore;
}

ReadStatus ResponseReader::FeedEof() {
  if (!parser_->is_header_done() || !parser_->need_eof()) {
    return ReadStatus::kError;
  }
  boost::beast::error_code error;
  parser_->put_eof(error);
  return error || !parser_->is_done() ? ReadStatus::kError : ReadStatus::kComplete;
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

bool IsSerializable(const HttpRequest& request) {
  return IsVisibleText(request.method) && IsVisibleText(request.path) &&
         (request.query.empty() || IsVisibleText(request.query)) &&
         std::all_of(request.headers.begin(), request.headers.end(), IsFieldSerializable);
}

std::string SerializeRequestHead(const HttpRequest& request, const std::string& host) {
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
  if (request.body_stream && !request.body_stream->length()) {
    AppendField(head, "Transfer-Encoding", "chunked");
  } else if (request.body_stream) {
    AppendField(head, "Content-Length", std::to_string(*request.body_stream->length()));
  } else if (!request.body.empty() || RequiresContentLength(verb)) {
    AppendField(head, "Content-Length", std::to_string(request.body.size()));
  }
  return head.append("\r\n");
}

bool ResponseHasBody(int status, bool request_is_head) {
  return !request_is_head && status >= 200 && status != 204 && status != 304;
}

std::string SerializeResponseHead(const HttpResponse& response, bool request_is_head,
                                  bool keep_alive) {
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + " ";
  const auto reason = http::obsolete_reason(http::int_to_status(response.status));
  head.append(reason.data(), reason.size()).append("\r\n");
  AppendFields(head, response.headers);
  if (ResponseHasBody(response.status, request_is_head)) {
    AppendField(head, "Content-Length", std::to_string(response.body.size()));
  } else if (request_is_head) {
    const std::string size = std::to_string(response.body.size());
    AppendField(head, "Content-Length", response.headers.ValueOr("content-length", size));
  }
  if (!keep_alive) {
    AppendField(head, "Connection", "close");
  }
  return head.append("\r\n");
}

}  // namespace endivecleat
