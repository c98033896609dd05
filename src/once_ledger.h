// Deterministic state machine of the replicated log "once", which stores one record per idempotency
// key. Each log entry is a LedgerCommand; replicas that apply the same entries hold the same
// records and return the same answers. A record follows charts/once.chart; a key without a record
// is in the chart's initial state.
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

/// The target's HTTP response, which is replayed to retries and duplicates of the request.
struct StoredAnswer {
  int status = 0;  // HTTP
  std::string content_type;
  std::string body;
  bool body_dropped = false;  // the body was too large to store; a replay gets result code 506

  bool operator==(const StoredAnswer&) const = default;
};

constexpr size_t kMaxStoredBodyBytes = size_t{64} << 10;
constexpr size_t kMaxStoredContentTypeBytes = 256;

/// Drops body and content type of an answer when either exceeds the limits above. A daemon calls it
/// before it sends `complete`, so that no oversized body is replicated; Apply calls it as well.
StoredAnswer DropOversizedBody(StoredAnswer answer);

/// A log entry: one operation on the record of one idempotency key.
struct LedgerCommand {
  enum Kind { kClaim, kRelease, kComplete, kRefuse };

  Kind kind = kClaim;
  IdempotencyKey key;
  std::string attempt;  // unique id of one execution attempt; not reused after a release
  std::string digest;   // of the request; used by kClaim and kRefuse
  StoredAnswer answer;  // of kComplete
  WallTime at;          // clock of the proposing leader
  /// Of kClaim: when the daemon admitted the request, by its clock. 0: unknown.
  WallTime admitted_at;

  bool operator==(const LedgerCommand&) const = default;
};

/// The result of applying a LedgerCommand.
struct LedgerResult {
  enum Kind {
    kGranted,         // to a claim: this attempt, and no other, may call the target
    kRan,             // the request has run; `answer` is its stored response
    kRefused,         // final: the request has not run and never will
    kInProgress,      // another attempt holds the claim
    kDigestMismatch,  // the key was used for a different request
    kDone,  // to a release or complete: processed; to a claim: the attempt is over, do not run
    kFull,  // to a claim or refuse: the ledger is full and nothing was recorded
  };

  Kind kind = kDone;
  StoredAnswer answer;

  bool operator==(const LedgerResult&) const = default;
};

/// Limits of the ledger. They must be equal on all replicas, since they affect the answers.
struct OnceLedgerLimits {
  size_t max_records = 1'000'000;
  // Limits the total size of stored bodies; beyond it an answer is stored without its body. A
  // million records with bodies of 64 KiB each would take 61 GiB.
  size_t max_body_bytes = size_t{256} << 20;
  uint64_t retention_ms = uint64_t{24} * 60 * 60 * 1000;  // since the last change of a record
  // A daemon abandons a request after at most 10 minutes; the rest allows for clock skew.
  uint64_t max_claim_age_ms = uint64_t{60} * 60 * 1000;
};

/// Grants each idempotency key to one attempt at a time and replays the stored response.
///
/// The current time is the largest `at` applied so far: time is monotonic even if a new leader's
/// clock is behind, and no record expires early because of it.
///
/// A record expires `retention_ms` after its last change, whatever its state. A claim after expiry
/// counts as a new request and is granted, unless its attempt started more than `max_claim_age_ms`
/// before the entry's time: then it is a duplicate that was delayed in the network, and gets kDone.
/// At most one execution is therefore guaranteed only to callers that do not reuse a key after 24
/// hours. A complete after expiry gets kDone and creates no record.
///
/// The record stores the ids of released attempts, which are never granted again: a duplicate of
/// their claim would leave the key claimed by an attempt that no daemon executes. A release that
/// arrives before its own claim is stored as well.
class OnceLedger {
 public:
  explicit OnceLedger(OnceLedgerLimits limits = {});
  // Not copyable: the records hold iterators into the list that orders them by expiry.
  OnceLedger(OnceLedger&&) = default;
  OnceLedger& operator=(OnceLedger&&) = default;
  OnceLedger(const OnceLedger&) = delete;
  OnceLedger& operator=(const OnceLedger&) = delete;

  /// Applies one log entry. The result depends only on the entries applied before.
  LedgerResult Apply(const LedgerCommand& command);

  size_t record_count() const { return records_.size(); }
  /// Total size of the stored bodies, in bytes.
  size_t body_bytes() const { return body_bytes_; }

  std::string Snapshot() const;
  /// Throws UserError 701 when the snapshot is malformed. A snapshot does not contain the limits.
  static OnceLedger Restore(std::string_view snapshot, OnceLedgerLimits limits = {});

 private:
  struct Record {
    uint8_t state = 0;  // index into the chart's list of states
    WallTime changed;
    std::string digest;
    std::string attempt;                // the last granted attempt
    std::vector<std::string> released;  // attempts never granted again, oldest first
    StoredAnswer answer;                // in state "ran"
    std::list<IdempotencyKey>::iterator expiry_position;  // in expiry_order_
  };
  using Records = std::unordered_map<IdempotencyKey, Record>;

  void AdvanceTimeAndExpire(WallTime at);
  LedgerResult Claim(const LedgerCommand& command);
  LedgerResult Release(const LedgerCommand& command);
  LedgerResult Complete(const LedgerCommand& command);
  LedgerResult Refuse(const LedgerCommand& command);
  Record* Find(const IdempotencyKey& key);
  Record* FindOrCreate(const IdempotencyKey& key);  // null when the ledger is full
  void MarkChanged(Record& record);
  void StoreAnswer(Record& record, const StoredAnswer& answer);
  bool IsDelayedDuplicate(const LedgerCommand& claim) const;
  static LedgerResult AnswerOf(const Record& record);
  // Reads and appends one record. `previous` is the change time of the record before it, and is
  // updated.
  void RestoreRecord(ByteReader& reader, WallTime& previous);

  OnceLedgerLimits limits_;
  WallTime now_;
  size_t body_bytes_ = 0;
  Records records_;
  std::list<IdempotencyKey> expiry_order_;  // every key of records_, least recently changed first
};

/// Encodes a command for log entries and for messages between instances.
std::string EncodeLedgerCommand(const LedgerCommand& command);
/// Throws UserError 601 when the bytes are malformed.
LedgerCommand DecodeLedgerCommand(std::string_view bytes);

std::string EncodeLedgerResult(const LedgerResult& answer);
/// Throws UserError 601 when the bytes are malformed.
LedgerResult DecodeLedgerResult(std::string_view bytes);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_ONCE_LEDGER_H_
