// Deterministic state machine of the replicated log "config", which holds the configuration of the
// mesh with its history. Each log entry is a Change; replicas that apply the same entries hold the
// same store and return the same results.
#ifndef ENDIVECLEAT_CONFIG_STORE_H_
#define ENDIVECLEAT_CONFIG_STORE_H_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "configuration.h"
#include "result_code.h"
#include "units.h"

namespace endivecleat {

/// A new document, as a delta (delta.h) against the stored text of the base version. The base of
/// the first change is the empty text.
struct SubmitDocument {
  std::string delta;

  bool operator==(const SubmitDocument&) const = default;
};

/// A new stored text that the proposing instance has already parsed, checked and compiled, as a
/// delta against the stored text of the base version. Apply does not validate it again, so an
/// instance that starts can replay a long log quickly.
struct InstallCheckedText {
  std::string delta;
  PresetName preset;
  std::string revision;

  bool operator==(const InstallCheckedText&) const = default;
};

/// Puts another preset of the stored document in force.
struct SwitchPreset {
  PresetName preset;

  bool operator==(const SwitchPreset&) const = default;
};

/// A log entry: one change that an operator requested.
struct Change {
  OperationId operation;  // idempotency key from the operator's command, unique to each change
  ConfigVersion base;     // expected current version, for optimistic concurrency control
  std::variant<SubmitDocument, SwitchPreset, InstallCheckedText> payload;
  std::string author;
  WallTime at;

  bool operator==(const Change&) const = default;
};

/// The result of applying a Change.
struct ChangeResult {
  ResultCode code = ResultCode::kOk;
  // On success the version of the change, on code 301 the conflicting version, else the newest.
  ConfigVersion version;
  OperationId winner;   // the operation that created `version`
  std::string message;  // for the operator; at most 2,000 bytes

  bool operator==(const ChangeResult&) const = default;
};

/// Metadata of one accepted change.
struct HistoryEntry {
  ConfigVersion version;
  OperationId operation;
  std::string author;
  WallTime at;
  PresetName preset;  // in force from this version on
  bool is_switch = false;
  std::string digest;  // of the stored text

  bool operator==(const HistoryEntry&) const = default;
};

/// The current configuration, recent versions, and the results of recent operations.
class ConfigStore {
 public:
  static constexpr size_t kMaxHistory = 1'000;
  static constexpr size_t kMaxOperations = 10'000;
  static constexpr size_t kMaxTexts = 64;
  // Limits the memory for texts. Only operators read older texts; the newest is never evicted.
  static constexpr size_t kMaxTextBytes = size_t{4} << 20;

  /// Applies one log entry. Deterministic, and never throws UserError: a change that cannot be
  /// applied leaves the store unchanged and returns an error code and message.
  ///
  /// A repeated operation id returns the stored result of its first application, whatever the
  /// change contains. An empty id, or one over 128 bytes, returns code 401 and is not stored.
  /// A document that names a preset in force switches to it. Otherwise the current preset stays in
  /// force, and a document that lacks it is rejected with code 202. The first document uses its
  /// only preset, or "ordinary" when it has several. A change that does not alter the stored text
  /// succeeds without a new version.
  ChangeResult Apply(const Change& change);

  /// 0 before the first change.
  ConfigVersion version() const { return version_; }
  /// Canonical JSON with all presets; empty before the first change.
  const std::string& text() const;
  const PresetName& preset() const { return preset_; }
  /// The last kMaxHistory accepted changes, oldest first.
  const std::deque<HistoryEntry>& history() const { return history_; }
  /// The newest rollout of each service. Documents neither set nor remove them; they change only by
  /// InstallCheckedText (see PrepareRollout).
  const Rollouts& rollouts() const { return rollouts_; }
  /// The `revision` field of the newest document; empty when it has none.
  const std::string& revision() const { return revision_; }
  /// The stored result of an operation, or null when it is unknown or evicted. Valid until the next
  /// Apply.
  const ChangeResult* FindResult(const OperationId& operation) const;
  /// The text of a version, or null when it is unknown or evicted. Valid until the next Apply.
  const std::string* TextAt(ConfigVersion version) const;

  std::string Snapshot() const;
  /// Throws UserError 701 when the snapshot is malformed or inconsistent.
  static ConfigStore Restore(std::string_view snapshot);

 private:
  ChangeResult Evaluate(const Change& change);
  ChangeResult VersionConflict(const Change& change) const;
  ChangeResult Install(const Change& change, std::string text, PresetName preset,
                       std::string revision);
  ChangeResult Install(const Change& change, const CompiledConfiguration& next);
  ChangeResult Rejection(ResultCode code, const std::string& message) const;
  OperationId newest_operation() const;
  void StoreResult(const OperationId& operation, const ChangeResult& result);
  void EvictOldTexts();
  void CheckConsistency() const;

  ConfigVersion version_;
  PresetName preset_;
  std::string revision_;              // of the text of version_
  Rollouts rollouts_;                 // of the text of version_
  std::deque<HistoryEntry> history_;  // ends with version_; versions are consecutive
  std::deque<std::string> texts_;     // ends with the text of version_
  size_t text_bytes_ = 0;             // total size of texts_
  std::unordered_map<OperationId, ChangeResult> results_;  // keyed by operations_
  std::deque<OperationId> operations_;                     // oldest first
};

/// Validates a document against the store and returns the change that installs it. Throws UserError
/// 200 (syntax), 201 (invalid), 202 (unknown preset) or 203 (too large).
InstallCheckedText PrepareInstallation(const ConfigStore& store, const std::string& document);

/// Returns the change that sets the rollout of one service and leaves the rest as it is.
InstallCheckedText PrepareRollout(const ConfigStore& store, const ServiceName& service,
                                  const Rollout& rollout);

std::string EncodeChange(const Change& change);
/// Throws UserError 601 when the bytes are malformed.
Change DecodeChange(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_STORE_H_
