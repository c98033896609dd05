// Records of the file of a replicated log: a header with the length and checksums, and CBOR.
#ifndef ENDIVECLEAT_LOG_RECORD_H_
#define ENDIVECLEAT_LOG_RECORD_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "log_entry.h"

namespace endivecleat {

/// A record that replaces everything before it.
std::string EncodeWholeRecord(const StoredLog& stored);

/// A record with the hard state, the entries and the commit index of one batch.
std::string EncodeBatchRecord(const Ready& ready);

struct DecodedFile {
  StoredLog stored;
  size_t good_bytes = 0;  // the rest is a torn record
};

/// Reads a whole file. Throws UserError (kDataCorrupt) when a damaged record is followed by a good
/// one, or when the first record is damaged.
DecodedFile DecodeLogFile(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LOG_RECORD_H_
