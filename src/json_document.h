// Strict reading of JSON documents from users: duplicate keys and excessive nesting are errors,
// which nlohmann::json alone would accept.
#ifndef ENDIVECLEAT_JSON_DOCUMENT_H_
#define ENDIVECLEAT_JSON_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "errors.h"

namespace endivecleat {

/// The text, or its first `limit` bytes and "..." when it is longer. Cuts between UTF-8 characters.
std::string CutText(std::string_view text, size_t limit);

/// Appends a key to a JSON pointer (RFC 6901), escaping "~" and "/". A key over 128 bytes is cut,
/// so that a document of one long key and many faults cannot fill the memory with paths.
std::string JsonPathAppend(const std::string& path, std::string_view key);
std::string JsonPathAppend(const std::string& path, size_t index);

/// Reads a document and appends every duplicate key to `problems`; the last value of such a key is
/// kept. Throws UserError (200) when the text is not JSON in UTF-8 or nests deeper than 16 levels.
nlohmann::json ReadJsonDocument(std::string_view text, std::vector<Problem>& problems);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_JSON_DOCUMENT_H_
