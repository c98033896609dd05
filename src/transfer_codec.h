// Joins the distribution of configurations with their compression and their digest.
#ifndef ENDIVECLEAT_TRANSFER_CODEC_H_
#define ENDIVECLEAT_TRANSFER_CODEC_H_

#include "config_message.h"

namespace endivecleat {

/// The codec that the processes use: delta.h for the bytes, TextDigest for the digest.
TransferCodec MakeTransferCodec();

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TRANSFER_CODEC_H_
