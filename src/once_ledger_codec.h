// Binary encoding of StoredAnswer, shared by the commands, answers and snapshots of OnceLedger.
#ifndef ENDIVECLEAT_ONCE_LEDGER_CODEC_H_
#define ENDIVECLEAT_ONCE_LEDGER_CODEC_H_

#include "byte_codec.h"
#include "once_ledger.h"

namespace endivecleat {

/// Appends the encoded answer.
void WriteStoredAnswer(ByteWriter& writer, const StoredAnswer& answer);
/// Throws UserError 601 when the bytes are malformed.
StoredAnswer ReadStoredAnswer(ByteReader& reader);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ONCE_LEDGER_CODEC_H_
