// Record format of the file of a replicated log: a header with the length and checksums, followed
// by a CBOR payload. LogStore writes and reads the file.
#ifndef ENDIVECLEAT_LOG_RECORD_H_
#define ENDIVECLEAT_LOG_RECORD_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "log_entry.h"

namespace endivecleat {

/// Encodes a record with the whole state, which supersedes all records before it.
std::string EncodeCheckpointRecord(const StoredLog& stored);

/// Encodes a record with those of the hard state, entries and commit index that the batch contains.
std::string EncodeBatchRecord(const Ready& ready);

struct DecodedLogFile {
  StoredLog stored;
  size_t valid_bytes = 0;  // length of the valid records; the rest is a torn record
};

/// Decodes a whole file. Throws UserError (kDataCorrupt) when the first record is invalid, or when
/// an invalid record is followed by a valid one, which a torn write cannot cause.
DecodedLogFile DecodeLogFile(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_LOG_RECORD_H_
