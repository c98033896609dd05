// Wraps the encoded command or answer, in the format of once_ledger_codec.h, with one flag.
#include "ledger_message.h"

#include "byte_codec.h"

namespace endivecleat {

std::string EncodeLedgerRequest(const LedgerRequest& request) {
  ByteWriter writer;
  writer.Number(request.forwarded ? 1 : 0);
  writer.Text(EncodeLedgerCommand(request.command));
  return writer.Take();
}

LedgerRequest DecodeLedgerRequest(std::string_view bytes) {
  ByteReader reader(bytes);
  LedgerRequest request;
  request.forwarded = reader.NumberUpTo(1) == 1;
  request.command = DecodeLedgerCommand(reader.Text());
  reader.ExpectEnd();
  return request;
}

std::string EncodeLedgerReply(const std::optional<LedgerAnswer>& answer) {
  ByteWriter writer;
  writer.Number(answer ? 1 : 0);
  if (answer) {
    writer.Text(EncodeLedgerAnswer(*answer));
  }
  return writer.Take();
}

std::optional<LedgerAnswer> DecodeLedgerReply(std::string_view bytes) {
  ByteReader reader(bytes);
  if (reader.NumberUpTo(1) == 0) {
    return std::nullopt;
  }
  return DecodeLedgerAnswer(reader.Text());
}

}  // namespace endivecleat
