// The two kinds of errors: UserError for invalid input that a user can correct, and InternalError
// for a violated invariant. A process reports a UserError and continues; it terminates on an
// InternalError.
#ifndef ENDIVECLEAT_ERRORS_H_
#define ENDIVECLEAT_ERRORS_H_

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "result_code.h"

namespace endivecleat {

/// One error in a document and its JSON pointer, such as "/presets/peak/routes/2/service".
struct Problem {
  std::string json_path;
  std::string message;

  bool operator==(const Problem&) const = default;
};

/// Invalid input. The message says how to correct it; `problems` lists the errors of a document.
class UserError : public std::runtime_error {
 public:
  UserError(ResultCode code, const std::string& message, std::vector<Problem> problems = {})
      : std::runtime_error(message), code_(code), problems_(std::move(problems)) {}

  ResultCode code() const { return code_; }
  const std::vector<Problem>& problems() const { return problems_; }

 private:
  ResultCode code_;
  std::vector<Problem> problems_;
};

/// A violated invariant, which means a bug in the program.
class InternalError : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

}  // namespace endivecleat

/// Throws InternalError with the file, the line and the message if the condition is false.
#define ENDIVECLEAT_CHECK(condition, message)                                                     \
  do {                                                                                            \
    if (!(condition)) {                                                                           \
      throw ::endivecleat::InternalError(std::string(__FILE__) + ":" + std::to_string(__LINE__) + \
                                         ": " + (message));                                       \
    }                                                                                             \
  } while (false)

#endif  // ENDIVECLEAT_ERRORS_H_
