// Applies configuration changes with optimistic concurrency control and deduplication by operation
// id. Texts, history and results are bounded queues that evict their oldest entries.
#include "config_store.h"

#include <algorithm>
#include <utility>

#include "byte_codec.h"
#include "configuration.h"
#include "delta.h"
#include "errors.h"
#include "json_document.h"

namespace endivecleat {
namespace {

constexpr uint64_t kChangeFormat = 1;
constexpr uint64_t kSnapshotFormat = 1;
constexpr uint64_t kSubmitKind = 0;
constexpr uint64_t kSwitchKind = 1;
constexpr uint64_t kInstallKind = 2;
constexpr size_t kMaxOperationIdBytes = 128;
constexpr size_t kMaxAuthorBytes = 256;
constexpr size_t kMaxListedProblems = 10;
constexpr size_t kMaxMessageBytes = 1'997;  // TruncateUtf8 appends "..."
// Upper bound for a decompressed snapshot: more than kMaxTextBytes plus 10,000 results and 1,000
// history entries of usual size.
constexpr size_t kMaxSnapshotStateBytes = size_t{256} << 20;

std::string Describe(const UserError& error) {
  std::string message = error.what();
  const size_t shown = std::min(error.problems().size(), kMaxListedProblems);
  for (size_t position = 0; position < shown; ++position) {
    const Problem& problem = error.problems()[position];
    message += (position == 0 ? ": " : "; ") + problem.json_path + ": " + problem.message;
  }
  if (shown < error.problems().size()) {
    message += "; and " + std::to_string(error.problems().size() - shown) + " more";
  }
  return TruncateUtf8(message, kMaxMessageBytes);
}

// The text has been checked, so that there are no problems to report.
Rollouts RolloutsOf(const std::string& text) {
  const std::string member = FindRolloutsText(text);
  std::vector<Problem> problems;
  return member.empty()
             ? Rollouts()
             : ReadRollouts("/rollouts", nlohmann::json::parse(member, nullptr, false), problems);
}

PresetName ChoosePreset(const CheckedConfiguration& checked, const PresetName& current) {
  if (checked.preset_in_force) {
    return *checked.preset_in_force;
  }
  if (!current.empty()) {
    return current;
  }
  return checked.presets.size() == 1 ? checked.presets.front().name : PresetName("ordinary");
}

void WriteChangeResult(ByteWriter& writer, const ChangeResult& result) {
  writer.WriteVarint(static_cast<uint64_t>(result.code));
  writer.WriteVarint(result.version.value());
  writer.WriteString(result.winner.value());
  writer.WriteString(result.message);
}

ResultCode ReadResultCode(ByteReader& reader) {
  const uint64_t number = reader.ReadVarint();
  for (const ResultCodeInfo& row : ResultCodeTable()) {
    if (static_cast<uint64_t>(row.code) == number) {
      return row.code;
    }
  }
  throw UserError(ResultCode::kMessageMalformed, "unknown result code " + std::to_string(number));
}

ChangeResult ReadChangeResult(ByteReader& reader) {
  ChangeResult result;
  result.code = ReadResultCode(reader);
  result.version = ConfigVersion(reader.ReadVarint());
  result.winner = OperationId(reader.ReadString());
  result.message = reader.ReadString();
  return result;
}

void WriteHistoryEntry(ByteWriter& writer, const HistoryEntry& entry) {
  writer.WriteVarint(entry.version.value());
  writer.WriteString(entry.operation.value());
  writer.WriteString(entry.author);
  writer.WriteVarint(entry.at.value());
  writer.WriteString(entry.preset.value());
  writer.WriteVarint(entry.is_switch ? 1 : 0);
  writer.WriteString(entry.digest);
}

HistoryEntry ReadHistoryEntry(ByteReader& reader) {
  HistoryEntry entry;
  entry.version = ConfigVersion(reader.ReadVarint());
  entry.operation = OperationId(reader.ReadString());
  entry.author = reader.ReadString();
  entry.at = WallTime(reader.ReadVarint());
  entry.preset = PresetName(reader.ReadString());
  entry.is_switch = reader.ReadVarintUpTo(1) == 1;
  entry.digest = reader.ReadString();
  return entry;
}

}  // namespace

ChangeResult ConfigStore::Apply(const Change& change) {
  if (change.operation.empty() || change.operation.value().size() > kMaxOperationIdBytes) {
    return Rejection(ResultCode::kBadRequest, "an operation id must have 1 to 128 bytes");
  }
  if (const auto known = results_.find(change.operation); known != results_.end()) {
    return known->second;
  }
  ChangeResult result = Evaluate(change);
  StoreResult(change.operation, result);
  return result;
}

ChangeResult ConfigStore::Evaluate(const Change& change) {
  if (change.base != version_) {
    return VersionConflict(change);
  }
  try {
    if (const auto* submitted = std::get_if<SubmitDocument>(&change.payload)) {
      const std::string document = ApplyDelta(text(), submitted->delta, kMaxDocumentBytes);
      CheckedConfiguration checked = ParseAndCheck({document});
      checked.rollouts = rollouts_;
      return Install(change, *Compile(checked, version_.next(), ChoosePreset(checked, preset_)));
    }
    if (const auto* checked = std::get_if<InstallCheckedText>(&change.payload)) {
      return Install(change, ApplyDelta(text(), checked->delta, kMaxDocumentBytes), checked->preset,
                     checked->revision);
    }
    const PresetName& preset = std::get<SwitchPreset>(change.payload).preset;
    if (texts_.empty()) {
      return Rejection(ResultCode::kUnknownPreset, "no configuration has been submitted yet");
    }
    return Install(change, *Compile(ParseAndCheck({text()}), version_.next(), preset));
  } catch (const UserError& error) {
    return Rejection(error.code(), Describe(error));
  }
}

ChangeResult ConfigStore::VersionConflict(const Change& change) const {
  const std::string base = std::to_string(change.base.value());
  if (change.base > version_) {
    return Rejection(ResultCode::kUnknownVersion, "base version " + base +
                                                      " does not exist; the newest version is " +
                                                      std::to_string(version_.value()));
  }
  const auto winner =
      std::find_if(history_.begin(), history_.end(),
                   [&](const HistoryEntry& entry) { return entry.version == change.base.next(); });
  // The change that followed the base may have been evicted; then the newest change is reported.
  const HistoryEntry& entry = winner == history_.end() ? history_.back() : *winner;
  const std::string version = std::to_string(entry.version.value());
  return {ResultCode::kVersionConflict, entry.version, entry.operation,
          "base version " + base + " is outdated: operation \"" + entry.operation.value() +
              "\" made version " + version + "; look at the newest version, " +
              std::to_string(version_.value()) + ", and submit again under a new operation id"};
}

ChangeResult ConfigStore::Install(const Change& change, const CompiledConfiguration& next) {
  return Install(change, next.text(), next.preset(), next.revision());
}

ChangeResult ConfigStore::Install(const Change& change, std::string text, PresetName preset,
                                  std::string revision) {
  if (text == this->text()) {
    return {ResultCode::kOk, version_, newest_operation(),
            "no difference from version " + std::to_string(version_.value())};
  }
  if (text.size() > kMaxDocumentBytes) {
    return Rejection(ResultCode::kDocumentTooLarge,
                     "the configuration would take " + std::to_string(text.size()) +
                         " bytes; the limit is " + std::to_string(kMaxDocumentBytes));
  }
  version_ = version_.next();
  preset_ = std::move(preset);
  revision_ = std::move(revision);
  history_.push_back({version_, change.operation, TruncateUtf8(change.author, kMaxAuthorBytes),
                      change.at, preset_, std::holds_alternative<SwitchPreset>(change.payload),
                      TextDigest(text)});
  if (history_.size() > kMaxHistory) {
    history_.pop_front();
  }
  rollouts_ = RolloutsOf(text);
  text_bytes_ += text.size();
  texts_.push_back(std::move(text));
  EvictOldTexts();
  return {ResultCode::kOk, version_, change.operation, ""};
}

ChangeResult ConfigStore::Rejection(ResultCode code, const std::string& message) const {
  return {code, version_, newest_operation(), TruncateUtf8(message, kMaxMessageBytes)};
}

OperationId ConfigStore::newest_operation() const {
  return history_.empty() ? OperationId() : history_.back().operation;
}

void ConfigStore::StoreResult(const OperationId& operation, const ChangeResult& result) {
  results_.emplace(operation, result);
  operations_.push_back(operation);
  if (operations_.size() > kMaxOperations) {
    results_.erase(operations_.front());
    operations_.pop_front();
  }
}

void ConfigStore::EvictOldTexts() {
  while (texts_.size() > 1 && (texts_.size() > kMaxTexts || text_bytes_ > kMaxTextBytes)) {
    text_bytes_ -= texts_.front().size();
    texts_.pop_front();
  }
}

const std::string& ConfigStore::text() const {
  static const std::string none;
  return texts_.empty() ? none : texts_.back();
}

const ChangeResult* ConfigStore::FindResult(const OperationId& operation) const {
  const auto found = results_.find(operation);
  return found == results_.end() ? nullptr : &found->second;
}

const std::string* ConfigStore::TextAt(ConfigVersion version) const {
  if (version > version_) {
    return nullptr;
  }
  const uint64_t age = version_.value() - version.value();
  return age < texts_.size() ? &texts_[texts_.size() - 1 - age] : nullptr;
}

std::string ConfigStore::Snapshot() const {
  ByteWriter writer;
  writer.WriteVarint(kSnapshotFormat);
  writer.WriteVarint(version_.value());
  writer.WriteString(preset_.value());
  writer.WriteVarint(history_.size());
  for (const HistoryEntry& entry : history_) {
    WriteHistoryEntry(writer, entry);
  }
  writer.WriteVarint(operations_.size());
  for (const OperationId& operation : operations_) {
    writer.WriteString(operation.value());
    WriteChangeResult(writer, results_.at(operation));
  }
  writer.WriteVarint(texts_.size());
  for (const std::string& text : texts_) {
    writer.WriteString(text);
  }
  return CompressState(writer.Take());
}

ConfigStore ConfigStore::Restore(std::string_view snapshot) {
  try {
    const std::string state = ReadSnapshot(snapshot, kMaxSnapshotStateBytes);
    ByteReader reader(state);
    ConfigStore store;
    reader.ExpectVarint(kSnapshotFormat);
    store.version_ = ConfigVersion(reader.ReadVarint());
    store.preset_ = PresetName(reader.ReadString());
    for (size_t left = reader.ReadCount(); left > 0; --left) {
      store.history_.push_back(ReadHistoryEntry(reader));
    }
    for (size_t left = reader.ReadCount(); left > 0; --left) {
      OperationId operation(reader.ReadString());
      if (!store.results_.emplace(operation, ReadChangeResult(reader)).second) {
        throw UserError(ResultCode::kDataCorrupt, "an operation id occurs twice");
      }
      store.operations_.push_back(std::move(operation));
    }
    for (size_t left = reader.ReadCount(); left > 0; --left) {
      store.texts_.push_back(reader.ReadString());
      store.text_bytes_ += store.texts_.back().size();
    }
    reader.ExpectEnd();
    store.CheckConsistency();
    if (!store.texts_.empty()) {
      const auto compiled = CompileStored(store.text(), store.version_);
      store.revision_ = compiled->revision();
      store.rollouts_ = compiled->rollouts();
    }
    return store;
  } catch (const UserError& error) {
    throw UserError(ResultCode::kDataCorrupt,
                    std::string("the configuration snapshot is damaged: ") + error.what());
  }
}

void ConfigStore::CheckConsistency() const {
  bool consistent = history_.empty() == (version_ == ConfigVersion()) &&
                    history_.empty() == texts_.empty() && texts_.size() <= history_.size();
  const uint64_t oldest = version_.value() - history_.size() + 1;
  for (size_t position = 0; position < history_.size(); ++position) {
    consistent = consistent && history_[position].version.value() == oldest + position;
  }
  if (!consistent) {
    throw UserError(ResultCode::kDataCorrupt, "its version, history and texts are inconsistent");
  }
}

InstallCheckedText PrepareInstallation(const ConfigStore& store, const std::string& document) {
  CheckedConfiguration checked = ParseAndCheck({document});
  checked.rollouts = store.rollouts();
  const auto compiled =
      Compile(checked, store.version().next(), ChoosePreset(checked, store.preset()));
  return {MakeDelta(store.text(), compiled->text()), compiled->preset(), compiled->revision()};
}

InstallCheckedText PrepareRollout(const ConfigStore& store, const ServiceName& service,
                                  const Rollout& rollout) {
  Rollouts rollouts = store.rollouts();
  rollouts[service] = rollout;
  return {MakeDelta(store.text(), ReplaceRollouts(store.text(), rollouts)), store.preset(),
          store.revision()};
}

std::string EncodeChange(const Change& change) {
  ByteWriter writer;
  writer.WriteVarint(kChangeFormat);
  writer.WriteString(change.operation.value());
  writer.WriteVarint(change.base.value());
  if (const auto* submitted = std::get_if<SubmitDocument>(&change.payload)) {
    writer.WriteVarint(kSubmitKind);
    writer.WriteString(submitted->delta);
  } else if (const auto* checked = std::get_if<InstallCheckedText>(&change.payload)) {
    writer.WriteVarint(kInstallKind);
    writer.WriteString(checked->delta);
    writer.WriteString(checked->preset.value());
    writer.WriteString(checked->revision);
  } else {
    writer.WriteVarint(kSwitchKind);
    writer.WriteString(std::get<SwitchPreset>(change.payload).preset.value());
  }
  writer.WriteString(change.author);
  writer.WriteVarint(change.at.value());
  return writer.Take();
}

Change DecodeChange(std::string_view bytes) {
  ByteReader reader(bytes);
  Change change;
  reader.ExpectVarint(kChangeFormat);
  change.operation = OperationId(reader.ReadString());
  change.base = ConfigVersion(reader.ReadVarint());
  const uint64_t kind = reader.ReadVarintUpTo(kInstallKind);
  if (kind == kSubmitKind) {
    change.payload = SubmitDocument{reader.ReadString()};
  } else if (kind == kInstallKind) {
    InstallCheckedText checked;
    checked.delta = reader.ReadString();
    checked.preset = PresetName(reader.ReadString());
    checked.revision = reader.ReadString();
    change.payload = std::move(checked);
  } else {
    change.payload = SwitchPreset{PresetName(reader.ReadString())};
  }
  change.author = reader.ReadString();
  change.at = WallTime(reader.ReadVarint());
  reader.ExpectEnd();
  return change;
}

}  // namespace endivecleat
