// HTTP/1.1 message framing: incremental readers for requests and responses, and their writers. No
// sockets. Parsing is Boost.Beast's.
#ifndef ENDIVECLEAT_HTTP_CODEC_H_
#define ENDIVECLEAT_HTTP_CODEC_H_

#include <memory>
#include <string>

#include "http_message.h"
#include "units.h"

namespace endivecleat {

enum class ReadStatus { kNeedMore, kComplete, kBad };

struct MessageLimits {
  ByteCount body{4U << 20U};
  ByteCount header{32U << 10U};  // first line and header fields together
};

/// Reads one request after the other from the bytes of a connection.
class RequestReader {
 public:
  explicit RequestReader(MessageLimits limits);
  ~RequestReader();

  /// Takes bytes from the front of input. After kComplete, Take() yields the request and makes the
  /// reader ready for the next. After kBad the connection is of no further use.
  ReadStatus Feed(std::string& input);
  HttpRequest Take();

  /// The status that answers a bad request: 400, 411, 413, 431 or 501.
  int error_status() const { return error_status_; }
  /// Whether the connection may be kept after the request just completed.
  bool keep_alive() const { return keep_alive_; }
  /// Whether any byte of the next request has been taken.
  bool started() const { return started_; }
  /// True once per request whose sender waits for "100 Continue" before it sends the body.
  bool TakeExpectContinue();

 private:
  struct Parser;

  ReadStatus Bad(int status);
  ReadStatus CheckHeader();

  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;
  bool started_ = false;
  bool header_checked_ = false;
  bool expect_continue_ = false;
  bool keep_alive_ = false;
  int error_status_ = 400;
};

/// Reads one response after the other. A response without a length ends with its connection.
class ResponseReader {
 public:
  explicit ResponseReader(MessageLimits limits);
  ~ResponseReader();

  /// Prepares for the response to a request of this method; a response to HEAD has no body.
  void Expect(const std::string& method);
  ReadStatus Feed(std::string& input);
  /// The peer has closed the connection in order. Completes a response without a length; anything
  /// else is cut off.
  ReadStatus FeedEnd();
  HttpResponse Take();
  bool keep_alive() const { return keep_alive_; }

 private:
  struct Parser;

  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;
  bool head_ = false;
  bool keep_alive_ = false;
};

/// Whether the request can be written without changing its meaning: no space or control character
/// in method, path or query, and none but tab in the header fields.
bool IsWritable(const HttpRequest& request);

/// First line and header fields. Content-Length and Connection are set here, whatever the message
/// says; fields with a line break are left out.
std::string RequestHead(const HttpRequest& request, const std::string& host);

/// The Content-Length of an answer to HEAD is kept when the message carries one.
std::string ResponseHead(const HttpResponse& response, bool answers_head, bool keep_alive);

/// Whether the body of the response is sent at all.
bool HasBody(int status, bool answers_head);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_HTTP_CODEC_H_
