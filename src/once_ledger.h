// The at-most-once records as the replicated log "once" builds them: each entry is a LedgerCommand,
// and every replica that applies the same entries holds the same records and gives the same
// answers. A record follows charts/once.chart; a key without a record is in the chart's initial
// state.
#ifndef ENDIVECLEAT_ONCE_LEDGER_H_
#define ENDIVECLEAT_ONCE_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "units.h"

namespace endivecleat {

class ByteReader;

/// The target's answer, as it is repeated to later copies of the request.
struct StoredAnswer {
  int status = 0;  // HTTP
  std::string content_type;
  std::string body;
  bool body_dropped = false;  // the request ran, but its body was too large to keep (code 506)

  bool operator==(const StoredAnswer&) const = default;
};

constexpr size_t kMaxStoredBodyBytes = size_t{64} << 10;
constexpr size_t kMaxStoredContentTypeBytes = 256;

/// The answer without a body or content type that exceeds the limits above. A daemon calls it
/// before it sends `complete`, so that no oversized body is replicated; Apply calls it as well.
StoredAnswer Storable(StoredAnswer answer);

struct LedgerCommand {
  enum Kind { kClaim, kRelease, kComplete, kRefuse };

  Kind kind = kClaim;
  IdempotencyKey key;
  std::string attempt;  // unique to one execution of one copy; never used again after a release
  std::string digest;   // of the request; used by kClaim and kRefuse
  StoredAnswer answer;  // of kComplete
  WallTime at;          // set by the proposing leader
  WallTime started;  // of kClaim: when the daemon admitted the request, by its clock; 0: not stated

  bool operator==(const LedgerCommand&) const = default;
};

struct LedgerAnswer {
  enum Kind {
    kGranted,         // to a claim: this attempt, and no other, may call the target
    kRan,             // `answer` is the first answer
    kRefused,         // final: no copy ran or can run
    kInProgress,      // another attempt holds the claim
    kDigestMismatch,  // the key belongs to another request
    kDone,  // to a release or complete: taken; to a claim: the attempt is over, do not run
    kFull,  // to a claim or refuse: no room for a record, nothing was recorded
  };

  Kind kind = kDone;
  StoredAnswer answer;

  bool operator==(const LedgerAnswer&) const = default;
};

/// Limits that all replicas share.
struct OnceLedgerLimits {
  size_t max_records = 1'000'000;
  // Bodies of 64 KiB in a million records would take 61 GiB. Above this sum an answer is kept
  // without its body.
  size_t max_body_bytes = size_t{256} << 20;
  uint64_t keep_ms = uint64_t{24} * 60 * 60 * 1000;  // after the last change of a record
  // A daemon gives up a request after at most 10 minutes; the rest allows for differing clocks.
  uint64_t max_claim_age_ms = uint64_t{60} * 60 * 1000;
};

/// Time is the largest `at` applied so far, so a leader whose clock is behind expires nothing
/// early.
///
/// A record expires `keep_ms` after its last change, in whatever state it is. A claim that comes
/// later is a new request and is granted, with one exception: a claim of an attempt that started
/// more than `max_claim_age_ms` before the entry's time is a copy that was delayed in flight, and
/// gets kDone. The guarantees therefore hold for callers that do not send a key again after 24
/// hours. A complete that comes after expiry gets kDone and makes no record.
///
/// A released attempt is remembered with its record and never granted again, since a duplicate of
/// its claim would leave the key claimed by an attempt that nobody runs. A release that overtakes
/// its own claim counts as well.
class OnceLedger {
 public:
  explicit OnceLedger(OnceLedgerLimits limits = {});
  // The records hold iterators into the order of expiry.
  OnceLedger(OnceLedger&&) = default;
  OnceLedger& operator=(OnceLedger&&) = default;
  OnceLedger(const OnceLedger&) = delete;
  OnceLedger& operator=(const OnceLedger&) = delete;

  /// Applies one log entry. Deterministic.
  LedgerAnswer Apply(const LedgerCommand& command);

  size_t record_count() const { return records_.size(); }
  /// Sum over the bodies kept, in bytes.
  size_t body_bytes() const { return body_bytes_; }

  std::string Snapshot() const;
  /// Throws UserError 701 when the bytes are no snapshot. The limits are not part of it.
  static OnceLedger Restore(std::string_view snapshot, OnceLedgerLimits limits = {});

 private:
  struct Record {
    uint8_t state = 0;  // position in the chart's list of states
    WallTime changed;
    std::string digest;
    std::string attempt;                // the last one granted
    std::vector<std::string> released;  // attempts that are never granted again, oldest first
    StoredAnswer answer;                // in state "ran"
    std::list<IdempotencyKey>::iterator place;  // in by_change_
  };
  using Records = std::unordered_map<IdempotencyKey, Record>;

  void AdvanceTime(WallTime at);
  LedgerAnswer Claim(const LedgerCommand& command);
  LedgerAnswer Release(const LedgerCommand& command);
  LedgerAnswer Complete(const LedgerCommand& command);
  LedgerAnswer Refuse(const LedgerCommand& command);
  Record* Find(const IdempotencyKey& key);
  Record* FindOrAdd(const IdempotencyKey& key);  // null when the ledger is full
  void Touch(Record& record);
  void KeepAnswer(Record& record, const StoredAnswer& answer);
  bool IsStale(const LedgerCommand& claim) const;
  static LedgerAnswer AnswerOf(const Record& record);
  // Appends one record; `previous` is the time of the one before.
  void RestoreRecord(ByteReader& reader, WallTime& previous);

  OnceLedgerLimits limits_;
  WallTime now_;
  size_t body_bytes_ = 0;
  Records records_;
  std::list<IdempotencyKey> by_change_;  // every key of records_, the longest unchanged first
};

/// The commands in log entries and on the wire.
std::string EncodeLedgerCommand(const LedgerCommand& command);
/// Throws UserError 601 when the bytes are no command.
LedgerCommand DecodeLedgerCommand(std::string_view bytes);

std::string EncodeLedgerAnswer(const LedgerAnswer& answer);
/// Throws UserError 601 when the bytes are no answer.
LedgerAnswer DecodeLedgerAnswer(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ONCE_LEDGER_H_
