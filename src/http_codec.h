// HTTP/1.1 message framing: incremental parsers for requests and responses, and serialization of
// message heads. Works on byte strings without sockets; HttpServer and HttpClient do the I/O.
#ifndef ENDIVECLEAT_HTTP_CODEC_H_
#define ENDIVECLEAT_HTTP_CODEC_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http_message.h"
#include "units.h"

namespace endivecleat {

/// Result of feeding bytes to a reader.
enum class ReadStatus { kNeedMore, kComplete, kError };

/// A message that exceeds these limits is rejected.
struct MessageLimits {
  ByteCount body{4U << 20U};
  ByteCount header{32U << 10U};  // start line and header fields together
  ByteCount streamed_body{0};    // of a request whose body is passed on while it arrives

  bool operator==(const MessageLimits&) const = default;
};

/// Parses the consecutive requests of one connection.
class RequestReader {
 public:
  /// Decides from the head whether the body of a request is passed on while it arrives.
  using StreamPolicy = std::function<bool(const HttpRequest& head)>;
  /// A body that is known to have no more bytes than this is never streamed.
  static constexpr size_t kMinStreamedBytes = 64U << 10U;

  explicit RequestReader(MessageLimits limits);
  ~RequestReader();

  /// Consumes bytes from the front of input. After kComplete, call Take() to obtain the request and
  /// to prepare the reader for the next one. After kError the connection must be closed.
  ReadStatus Feed(std::string& input);
  HttpRequest Take();

  /// Sets the limits of the next request; the one being read keeps its own.
  void SetLimits(const MessageLimits& limits);
  /// Drops the part of the request that has been read.
  void Reset();
  /// Without a policy, no body is streamed.
  void SetStreamPolicy(StreamPolicy policy);
  /// Whether the head of the current request has been read and its body is streamed. From then on,
  /// streamed_head() and TakeBody() may be called, and after kComplete Take() ends the request.
  bool streamed() const { return streamed_head_ != nullptr; }
  const HttpRequest& streamed_head() const { return *streamed_head_; }
  std::optional<uint64_t> content_length() const;
  /// Returns the part of the body that was read since the last call.
  std::string TakeBody();

  /// The status with which to reject the request after kError: 400, 411, 413, 431 or 501.
  int error_status() const { return error_status_; }
  /// Whether the connection may be kept open after the request last taken.
  bool keep_alive() const { return keep_alive_; }
  /// Whether it may be kept open after the request whose body is streamed.
  bool streamed_keep_alive() const;
  /// Whether any byte of the next request has been consumed.
  bool started() const { return started_; }
  /// Whether the head of the next request has been read whole.
  bool header_done() const { return header_checked_; }
  /// Estimated memory that the part of the request read so far takes.
  size_t held_bytes() const;
  /// Whether kError is due to the number of empty lines before a request.
  bool too_many_empty_lines() const { return empty_lines_ > kMaxEmptyLines; }
  /// Returns true once for a request whose sender waits for "100 Continue" before it sends the
  /// body.
  bool TakeExpectContinue();

 private:
  struct Parser;

  /// Empty lines accepted before one request. Clients send one at most, after the body of a POST.
  static constexpr size_t kMaxEmptyLines = 64;

  ReadStatus Fail(int status);
  ReadStatus CheckHeader();
  bool SkipEmptyLines(std::string& input);
  bool IsFramingExcessive() const;
  ReadStatus CheckBodyPolicy();
  bool BodyTooLarge() const;
  void ResetParser();

  MessageLimits limits_;
  StreamPolicy stream_policy_;
  std::unique_ptr<Parser> parser_;
  size_t empty_lines_ = 0;      // before the request
  size_t head_limit_ = 0;       // of the request being read
  size_t head_bytes_ = 0;       // consumed of its head; at most head_limit_
  uint64_t encoded_bytes_ = 0;  // of the body as sent, with the framing of its chunks
  size_t fields_ = 0;           // in the head
  uint64_t content_bytes_ = 0;  // of the body, already taken
  std::unique_ptr<HttpRequest> streamed_head_;
  bool started_ = false;
  bool header_checked_ = false;
  bool expect_continue_ = false;
  bool keep_alive_ = false;
  int error_status_ = 400;
};

/// Parses the consecutive responses of one connection. A response with neither Content-Length nor
/// chunked coding ends when the connection is closed.
class ResponseReader {
 public:
  explicit ResponseReader(MessageLimits limits);
  ~ResponseReader();

  /// Prepares for the response to a request with this method; a response to HEAD has no body.
  void ResetFor(const std::string& method);
  /// Consumes bytes from the front of input. Interim responses (1xx) are skipped, up to a limit. A
  /// status outside 100 to 599, or 101, is an error.
  ReadStatus Feed(std::string& input);
  /// Signals that the peer has closed the connection in an orderly way. Returns kComplete for a
  /// response that is delimited by the close, and kError for any other, which is truncated.
  ReadStatus FeedEof();
  HttpResponse Take();
  bool keep_alive() const { return keep_alive_; }

 private:
  struct Parser;

  void ResetParser();

  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;
  bool request_is_head_ = false;
  bool keep_alive_ = false;
  bool started_ = false;          // the parser has consumed bytes of the current response
  size_t head_bytes_ = 0;         // consumed of its head; at most the limit
  size_t interim_responses_ = 0;  // since ResetFor
};

/// Whether the request can be serialized without changing its meaning: no space or control
/// character in method, path, query or field names, and no control character but tab in field
/// values. Prevents request splitting.
bool IsSerializable(const HttpRequest& request);

/// Serializes the request line and the header fields. Content-Length follows from the body, and the
/// fields that concern the framing or the connection are not copied from the request. Fields that
/// contain a control character such as a line break are omitted.
std::string SerializeRequestHead(const HttpRequest& request, const std::string& host);

/// Serializes the status line and the header fields by the same rules, and adds "Connection: close"
/// unless keep_alive. A response to HEAD keeps the Content-Length of the message if it has one.
std::string SerializeResponseHead(const HttpResponse& response, bool request_is_head,
                                  bool keep_alive);

/// Whether a response with this status has a body on the wire.
bool ResponseHasBody(int status, bool request_is_head);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_HTTP_CODEC_H_
