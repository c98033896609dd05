// Credit is granted in steps, so that a slow reader does not cause a frame for each of its reads.
#include "peer_upload.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "peer_frame.h"

namespace endivecleat {
namespace {

constexpr uint64_t kMinGrantBytes = BodyStream::kWindowBytes / 4;

}  // namespace

UploadSender::UploadSender(std::shared_ptr<BodyStream> body, Push push)
    : body_(std::move(body)), push_(std::move(push)) {}

UploadSender::~UploadSender() {
  if (accepted_) {
    body_->SetReaderListener(nullptr);
    if (!done_) {
      body_->Cancel();
    }
  }
}

void UploadSender::SetListener(std::function<void()> listener) {
  body_->SetReaderListener(std::move(listener));
}

void UploadSender::OnCredit(std::string_view payload) {
  uint64_t bytes = 0;
  const auto [end, error] = std::from_chars(payload.data(), payload.data() + payload.size(), bytes);
  if (done_) {
    return;
  }
  if (error != std::errc() || end != payload.data() + payload.size() || bytes == 0) {
    done_ = true;
    if (accepted_) {
      body_->Cancel();
    }
    return;
  }
  accepted_ = true;
  credit_ = std::min<uint64_t>(credit_ + bytes, BodyStream::kWindowBytes);
  body_->Open();
  Pump();
}

void UploadSender::Pump() {
  while (accepted_ && !done_) {
    if (body_->cancelled()) {
      done_ = failed_ = true;
      return;
    }
    if (body_->finished()) {
      done_ = true;
      failed_ = !push_("");
      return;
    }
    std::string piece = body_->Read(std::min<uint64_t>(credit_, kBulkFragmentBytes));
    if (piece.empty()) {
      if (body_->finished()) {
        continue;
      }
      return;  // waits for credit or for more of the body
    }
    credit_ -= piece.size();
    if (!push_(std::move(piece))) {
      done_ = failed_ = true;
      body_->Cancel();
    }
  }
}

UploadReceiver::UploadReceiver(std::optional<uint64_t> length, Grant grant)
    : body_(std::make_shared<BodyStream>(length)), grant_(std::move(grant)) {
  body_->SetWriterListener([this] { GrantCredit(); });
}

UploadReceiver::~UploadReceiver() {
  body_->SetWriterListener(nullptr);
  if (!body_->ended()) {
    body_->Cancel();  // the link or the request has ended
  }
}

bool UploadReceiver::OnData(std::string_view payload) {
  if (payload.size() > outstanding_) {
    return false;
  }
  outstanding_ -= payload.size();
  if (payload.empty()) {
    body_->End();
  } else {
    body_->Write(payload);
  }
  return true;
}

void UploadReceiver::GrantCredit() {
  if (body_->cancelled()) {
    if (!std::exchange(refused_, true)) {
      grant_("0");
    }
    return;
  }
  const uint64_t used = outstanding_ + body_->buffered();
  if (!body_->opened() || used + kMinGrantBytes > BodyStream::kWindowBytes) {
    return;
  }
  const uint64_t bytes = BodyStream::kWindowBytes - used;
  outstanding_ += bytes;
  grant_(std::to_string(bytes));
}

}  // namespace endivecleat
