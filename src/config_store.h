// The configuration of the mesh as the replicated log "config" builds it: each entry is a Change,
// and every replica that applies the same entries holds the same store and gives the same results.
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

/// A new document, as a delta (delta.h) against the stored text of the base version. The first
/// change has the empty text as its base.
struct SubmitDocument {
  std::string delta;

  bool operator==(const SubmitDocument&) const = default;
};

/// A new stored text that the proposing instance has parsed, checked and compiled, as a delta
/// against the stored text of the base version. Applying it costs no check, so that an instance
/// that starts gets through a log of many changes in a short time.
struct InstallChecked {
  std::string delta;
  PresetName preset;
  std::string revision;

  bool operator==(const InstallChecked&) const = default;
};

struct SwitchPreset {
  PresetName preset;

  bool operator==(const SwitchPreset&) const = default;
};

struct Change {
  OperationId operation;  // chosen by the operator's command, new for every change
  ConfigVersion base;     // the version that the operator saw
  std::variant<SubmitDocument, SwitchPreset, InstallChecked> what;
  std::string author;
  WallTime at;

  bool operator==(const Change&) const = default;
};

struct ChangeResult {
  ResultCode code = ResultCode::kOk;
  ConfigVersion version;  // of the change on success and of the winner on code 301, else the newest
  OperationId winner;     // the operation that made `version`
  std::string message;    // for the operator; at most 2,000 bytes

  bool operator==(const ChangeResult&) const = default;
};

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

class ConfigStore {
 public:
  static constexpr size_t kMaxHistory = 1'000;
  static constexpr size_t kMaxOperations = 10'000;
  static constexpr size_t kMaxTexts = 64;
  // Older texts are only looked up by operators, so a control instance does not hold more than this
  // for them. The newest is always kept.
  static constexpr size_t kMaxTextBytes = size_t{4} << 20;

  /// Applies one log entry. Deterministic, and never throws UserError: a change that cannot be
  /// applied leaves the store as it is and gets its code and message.
  ///
  /// An operation id that is still kept gets its first result again, whatever the change holds. An
  /// empty id, or one over 128 bytes, gets code 401 and is not kept.
  /// A document that names a preset in force switches to it; one that does not keeps the preset in
  /// force, or code 202 where it lacks that preset. The first document takes "ordinary", or its
  /// only preset. A change that leaves the stored text as it is succeeds without a new version.
  ChangeResult Apply(const Change& change);

  /// 0 before the first change.
  ConfigVersion version() const { return version_; }
  /// Canonical JSON with all presets; empty before the first change.
  const std::string& text() const;
  const PresetName& preset() const { return preset_; }
  /// The last kMaxHistory accepted changes, oldest first.
  const std::deque<HistoryEntry>& history() const { return history_; }
  /// The revision that the newest document names; empty where it names none.
  const std::string& revision() const { return revision_; }
  /// The result of an operation that is still kept; null otherwise. Valid until the next Apply.
  const ChangeResult* FindResult(const OperationId& operation) const;
  /// Null when the version is not kept. Valid until the next Apply.
  const std::string* TextAt(ConfigVersion version) const;

  std::string Snapshot() const;
  /// Throws UserError 701 when the bytes are no snapshot.
  static ConfigStore Restore(std::string_view snapshot);

 private:
  ChangeResult Decide(const Change& change);
  ChangeResult Conflict(const Change& change) const;
  ChangeResult Install(const Change& change, std::string text, PresetName preset,
                       std::string revision);
  ChangeResult Install(const Change& change, const CompiledConfiguration& next);
  ChangeResult Refusal(ResultCode code, const std::string& message) const;
  OperationId newest_operation() const;
  void Remember(const OperationId& operation, const ChangeResult& result);
  void DropOldTexts();
  void CheckRestored() const;

  ConfigVersion version_;
  PresetName preset_;
  std::string revision_;              // of the text of version_
  std::deque<HistoryEntry> history_;  // ends with version_; versions are consecutive
  std::deque<std::string> texts_;     // ends with the text of version_
  size_t text_bytes_ = 0;             // sum over texts_
  std::unordered_map<OperationId, ChangeResult> results_;  // the keys of operations_
  std::deque<OperationId> operations_;                     // in order of application
};

/// Checks a document against the store and makes the change that installs it. Throws UserError 200,
/// 201, 202 or 203 as the document deserves.
InstallChecked CheckForInstallation(const ConfigStore& store, const std::string& document);

std::string EncodeChange(const Change& change);
/// Throws UserError 601 when the bytes are no change.
Change DecodeChange(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_CONFIG_STORE_H_
