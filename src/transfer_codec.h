// Implements the TransferCodec of the configuration distribution with the compression of delta.h.
#ifndef ENDIVECLEAT_TRANSFER_CODEC_H_
#define ENDIVECLEAT_TRANSFER_CODEC_H_

#include "config_message.h"

namespace endivecleat {

/// Returns the codec of the control and daemon processes. The digest is TextDigest.
TransferCodec MakeTransferCodec();

}  // namespace endivecleat

#endif  // ENDIVECLEAT_TRANSFER_CODEC_H_
