// Encodes ledger messages field by field with ByteWriter, each after a format number. The stored
// answer is present only in the kinds that carry one.
#include "once_ledger_codec.h"

namespace endivecleat {
namespace {

constexpr uint64_t kCommandFormat = 1;
constexpr uint64_t kAnswerFormat = 1;
constexpr uint64_t kMaxHttpStatus = 999;

}  // namespace

void WriteStoredAnswer(ByteWriter& writer, const StoredAnswer& answer) {
  writer.WriteVarint(static_cast<uint64_t>(answer.status));
  writer.WriteString(answer.content_type);
  writer.WriteString(answer.body);
  writer.WriteVarint(answer.body_dropped ? 1 : 0);
}

StoredAnswer ReadStoredAnswer(ByteReader& reader) {
  StoredAnswer answer;
  answer.status = static_cast<int>(reader.ReadVarintUpTo(kMaxHttpStatus));
  answer.content_type = reader.ReadString();
  answer.body = reader.ReadString();
  answer.body_dropped = reader.ReadVarintUpTo(1) == 1;
  return answer;
}

std::string EncodeLedgerCommand(const LedgerCommand& command) {
  ByteWriter writer;
  writer.WriteVarint(kCommandFormat);
  writer.WriteVarint(command.kind);
  writer.WriteString(command.key.value());
  writer.WriteString(command.attempt);
  writer.WriteString(command.digest);
  writer.WriteVarint(command.at.value());
  writer.WriteVarint(command.admitted_at.value());
  if (command.kind == LedgerCommand::kComplete) {
    WriteStoredAnswer(writer, command.answer);
  }
  return writer.Take();
}

LedgerCommand DecodeLedgerCommand(std::string_view bytes) {
  ByteReader reader(bytes);
  LedgerCommand command;
  reader.ExpectVarint(kCommandFormat);
  command.kind = static_cast<LedgerCommand::Kind>(reader.ReadVarintUpTo(LedgerCommand::kRefuse));
  command.key = IdempotencyKey(reader.ReadString());
  command.attempt = reader.ReadString();
  command.digest = reader.ReadString();
  command.at = WallTime(reader.ReadVarint());
  command.admitted_at = WallTime(reader.ReadVarint());
  if (command.kind == LedgerCommand::kComplete) {
    command.answer = ReadStoredAnswer(reader);
  }
  reader.ExpectEnd();
  return command;
}

std::string EncodeLedgerResult(const LedgerResult& answer) {
  ByteWriter writer;
  writer.WriteVarint(kAnswerFormat);
  writer.WriteVarint(answer.kind);
  if (answer.kind == LedgerResult::kRan) {
    WriteStoredAnswer(writer, answer.answer);
  }
  return writer.Take();
}

LedgerResult DecodeLedgerResult(std::string_view bytes) {
  ByteReader reader(bytes);
  LedgerResult answer;
  reader.ExpectVarint(kAnswerFormat);
  answer.kind = static_cast<LedgerResult::Kind>(reader.ReadVarintUpTo(LedgerResult::kFull));
  if (answer.kind == LedgerResult::kRan) {
    answer.answer = ReadStoredAnswer(reader);
  }
  reader.ExpectEnd();
  return answer;
}

}  // namespace endivecleat
