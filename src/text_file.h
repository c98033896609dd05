// Reads text files given by users: settings, tokens and configuration documents.
#ifndef ENDIVECLEAT_TEXT_FILE_H_
#define ENDIVECLEAT_TEXT_FILE_H_

#include <string>

namespace endivecleat {

/// Returns the contents of the file. Throws UserError with kSettingsUnreadable if it cannot be
/// read.
std::string ReadTextFile(const std::string& path);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TEXT_FILE_H_
