// The classification relies on the marker fields, where configured, and on the status code.
#include "call_headers.h"

namespace endivecleat {
namespace {

constexpr int kMisdirected = 421;
constexpr int kServiceUnavailable = 503;
constexpr int kTooManyRequests = 429;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

AnswerKind ClassifyAnswer(const CallHeaders& headers, const HttpResponse& response) {
  const bool states_not_run =
      !headers.not_run.empty() && response.headers.Contains(headers.not_run);
  const bool misdirected = !headers.target.empty() && response.status == kMisdirected;
  if (states_not_run || misdirected) {
    return AnswerKind::kNotRun;
  }
  if (headers.answer_mark.empty()) {
    return AnswerKind::kAnswer;
  }
  const bool marked = response.headers.Contains(headers.answer_mark);
  // Requests ask for no content coding, so an encoded body was not made by the target.
  const bool encoded = response.headers.Contains("content-encoding");
  if (IsSuccess(response.status) && (!marked || encoded)) {
    return AnswerKind::kInvalid;
  }
  // These statuses tell the caller that the request did not run, which only the target can know.
  const bool claims_not_run =
      response.status == kServiceUnavailable || response.status == kTooManyRequests;
  return claims_not_run && !marked ? AnswerKind::kInvalid : AnswerKind::kAnswer;
}

}  // namespace endivecleat
