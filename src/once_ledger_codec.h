// The encoding of StoredAnswer, shared by commands, answers and snapshots of the ledger.
#ifndef ENDIVECLEAT_ONCE_LEDGER_CODEC_H_
#define ENDIVECLEAT_ONCE_LEDGER_CODEC_H_

#include "byte_codec.h"
#include "once_ledger.h"

namespace endivecleat {

void WriteStoredAnswer(ByteWriter& writer, const StoredAnswer& answer);
StoredAnswer ReadStoredAnswer(ByteReader& reader);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ONCE_LEDGER_CODEC_H_
