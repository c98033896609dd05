// Applies ledger commands to a hash map of records. A list orders the records by their last change,
// so that expiry only inspects the front. Transitions come from charts/once.chart, which is
// compiled into a table.
#include "once_ledger.h"

#include <algorithm>
#include <array>
#include <utility>

#include "byte_codec.h"
#include "errors.h"
#include "once_ledger_codec.h"
#include "state_chart.h"

namespace endivecleat {
namespace {

constexpr uint64_t kSnapshotFormat = 1;
// An attempt is released when the target refuses it while starting, which happens a few times per
// key at most. Beyond this number the oldest attempt is evicted, and a late duplicate of its claim
// could then take the key without executing the request.
constexpr size_t kMaxReleasedAttempts = 64;

// The state chart as a transition table with numbered states, so that a record stores one byte.
class OnceChart {
 public:
  OnceChart() {
    const StateChart chart(
#include "once.chart"
    );
    states_ = chart.states();
    const std::array<std::string, 4> events = {"claim", "release", "complete", "refuse"};
    for (const std::string& state : states_) {
      std::array<uint8_t, 4> row{};
      for (size_t event = 0; event < events.size(); ++event) {
        row[event] = StateNumber(chart.Next(state, events[event]));
      }
      next_.push_back(row);
    }
    free = StateNumber("free");
    claimed = StateNumber("claimed");
    ran = StateNumber("ran");
    refused = StateNumber("refused");
    ENDIVECLEAT_CHECK(chart.initial() == "free",
                      "the initial state of chart \"once\" must be \"free\"");
  }

  uint8_t Next(uint8_t state, LedgerCommand::Kind event) const { return next_[state][event]; }
  size_t state_count() const { return states_.size(); }

  uint8_t free = 0;
  uint8_t claimed = 0;
  uint8_t ran = 0;
  uint8_t refused = 0;

 private:
  uint8_t StateNumber(const std::string& name) const {
    const auto found = std::find(states_.begin(), states_.end(), name);
    ENDIVECLEAT_CHECK(found != states_.end(), "state chart \"once\" has no state " + name);
    return static_cast<uint8_t>(found - states_.begin());
  }

  std::vector<std::string> states_;
  std::vector<std::array<uint8_t, 4>> next_;  // indexed by state, then LedgerCommand::Kind
};

const OnceChart& Chart() {
  static const OnceChart chart;
  return chart;
}

bool Contains(const std::vector<std::string>& attempts, const std::string& attempt) {
  return std::find(attempts.begin(), attempts.end(), attempt) != attempts.end();
}

void RecordRelease(std::vector<std::string>& released, const std::string& attempt) {
  if (Contains(released, attempt)) {
    return;
  }
  if (released.size() == kMaxReleasedAttempts) {
    released.erase(released.begin());
  }
  released.push_back(attempt);
}

}  // namespace

StoredAnswer DropOversizedBody(StoredAnswer answer) {
  if (answer.body.size() > kMaxStoredBodyBytes ||
      answer.content_type.size() > kMaxStoredContentTypeBytes) {
    answer.body = std::string();
    answer.content_type = std::string();
    answer.body_dropped = true;
  }
  return answer;
}

OnceLedger::OnceLedger(OnceLedgerLimits limits) : limits_(limits) {}

LedgerResult OnceLedger::Apply(const LedgerCommand& command) {
  AdvanceTimeAndExpire(command.at);
  switch (command.kind) {
    case LedgerCommand::kClaim:
      return Claim(command);
    case LedgerCommand::kRelease:
      return Release(command);
    case LedgerCommand::kComplete:
      return Complete(command);
    case LedgerCommand::kRefuse:
      return Refuse(command);
  }
  throw InternalError("unknown kind of ledger command");
}

void OnceLedger::AdvanceTimeAndExpire(WallTime at) {
  now_ = std::max(now_, at);
  while (!expiry_order_.empty()) {
    const auto oldest = records_.find(expiry_order_.front());
    if (now_.value() - oldest->second.changed.value() < limits_.retention_ms) {
      return;
    }
    body_bytes_ -= oldest->second.answer.body.size();
    records_.erase(oldest);
    expiry_order_.pop_front();
  }
}

LedgerResult OnceLedger::Claim(const LedgerCommand& command) {
  Record* record = Find(command.key);
  const uint8_t state = record == nullptr ? Chart().free : record->state;
  if (state != Chart().free) {
    if (record->digest != command.digest) {
      return {LedgerResult::kDigestMismatch, {}};
    }
    const bool is_resend = state == Chart().claimed && record->attempt == command.attempt;
    return is_resend ? LedgerResult{LedgerResult::kGranted, {}} : AnswerOf(*record);
  }
  if (IsDelayedDuplicate(command) ||
      (record != nullptr && Contains(record->released, command.attempt))) {
    return {LedgerResult::kDone, {}};
  }
  record = FindOrCreate(command.key);
  if (record == nullptr) {
    return {LedgerResult::kFull, {}};
  }
  record->state = Chart().Next(record->state, command.kind);
  record->attempt = command.attempt;
  record->digest = command.digest;
  MarkChanged(*record);
  return {LedgerResult::kGranted, {}};
}

LedgerResult OnceLedger::Release(const LedgerCommand& command) {
  Record* record = FindOrCreate(command.key);
  if (record == nullptr) {
    return {LedgerResult::kDone, {}};  // a full ledger does not store the release
  }
  if (record->state == Chart().ran || record->state == Chart().refused) {
    return AnswerOf(*record);
  }
  RecordRelease(record->released, command.attempt);
  if (record->state == Chart().free || record->attempt == command.attempt) {
    record->state = Chart().Next(record->state, command.kind);
    MarkChanged(*record);
  }
  return {LedgerResult::kDone, {}};
}

LedgerResult OnceLedger::Complete(const LedgerCommand& command) {
  Record* record = Find(command.key);
  if (record == nullptr || record->state == Chart().free) {
    return {LedgerResult::kDone, {}};
  }
  if (record->state != Chart().claimed || record->attempt != command.attempt) {
    return AnswerOf(*record);
  }
  record->state = Chart().Next(record->state, command.kind);
  StoreAnswer(*record, command.answer);
  MarkChanged(*record);
  return {LedgerResult::kDone, {}};
}

LedgerResult OnceLedger::Refuse(const LedgerCommand& command) {
  Record* record = Find(command.key);
  if (record != nullptr && record->state != Chart().free) {
    return record->digest == command.digest ? AnswerOf(*record)
                                            : LedgerResult{LedgerResult::kDigestMismatch, {}};
  }
  record = FindOrCreate(command.key);
  if (record == nullptr) {
    return {LedgerResult::kFull, {}};
  }
  record->state = Chart().Next(record->state, command.kind);
  record->digest = command.digest;
  record->released = {};
  MarkChanged(*record);
  return AnswerOf(*record);
}

OnceLedger::Record* OnceLedger::Find(const IdempotencyKey& key) {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

OnceLedger::Record* OnceLedger::FindOrCreate(const IdempotencyKey& key) {
  if (Record* record = Find(key); record != nullptr) {
    return record;
  }
  if (records_.size() >= limits_.max_records) {
    return nullptr;
  }
  Record& record = records_[key];
  record.state = Chart().free;
  record.changed = now_;
  record.expiry_position = expiry_order_.insert(expiry_order_.end(), key);
  return &record;
}

void OnceLedger::MarkChanged(Record& record) {
  record.changed = now_;
  expiry_order_.splice(expiry_order_.end(), expiry_order_, record.expiry_position);
}

void OnceLedger::StoreAnswer(Record& record, const StoredAnswer& answer) {
  record.answer = DropOversizedBody(answer);
  record.released = {};
  if (body_bytes_ + record.answer.body.size() > limits_.max_body_bytes) {
    record.answer.body = std::string();
    record.answer.body_dropped = true;
  }
  body_bytes_ += record.answer.body.size();
}

bool OnceLedger::IsDelayedDuplicate(const LedgerCommand& claim) const {
  return claim.admitted_at.value() != 0 && claim.admitted_at < now_ &&
         now_.value() - claim.admitted_at.value() > limits_.max_claim_age_ms;
}

LedgerResult OnceLedger::AnswerOf(const Record& record) {
  if (record.state == Chart().ran) {
    return {LedgerResult::kRan, record.answer};
  }
  return {record.state == Chart().refused ? LedgerResult::kRefused : LedgerResult::kInProgress, {}};
}

std::string OnceLedger::Snapshot() const {
  ByteWriter writer;
  writer.WriteVarint(kSnapshotFormat);
  writer.WriteVarint(now_.value());
  writer.WriteVarint(expiry_order_.size());
  for (const IdempotencyKey& key : expiry_order_) {
    const Record& record = records_.at(key);
    writer.WriteString(key.value());
    writer.WriteVarint(record.state);
    writer.WriteVarint(record.changed.value());
    writer.WriteString(record.digest);
    writer.WriteString(record.attempt);
    writer.WriteVarint(record.released.size());
    for (const std::string& attempt : record.released) {
      writer.WriteString(attempt);
    }
    if (record.state == Chart().ran) {
      WriteStoredAnswer(writer, record.answer);
    }
  }
  return writer.Take();
}

OnceLedger OnceLedger::Restore(std::string_view snapshot, OnceLedgerLimits limits) {
  try {
    ByteReader reader(snapshot);
    OnceLedger ledger(limits);
    reader.ExpectVarint(kSnapshotFormat);
    ledger.now_ = WallTime(reader.ReadVarint());
    WallTime previous;
    for (size_t left = reader.ReadCount(); left > 0; --left) {
      ledger.RestoreRecord(reader, previous);
    }
    reader.ExpectEnd();
    return ledger;
  } catch (const UserError& error) {
    throw UserError(ResultCode::kDataCorrupt,
                    std::string("the ledger snapshot is damaged: ") + error.what());
  }
}

void OnceLedger::RestoreRecord(ByteReader& reader, WallTime& previous) {
  const IdempotencyKey key(reader.ReadString());
  const auto [entry, is_new] = records_.try_emplace(key);
  Record& record = entry->second;
  record.state = static_cast<uint8_t>(reader.ReadVarintUpTo(Chart().state_count() - 1));
  record.changed = WallTime(reader.ReadVarintUpTo(now_.value()));
  if (!is_new || record.changed < previous) {
    throw UserError(ResultCode::kDataCorrupt, "its records are not unique or not in order of time");
  }
  previous = record.changed;
  record.digest = reader.ReadString();
  record.attempt = reader.ReadString();
  for (size_t left = reader.ReadCount(); left > 0; --left) {
    record.released.push_back(reader.ReadString());
  }
  if (record.state == Chart().ran) {
    record.answer = ReadStoredAnswer(reader);
    body_bytes_ += record.answer.body.size();
  }
  record.expiry_position = expiry_order_.insert(expiry_order_.end(), key);
}

}  // namespace endivecleat
