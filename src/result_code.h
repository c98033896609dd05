// The result codes that operators, callers and peers receive. docs/result-codes.md documents the
// same table; a test checks that the two agree.
#ifndef ENDIVECLEAT_RESULT_CODE_H_
#define ENDIVECLEAT_RESULT_CODE_H_

#include <span>
#include <string_view>

namespace endivecleat {

enum class ResultCode {
  kOk = 0,
  kUsage = 100,
  kSettingsInvalid = 101,
  kSettingsUnreadable = 102,
  kDocumentSyntax = 200,
  kDocumentInvalid = 201,
  kUnknownPreset = 202,
  kDocumentTooLarge = 203,
  kUnauthorized = 300,
  kVersionConflict = 301,
  kNotLeader = 302,
  kNoMajority = 303,
  kUnknownVersion = 304,
  kControlUnreachable = 305,
  kUnknownTarget = 306,
  kNoRoute = 400,
  kBadRequest = 401,
  kNoReadyTarget = 402,
  kOverloaded = 403,
  kDeadlinePassed = 404,
  kTargetUnreachable = 405,
  kAnswerBroken = 406,
  kStoppedAfterCrashes = 407,
  kBodyTooLarge = 408,
  kDraining = 409,
  kNoConfiguration = 410,
  kCancelled = 411,
  kUnknownKey = 412,
  kQuotaExceeded = 413,
  kNotRun = 501,
  kOutcomeUnknown = 502,
  kNotStarted = 503,
  kKeyReused = 504,
  kKeyMissing = 505,
  kAnswerTooLargeToReplay = 506,
  kPeerUnauthorized = 600,
  kMessageMalformed = 601,
  kPeerBusy = 602,
  kDigestMismatch = 603,
  kDataFolderUnusable = 700,
  kDataCorrupt = 701,
  kInternal = 900,
};

/// Describes one result code.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  int http_status;  // sent to callers and operators; 0 if the code is never sent over HTTP
  int exit_status;  // of an operator command that ends with this code
  std::string_view meaning;
};

/// Returns all result codes, in ascending order of code.
std::span<const ResultCodeInfo> ResultCodeTable();

/// Returns the entry of a code. Throws InternalError if the table has none.
const ResultCodeInfo& Describe(ResultCode code);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_RESULT_CODE_H_
