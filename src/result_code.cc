// The table of result codes and its linear lookup.
#include "result_code.h"

#include <algorithm>
#include <array>

#include "errors.h"

namespace endivecleat {
namespace {

// Exit statuses of operator commands: 0 success, 1 rejected or failed, 2 invalid input, 3 version
// conflict, 4 unreachable or unconfirmed.
constexpr std::array kTable = std::to_array<ResultCodeInfo>({
    {ResultCode::kOk, "ok", 200, 0, "The request was carried out."},
    {ResultCode::kUsage, "usage", 0, 2, "The command line is wrong; see --help."},
    {ResultCode::kSettingsInvalid, "settings_invalid", 0, 2,
     "The settings file breaks its schema."},
    {ResultCode::kSettingsUnreadable, "settings_unreadable", 0, 2,
     "A settings or token file cannot be read."},
    {ResultCode::kDocumentSyntax, "document_syntax", 400, 2,
     "The configuration is not valid JSON."},
    {ResultCode::kDocumentInvalid, "document_invalid", 422, 2,
     "The configuration breaks a rule; each problem is listed."},
    {ResultCode::kUnknownPreset, "unknown_preset", 404, 2,
     "The configuration has no preset of this name."},
    {ResultCode::kDocumentTooLarge, "document_too_large", 413, 2,
     "The configuration exceeds its size limit."},
    {ResultCode::kUnauthorized, "unauthorized", 401, 1, "The token is missing or wrong."},
    {ResultCode::kVersionConflict, "version_conflict", 409, 3,
     "Another change was accepted under the same base version."},
    {ResultCode::kNotLeader, "not_leader", 421, 4,
     "This control instance is not the leader and knows no leader."},
    {ResultCode::kNoMajority, "no_majority", 503, 4,
     "No majority answered in time; ask again with the same operation id."},
    {ResultCode::kUnknownVersion, "unknown_version", 404, 1, "This version is not kept."},
    {ResultCode::kControlUnreachable, "control_unreachable", 0, 4, "No control instance answered."},
    {ResultCode::kUnknownTarget, "unknown_target", 404, 1, "No target of this name is known."},
    {ResultCode::kNoRoute, "no_route", 404, 1, "No route matches the request."},
    {ResultCode::kBadRequest, "bad_request", 400, 1, "The request is malformed."},
    {ResultCode::kNoReadyTarget, "no_ready_target", 503, 1,
     "No ready target serves this service; nothing was run."},
    {ResultCode::kOverloaded, "overloaded", 503, 1,
     "Every target asked had its slots and queue full; nothing was run."},
    {ResultCode::kDeadlinePassed, "deadline_passed", 504, 1,
     "The deadline passed before the answer."},
    {ResultCode::kTargetUnreachable, "target_unreachable", 503, 1,
     "No connection to a target; nothing was run."},
    {ResultCode::kAnswerBroken, "answer_broken", 502, 1,
     "The connection broke before the whole answer had come."},
    {ResultCode::kStoppedAfterCrashes, "stopped_after_crashes", 503, 1,
     "Targets crashed while running this request."},
    {ResultCode::kBodyTooLarge, "body_too_large", 413, 1,
     "The body exceeds the limit of the service."},
    {ResultCode::kDraining, "draining", 503, 1, "The target takes no new work; nothing was run."},
    {ResultCode::kNoConfiguration, "no_configuration", 503, 1,
     "This daemon has no configuration yet."},
    {ResultCode::kCancelled, "cancelled", 499, 1, "The caller went away before the answer."},
    {ResultCode::kUnknownKey, "unknown_key", 401, 1,
     "The request has no API key, or one that belongs to no tenant."},
    {ResultCode::kQuotaExceeded, "quota_exceeded", 429, 1,
     "The tenant has used its quota; nothing was run."},
    {ResultCode::kNotRun, "not_run", 409, 1,
     "Final: the request did not run and no copy of it can run."},
    {ResultCode::kOutcomeUnknown, "outcome_unknown", 503, 1,
     "It is not known whether the request ran; send it again with the same key."},
    {ResultCode::kNotStarted, "not_started", 503, 1,
     "This copy was not started; send it again with the same key."},
    {ResultCode::kKeyReused, "key_reused", 422, 1, "The key was used before with another request."},
    {ResultCode::kKeyMissing, "key_missing", 400, 1, "The route needs an Idempotency-Key header."},
    {ResultCode::kAnswerTooLargeToReplay, "answer_too_large_to_replay", 500, 1,
     "The request ran, but its answer was too large to keep."},
    {ResultCode::kPeerUnauthorized, "peer_unauthorized", 401, 1,
     "A peer sent no valid mesh token."},
    {ResultCode::kMessageMalformed, "message_malformed", 400, 1,
     "A message between processes cannot be decoded."},
    {ResultCode::kPeerBusy, "peer_busy", 0, 1,
     "The peer serves its limit of transfers; ask again later."},
    {ResultCode::kDigestMismatch, "digest_mismatch", 0, 1,
     "A transferred configuration does not match its digest."},
    {ResultCode::kDataFolderUnusable, "data_folder_unusable", 0, 1,
     "The data folder cannot be read or written."},
    {ResultCode::kDataCorrupt, "data_corrupt", 0, 1, "A file in the data folder is damaged."},
    {ResultCode::kInternal, "internal", 500, 1,
     "An invariant of the program is broken; please report it."},
});

}  // namespace

std::span<const ResultCodeInfo> ResultCodeTable() { return kTable; }

const ResultCodeInfo& Describe(ResultCode code) {
  const auto* row = std::find_if(kTable.begin(), kTable.end(),
                                 [&](const auto& info) { return info.code == code; });
  ENDIVECLEAT_CHECK(row != kTable.end(), "result code is not in the table");
  return *row;
}

}  // namespace endivecleat
