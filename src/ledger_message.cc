// Wraps the encoded command or answer, in the format of once_ledger_codec.h, with one flag.
#include "ledger_message.h"

#include "byte_codec.h"

namespace endivecleat {

std::string EncodeLedgerRequest(const LedgerRequest& request) {
  ByteWriter writer;
  writer.WriteVarint(request.forwarded ? 1 : 0);
  writer.WriteString(EncodeLedgerCommand(request.command));
  return writer.Take();
}

LedgerRequest DecodeLedgerRequest(std::string_view bytes) {
  ByteReader reader(bytes);
  LedgerRequest request;
  request.forwarded = reader.ReadVarintUpTo(1) == 1;
  request.command = DecodeLedgerCommand(reader.ReadString());
  reader.ExpectEnd();
  return request;
}

std::string EncodeLedgerReply(const std::optional<LedgerResult>& answer) {
  ByteWriter writer;
  writer.WriteVarint(answer ? 1 : 0);
  if (answer) {
    writer.WriteString(EncodeLedgerResult(*answer));
  }
  return writer.Take();
}

std::optional<LedgerResult> DecodeLedgerReply(std::string_view bytes) {
  ByteReader reader(bytes);
  if (reader.ReadVarintUpTo(1) == 0) {
    return std::nullopt;
  }
  return DecodeLedgerResult(reader.ReadString());
}

}  // namespace endivecleat
