// Names of the HTTP header fields that carry call metadata between callers, daemons and targets,
// and the classification of a target's response by them. The names are configurable, since callers
// and targets of a deployment may already use others.
#ifndef ENDIVECLEAT_CALL_HEADERS_H_
#define ENDIVECLEAT_CALL_HEADERS_H_

#include <string>

#include "http_message.h"

namespace endivecleat {

/// An empty name disables the field.
struct CallHeaders {
  std::string timeout = "endivecleat-timeout-ms";  // milliseconds until the sender gives up
  std::string request_id;                          // echoed by the target in its answer
  std::string target;          // id of the target that must run the request; others answer 421
  std::string origin_service;  // service of the instance where the request originated
  std::string not_run;         // in an answer: the target did not run the request
  std::string answer_mark;     // in every answer made by a target; a success without it is invalid
  std::string tenant;  // name of the tenant that the request's API key belongs to; set or removed
  std::string load;    // in answers of a target: its load, see load_field.h
  bool diagnostics = true;  // adds traceparent, x-forwarded-for and the result code fields
};

enum class AnswerKind {
  kAnswer,   // the target's own answer
  kNotRun,   // the target states that it did not run the request
  kInvalid,  // cannot be the target's answer; altered or made by an intermediary
};

/// Classifies a complete response received from the target's address.
AnswerKind ClassifyAnswer(const CallHeaders& headers, const HttpResponse& response);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CALL_HEADERS_H_
