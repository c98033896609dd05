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
  writer.Number(static_cast<uint64_t>(answer.status));
  writer.Text(answer.content_type);
  writer.Text(answer.body);
  writer.Number(answer.body_dropped ? 1 : 0);
}

StoredAnswer ReadStoredAnswer(ByteReader& reader) {
  StoredAnswer answer;
  answer.status = static_cast<int>(reader.NumberUpTo(kMaxHttpStatus));
  answer.content_type = reader.Text();
  answer.body = reader.Text();
  answer.body_dropped = reader.NumberUpTo(1) == 1;
  return answer;
}

std::string EncodeLedgerCommand(const LedgerCommand& command) {
  ByteWriter writer;
  writer.Number(kCommandFormat);
  writer.Number(command.kind);
  writer.Text(command.key.value());
  writer.Text(command.attempt);
  writer.Text(command.digest);
  writer.Number(command.at.value());
  writer.Number(command.started.value());
  if (command.kind == LedgerCommand::kComplete) {
    WriteStoredAnswer(writer, command.answer);
  }
  return writer.Take();
}

LedgerCommand DecodeLedgerCommand(std::string_view bytes) {
  ByteReader reader(bytes);
  LedgerCommand command;
  reader.ExpectNumber(kCommandFormat);
  command.kind = static_cast<LedgerCommand::Kind>(reader.NumberUpTo(LedgerCommand::kRefuse));
  command.key = IdempotencyKey(reader.Text());
  command.attempt = reader.Text();
  command.digest = reader.Text();
  command.at = WallTime(reader.Number());
  command.started = WallTime(reader.Number());
  if (command.kind == LedgerCommand::kComplete) {
    command.answer = ReadStoredAnswer(reader);
  }
  reader.ExpectEnd();
  return command;
}

std::string EncodeLedgerAnswer(const LedgerAnswer& answer) {
  ByteWriter writer;
  writer.Number(kAnswerFormat);
  writer.Number(answer.kind);
  if (answer.kind == LedgerAnswer::kRan) {
    WriteStoredAnswer(writer, answer.answer);
  }
  return writer.Take();
}

LedgerAnswer DecodeLedgerAnswer(std::string_view bytes) {
  ByteReader reader(bytes);
  LedgerAnswer answer;
  reader.ExpectNumber(kAnswerFormat);
  answer.kind = static_cast<LedgerAnswer::Kind>(reader.NumberUpTo(LedgerAnswer::kFull));
  if (answer.kind == LedgerAnswer::kRan) {
    answer.answer = ReadStoredAnswer(reader);
  }
  reader.ExpectEnd();
  return answer;
}

}  // namespace endivecleat
