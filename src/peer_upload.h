// The two ends of an upload on a link: the sender passes on a body as far as the receiver has
// granted credit, and the receiver grants credit as its reader makes progress. No I/O; the frames
// are pushed by callbacks.
#ifndef ENDIVECLEAT_PEER_UPLOAD_H_
#define ENDIVECLEAT_PEER_UPLOAD_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "body_stream.h"

namespace endivecleat {

/// Sends the body of one request. Nothing is read from the body before the receiver grants credit,
/// so that a request that is refused until then may be offered to another process.
class UploadSender {
 public:
  /// Queues a piece of the body; an empty one is its end. Returns false if it cannot be queued.
  using Push = std::function<bool(std::string piece)>;

  UploadSender(std::shared_ptr<BodyStream> body, Push push);
  ~UploadSender();
  UploadSender(const UploadSender&) = delete;
  UploadSender& operator=(const UploadSender&) = delete;

  /// Handles the payload of a kUploadCredit frame.
  void OnCredit(std::string_view payload);
  /// Whether no further frame is to be sent: the end was sent, or the body is not wanted any more.
  bool done() const { return done_; }
  /// Whether the body could not be sent to its end, so that the receiver has to be told.
  bool failed() const { return failed_; }
  bool accepted() const { return accepted_; }
  /// Runs when the body has more, or has ended or was cancelled; Pump() is then due.
  void SetListener(std::function<void()> listener);
  /// Sends as much as the credit allows.
  void Pump();

 private:
  std::shared_ptr<BodyStream> body_;
  Push push_;
  uint64_t credit_ = 0;
  bool accepted_ = false;
  bool done_ = false;
  bool failed_ = false;
};

/// Receives the body of one request into a BodyStream.
class UploadReceiver {
 public:
  /// Sends the payload of a kUploadCredit frame.
  using Grant = std::function<void(std::string payload)>;

  UploadReceiver(std::optional<uint64_t> length, Grant grant);
  ~UploadReceiver();
  UploadReceiver(const UploadReceiver&) = delete;
  UploadReceiver& operator=(const UploadReceiver&) = delete;

  const std::shared_ptr<BodyStream>& body() const { return body_; }
  /// Handles the payload of a kUploadData frame. Returns false if it exceeds the credit.
  bool OnData(std::string_view payload);
  /// Whether no further frame is expected.
  bool done() const { return body_->ended() || body_->cancelled(); }

 private:
  void GrantCredit();

  std::shared_ptr<BodyStream> body_;
  Grant grant_;
  uint64_t outstanding_ = 0;  // granted and not received yet
  bool refused_ = false;      // the sender was told to stop
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_PEER_UPLOAD_H_
