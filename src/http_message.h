// HTTP requests, responses and header lists as plain values, shared by the HTTP server, the HTTP
// client and the code that forwards calls. Bodies are held in memory as a whole, but for those of
// uploads (body_stream.h).
#ifndef ENDIVECLEAT_HTTP_MESSAGE_H_
#define ENDIVECLEAT_HTTP_MESSAGE_H_

#include <algorithm>
#include <cctype>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "body_stream.h"
#include "units.h"

namespace endivecleat {

/// Compares two strings without regard to the case of letters.
inline bool EqualIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

/// One header field.
struct Header {
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

/// Header fields in the order of the message. Names are case-insensitive and may occur more than
/// once.
class HeaderList {
 public:
  HeaderList() = default;
  HeaderList(std::initializer_list<Header> headers) : headers_(headers) {}

  void Add(std::string name, std::string value) {
    headers_.push_back({std::move(name), std::move(value)});
  }

  /// Replaces all fields with this name by a single one.
  void Set(const std::string& name, std::string value) {
    Remove(name);
    Add(name, std::move(value));
  }

  void Remove(std::string_view name) {
    std::erase_if(headers_,
                  [&](const Header& header) { return EqualIgnoringCase(header.name, name); });
  }

  /// The value of the first field with this name. The view is valid until the list is modified.
  std::optional<std::string_view> Find(std::string_view name) const {
    for (const Header& header : headers_) {
      if (EqualIgnoringCase(header.name, name)) {
        return header.value;
      }
    }
    return std::nullopt;
  }

  std::string ValueOr(std::string_view name, std::string_view fallback) const {
    return std::string(Find(name).value_or(fallback));
  }

  bool Contains(std::string_view name) const { return Find(name).has_value(); }
  size_t size() const { return headers_.size(); }
  bool empty() const { return headers_.empty(); }
  auto begin() const { return headers_.begin(); }
  auto end() const { return headers_.end(); }

  bool operator==(const HeaderList&) const = default;

 private:
  std::vector<Header> headers_;
};

/// The path is kept as received, neither decoded nor normalised. The query excludes the '?'.
struct HttpRequest {
  std::string method;
  std::string path;
  std::string query;
  HeaderList headers;
  std::string body;
  std::string peer_ip;  // set by HttpServer, ignored by HttpClient
  // The body of an upload, if the request is delivered before its body is complete. `body` is empty
  // then.
  std::shared_ptr<BodyStream> body_stream{};
  TimePoint received_at{};  // arrival of the last byte; set by HttpServer, ignored by HttpClient
};

struct HttpResponse {
  int status = 0;
  HeaderList headers;
  std::string body;
};

/// Result of one call made with HttpClient.
struct HttpOutcome {
  enum Kind {
    kAnswered,  ///< the whole response arrived
    kNotSent,   ///< no byte of the request was written, so the target cannot have run it
    kBroken,    ///< the connection failed, or the response was truncated or malformed
    kTimedOut,  ///< bytes were written, but the whole response did not arrive in time
  };
  Kind kind = kNotSent;
  HttpResponse response;  // valid for kAnswered only
};

/// Removes the hop-by-hop header fields (RFC 9110, section 7.6.1), including those that the
/// Connection field lists.
inline void RemoveHopByHopHeaders(HeaderList& headers) {
  std::vector<std::string> names = {"keep-alive", "proxy-connection",  "te",
                                    "trailer",    "transfer-encoding", "upgrade"};
  for (const Header& header : headers) {
    if (!EqualIgnoringCase(header.name, "connection")) {
      continue;
    }
    std::string name;
    for (const char character : header.value + ",") {
      if (character == ',') {
        names.push_back(std::exchange(name, {}));
      } else if (character != ' ' && character != '\t') {
        name.push_back(character);
      }
    }
  }
  headers.Remove("connection");
  for (const std::string& name : names) {
    headers.Remove(name);
  }
}

}  // namespace endivecleat

#endif  // ENDIVECLEAT_HTTP_MESSAGE_H_
