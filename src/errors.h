// The two families of errors: UserError for what a user can mend, InternalError for a broken
// invariant. They are never mixed: a process reports a UserError and goes on, and it stops on an
// InternalError.
#ifndef ENDIVECLEAT_ERRORS_H_
#define ENDIVECLEAT_ERRORS_H_

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "result_code.h"

namespace endivecleat {

/// One fault in a document, with the JSON path to it, such as "/presets/peak/routes/2/service".
struct Problem {
  std::string json_path;
  std::string message;

  bool operator==(const Problem&) const = default;
};

/// A fault of the input. The message says what to do about it.
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

/// A broken invariant of the program.
class InternalError : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

}  // namespace endivecleat

/// Raises InternalError with the place and the message when the condition does not hold.
#define ENDIVECLEAT_CHECK(condition, message)                                                     \
  do {                                                                                            \
    if (!(condition)) {                                                                           \
      throw ::endivecleat::InternalError(std::string(__FILE__) + ":" + std::to_string(__LINE__) + \
                                         ": " + (message));                                       \
    }                                                                                             \
  } while (false)

#endif  // ENDIVECLEAT_ERRORS_H_
