// Requests whose body is passed on while it arrives.
#include <memory>
#include <string>
#include <utility>

#include "http_connection.h"

namespace endivecleat {

/// Adds a request whose body is streamed, before any of the body is passed on.
void HttpServer::Connection::AddStreamed(TimePoint arrived) {
  ++server_.uploads_.started;
  body_ = std::make_shared<BodyStream>(reader_.content_length());
  body_progress_ = server_.loop_.now();
  body_->SetWriterListener([weak = weak_from_this(), body = std::weak_ptr(body_)] {
    const auto connection = weak.lock();
    if (connection && connection->body_ && connection->body_ == body.lock()) {
      connection->body_progress_ = connection->server_.loop_.now();
      connection->ProcessRequests();
    }
  });
  HttpRequest request = reader_.streamed_head();
  request.received_at = arrived;
  request.body_stream = body_;
  AddRequest(std::move(request), received_bytes_ - input_.size() - request_begin_,
             reader_.streamed_keep_alive());
}

/// Passes on what was read of the body. Returns true at its end, where another request may follow.
bool HttpServer::Connection::OnBodyRead(ReadStatus status) {
  const std::string bytes = reader_.TakeBody();
  if (!bytes.empty()) {
    body_progress_ = server_.loop_.now();
  }
  const std::shared_ptr<BodyStream> body = body_;
  body->Write(bytes);
  if (descriptor_ < 0) {
    return false;
  }
  if (status == ReadStatus::kError) {
    RejectStreamed(reader_.error_status());
    return true;
  }
  if (status == ReadStatus::kComplete) {
    ++server_.uploads_.completed;
    reader_.Take();
    ReleaseBody();
    continue_held_ = false;
    body->End();
    return true;
  }
  if (body->dropped() > server_.limits_.discarded_body_bytes) {
    // The client gets the response, which closes the connection.
    ReleaseBody();
    if (pending_.empty()) {
      close_after_response_ = true;
    } else {
      pending_.back().keep_alive = false;
    }
  }
  return false;
}

/// Stops receiving the body.
std::shared_ptr<BodyStream> HttpServer::Connection::ReleaseBody() {
  if (body_) {
    body_->SetWriterListener(nullptr);
    server_.in_flight_ -= std::exchange(body_outlives_response_, false) ? 1 : 0;
  }
  return std::exchange(body_, nullptr);
}

/// Whether the connection waits for the client to send more of a body.
bool HttpServer::Connection::WaitsForBody() const {
  return body_ != nullptr && body_->has_room() && !continue_held_;
}

}  // namespace endivecleat
