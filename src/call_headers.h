// The header fields that carry the facts of a call between callers, daemons and targets, and what
// they say of an answer. A deployment whose callers and targets use other names sets these.
#ifndef ENDIVECLEAT_CALL_HEADERS_H_
#define ENDIVECLEAT_CALL_HEADERS_H_

#include <string>

#include "http_message.h"

namespace endivecleat {

/// An empty name switches the field off.
struct CallHeaders {
  std::string timeout = "endivecleat-timeout-ms";  // milliseconds until the sender gives up
  std::string request_id;                          // repeated by the target in its answer
  std::string target;          // id of the target that must run the request; others answer 421
  std::string origin_service;  // service of the instance where the request began
  std::string not_run;         // in an answer: the target did not run the request
  std::string answer_mark;     // in every answer that a target made; a success without it is spoilt
  bool diagnostics = true;     // traces, forwarded-for and result codes in fields of the product
};

enum class AnswerKind {
  kAnswer,  // the target's own answer
  kNotRun,  // the target states that it did not run the request
  kSpoilt,  // not an answer that the target can have made
};

/// What a complete response of a target is.
AnswerKind ClassifyAnswer(const CallHeaders& headers, const HttpResponse& response);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CALL_HEADERS_H_
