// The part of CallerTask that takes a quota token for a request before its call starts.
#include "caller_exchange.h"

namespace endivecleat {

bool CallerTask::TakeQuota(const std::shared_ptr<Exchange>& exchange) {
  if (context_.quota == nullptr || exchange->tenant == nullptr) {
    return true;
  }
  const QuotaAnswer answer = context_.quota->Take(
      *exchange->tenant, exchange->number, exchange->call_request.deadline,
      [this, exchange](const QuotaAnswer& late_answer) { OnQuotaAnswer(exchange, late_answer); });
  if (answer.verdict == QuotaVerdict::kWait) {
    waiting_[exchange->number] = exchange;
    exchange->sink.OnDisconnect([this, weak = std::weak_ptr<Exchange>(exchange)] {
      if (const auto waiting = weak.lock()) {
        StopWaiting(waiting);
      }
    });
    return false;
  }
  if (answer.verdict == QuotaVerdict::kRefused) {
    OnQuotaAnswer(exchange, answer);
    return false;
  }
  exchange->token = answer.token;
  return true;
}

void CallerTask::OnQuotaAnswer(const std::shared_ptr<Exchange>& exchange,
                               const QuotaAnswer& answer) {
  waiting_.erase(exchange->number);
  if (answer.verdict == QuotaVerdict::kGranted) {
    exchange->token = answer.token;
    StartCall(exchange);
    return;
  }
  context_.call_registry.RemoveOutgoing(exchange->number);
  exchange->quota_retry_after = answer.retry_after;
  Respond(*exchange, ResultCode::kQuotaExceeded, nullptr);
}

// The caller has gone, or the call is cancelled.
void CallerTask::StopWaiting(const std::shared_ptr<Exchange>& exchange) {
  if (waiting_.erase(exchange->number) > 0) {
    context_.quota->Forget(*exchange->tenant, exchange->number);
    context_.call_registry.RemoveOutgoing(exchange->number);
    Respond(*exchange, ResultCode::kCancelled, nullptr);
  }
}

}  // namespace endivecleat
