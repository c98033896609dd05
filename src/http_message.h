// HTTP messages as plain values, shared by the server, the client and the call policy. Bodies are
// held in full.
#ifndef ENDIVECLEAT_HTTP_MESSAGE_H_
#define ENDIVECLEAT_HTTP_MESSAGE_H_

#include <algorithm>
#include <cctype>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivecleat {

inline bool EqualIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

struct Header {
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

/// Header fields in the order of the message. Names compare without regard to case; a name may
/// occur more than once.
class HeaderList {
 public:
  HeaderList() = default;
  HeaderList(std::initializer_list<Header> headers) : headers_(headers) {}

  void Add(std::string name, std::string value) {
    headers_.push_back({std::move(name), std::move(value)});
  }

  /// Replaces every field of this name by one.
  void Set(const std::string& name, std::string value) {
    Remove(name);
    Add(name, std::move(value));
  }

  void Remove(std::string_view name) {
    std::erase_if(headers_, [&](const Header& each) { return EqualIgnoringCase(each.name, name); });
  }

  /// The value of the first field of this name. The view is valid until the list changes.
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

/// The path is passed on as received: neither decoded nor normalised. The query has no '?'.
struct HttpRequest {
  std::string method;
  std::string path;
  std::string query;
  HeaderList headers;
  std::string body;
  std::string peer_ip;  // set by the server, ignored by the client
};

struct HttpResponse {
  int status = 0;
  HeaderList headers;
  std::string body;
};

/// What became of one call.
struct HttpOutcome {
  enum Kind {
    kAnswered,  ///< the whole answer arrived
    kNotSent,   ///< no byte of the request was written, so it cannot have run
    kBroken,    ///< the connection ended before the whole answer had come
    kTimedOut,  ///< bytes were written and no whole answer came in time
  };
  Kind kind = kNotSent;
  HttpResponse response;  // meaningful for kAnswered only
};

/// Removes the fields that concern one connection only (RFC 9110, section 7.6.1), including those
/// that the Connection field names.
inline void RemoveHopByHopHeaders(HeaderList& headers) {
  std::vector<std::string> names = {"keep-alive", "proxy-connection",  "te",
                                    "trailer",    "transfer-encoding", "upgrade"};
  for (const Header& header : headers) {
    if (!EqualIgnoringCase(header.name, "connection")) {
      continue;
    }
    std::string name;
    for (const char each : header.value + ",") {
      if (each == ',') {
        names.push_back(std::exchange(name, {}));
      } else if (each != ' ' && each != '\t') {
        name.push_back(each);
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
