// Reads through a std::ifstream and checks the stream state afterwards.
#include "text_file.h"

#include <fstream>
#include <sstream>

#include "errors.h"

namespace endivecleat {

std::string ReadTextFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    throw UserError(ResultCode::kSettingsUnreadable, "cannot read the file " + path);
  }
  return text.str();
}

}  // namespace endivecleat
