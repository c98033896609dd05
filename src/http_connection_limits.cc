// The limits on what the client of a connection may send and leave unread: timeouts of heads and
// bodies, and the connection's part in the ingress budget of the process.
#include <algorithm>
#include <string>
#include <utility>

#include "http_connection.h"
#include "log.h"

namespace endivecleat {
namespace {

// The rate of a body is measured over at least this time.
constexpr Duration kBodyRateInterval = std::chrono::seconds(5);

}  // namespace

/// Rejects the request that is being read if its head takes too long or its body is too slow.
void HttpServer::Connection::CheckRequestTimeouts(TimePoint now) {
  if (!reader_.header_done()) {
    const Duration limit = std::min(server_.header_timeout(), server_.limits_.transfer_timeout);
    if (now - request_started_at_ >= limit) {
      RejectForLimit(408, IngressLimit::kHeaderTimeout);
    }
    return;
  }
  if (!rate_from_) {
    rate_from_ = now;
    rate_from_bytes_ = received_bytes_;
    return;
  }
  const Duration interval = std::min(kBodyRateInterval, server_.limits_.transfer_timeout);
  const Duration elapsed = now - *rate_from_;
  if (elapsed < interval) {
    return;
  }
  const uint64_t least = server_.ingress_->limits().body_bytes_per_second *
                         static_cast<uint64_t>(elapsed.count()) / 1'000'000;
  if (received_bytes_ - rate_from_bytes_ < std::max<uint64_t>(least, 1)) {
    RejectForLimit(408, IngressLimit::kBodyRate);
    return;
  }
  rate_from_ = now;
  rate_from_bytes_ = received_bytes_;
}

void HttpServer::Connection::Refuse(IngressLimit limit) {
  const bool closes = limit == IngressLimit::kConnections ||
                      limit == IngressLimit::kConnectionsPerAddress || lingering_since_ ||
                      close_after_response_ || !output_.empty();
  LogRefusal(limit);
  if (closes) {
    Close();
    return;
  }
  RejectReading(503);
}

void HttpServer::Connection::LogRefusal(IngressLimit limit) {
  const auto count = server_.ingress_->TakeLogCount(limit, server_.loop_.now());
  if (count) {
    Log(LogLevel::kWarning, "client_refused",
        {{"limit", std::string(IngressLimitName(limit))},
         {"from", peer_ip_},
         {"refusals", *count},
         {"held_bytes", server_.ingress_->bytes()},
         {"connections", static_cast<uint64_t>(server_.ingress_->connections())}});
  }
}

/// Rejects the request that is being read because of a limit that this connection has met.
void HttpServer::Connection::RejectForLimit(int status, IngressLimit limit) {
  server_.ingress_->CountRefusal(limit);
  LogRefusal(limit);
  RejectReading(status);
}

/// Rejects the request that is being read. 408 and 503 promise that it has not run and will not;
/// once the body of an upload is passed on, only a close is left.
void HttpServer::Connection::RejectReading(int status) {
  if (!body_) {
    ReleaseInput();
    AddRejection(status);
  } else if (body_->opened() || pending_.empty() || pending_.back().response) {
    Close();
    return;
  } else {
    RejectStreamed(status);
  }
  ProcessRequests();
}

/// Whether a request behind others that are not answered holds as much as such requests may.
bool HttpServer::Connection::ReadingPaused() const {
  return !body_ && !pending_.empty() &&
         pending_bytes_ + reader_.held_bytes() >= server_.limits_.concurrent_bytes;
}

/// Drops what has arrived of requests that are not read whole.
void HttpServer::Connection::ReleaseInput() {
  reader_.Reset();
  std::string().swap(input_);
  arrivals_.clear();
  rate_from_.reset();
}

/// Reports to the ingress budget what this connection holds. May refuse this or other connections.
void HttpServer::Connection::UpdateBudget() {
  if (descriptor_ < 0) {
    return;
  }
  using Phase = IngressBudget::Phase;
  const bool reading = reader_.started() || !input_.empty();
  const Phase phase = lingering_since_    ? Phase::kIdle
                      : !output_.empty()  ? Phase::kSending
                      : body_             ? Phase::kReading
                      : !pending_.empty() ? Phase::kRunning
                      : reading           ? Phase::kReading
                                          : Phase::kIdle;
  IngressBudget::Held held;
  held.refusable = input_.capacity() + reader_.held_bytes();
  if (body_) {
    held.refusable += body_->buffered();
  }
  held.refusable += output_.size();  // Refuse() closes a connection with unsent responses
  held.bytes = held.refusable + pending_charge_;
  const uint64_t exchanged = received_bytes_ + written_bytes_;
  const bool progress = exchanged != std::exchange(exchanged_bytes_, exchanged);
  const TimePoint now = server_.loop_.now();
  server_.ingress_->Update(holder_, held, phase, now, progress);
  server_.ingress_->Enforce(now);
}

/// Counts a rejected request that met a limit.
void HttpServer::Connection::CountRejection() {
  const int status = reader_.error_status();
  if (status != 413 && status != 431 && !reader_.too_many_empty_lines()) {
    return;
  }
  const IngressLimit limit = status == 413   ? IngressLimit::kBodyBytes
                             : status == 431 ? IngressLimit::kHeaderBytes
                                             : IngressLimit::kEmptyLines;
  server_.ingress_->CountRefusal(limit);
  LogRefusal(limit);
}

}  // namespace endivecleat
