// Reads the files that users name: settings, tokens and configurations.
#ifndef ENDIVECLEAT_TEXT_FILE_H_
#define ENDIVECLEAT_TEXT_FILE_H_

#include <string>

namespace endivecleat {

/// The whole file. Throws UserError (kSettingsUnreadable) when it cannot be read.
std::string ReadTextFile(const std::string& path);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TEXT_FILE_H_
