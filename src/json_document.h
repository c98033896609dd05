// Strict parsing of user-supplied JSON documents: rejects duplicate keys and excessive nesting,
// which nlohmann::json accepts. Also builds the JSON pointers of problem reports.
#ifndef ENDIVECLEAT_JSON_DOCUMENT_H_
#define ENDIVECLEAT_JSON_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "errors.h"

namespace endivecleat {

/// Returns the text, truncated to at most `limit` bytes plus "..." if it is longer. Never splits a
/// UTF-8 character.
std::string TruncateUtf8(std::string_view text, size_t limit);

/// Appends a key to a JSON pointer (RFC 6901), escaping "~" and "/". Truncates keys over 128 bytes,
/// so that a document with one long key and many problems cannot exhaust memory with paths.
std::string JsonPathAppend(const std::string& path, std::string_view key);
std::string JsonPathAppend(const std::string& path, size_t index);

/// Whether the text opens more than 16 arrays and objects inside one another. nlohmann::json and
/// jsoncpp parse, copy and write nested values recursively, so text from the network is checked
/// before it is parsed.
bool IsNestedTooDeeply(std::string_view text);

/// Whether the text has more than this number of array and object openings, commas and colons
/// outside strings, which bounds the number of its values. A parsed value takes up to some hundred
/// bytes, many times its text.
bool HasMoreSeparators(std::string_view text, size_t most);

/// Parses a document and appends every duplicate key to `problems`; the last value of such a key
/// wins. Throws UserError with kDocumentSyntax if the text is not JSON in UTF-8 or is nested deeper
/// than 16 levels.
nlohmann::json ReadJsonDocument(std::string_view text, std::vector<Problem>& problems);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_JSON_DOCUMENT_H_
