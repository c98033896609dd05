// The part of TargetTask that rollouts need: what the version of the target may run, and the count
// of its responses.
#include <algorithm>

#include "log.h"
#include "rollout_split.h"
#include "target_task.h"

namespace endivecleat {
namespace {

// A cancelled request that has run for this long counts as one that the target did not answer.
constexpr Duration kLongRun = std::chrono::seconds(1);

}  // namespace

const Rollout* TargetTask::FindRollout() const {
  return context_.configuration
             ? context_.configuration->FindRollout(target_.announcement().service)
             : nullptr;
}

void TargetTask::HoldUnexpectedVersion(const TargetVersion& before) {
  const Announcement& announced = target_.announcement();
  if (announced.version == before || FindRollout() != nullptr) {
    return;
  }
  const Membership& membership = context_.node.membership();
  std::vector<VersionedTarget> others;
  for (const MemberRecord& member : membership.members()) {
    if (member.service == announced.service &&
        member.instance != context_.settings.common.instance) {
      others.push_back({member.instance, member.target_version, member.boot_time});
    }
  }
  if (MayPrecedeOrder(announced.version, membership.self().boot_time, others)) {
    hold_until_ = context_.loop.now() + context_.settings.common.in_force_within;
    Log(LogLevel::kInfo, "target_version_held",
        {{"target", announced.target.value()}, {"target_version", announced.version.value()}});
  }
}

bool TargetTask::VersionMayRun(const AttemptMessage& message) const {
  const Rollout* rollout = FindRollout();
  return rollout != nullptr || context_.loop.now() >= hold_until_
             ? MayRun(rollout, target_.announcement().version, message.target_version)
             : false;
}

void TargetTask::UpdateEvidence() {
  const Announcement& announced = target_.announcement();
  evidence_.Update(context_.loop.now(), announced.service, FindRollout(), announced.target,
                   announced.version);
}

std::optional<std::string> TargetTask::TakeRolloutReport() {
  UpdateEvidence();
  const std::optional<RolloutReport> report = evidence_.TakeReport(context_.loop.now());
  return report ? std::optional(EncodeRolloutReport(*report)) : std::nullopt;
}

// Counts a response of the target, or with null a request that was cancelled: one that has run for
// long counts as a failure, and the others tell nothing.
void TargetTask::CountEvidence(const HttpRequest& request, std::optional<TimePoint> called,
                               const HttpOutcome* outcome) {
  if (FindRollout() == nullptr || !called) {
    return;
  }
  UpdateEvidence();
  const TimePoint now = context_.loop.now();
  const Duration taken = now - *called;
  const std::string host = request.headers.ValueOr("host", "");
  const CompiledRoute* found = context_.configuration->FindRoute(
      request.method, host.substr(0, host.rfind(':')), request.path);
  const std::string route = found == nullptr ? "" : found->name.value();
  if (outcome == nullptr) {
    if (taken >= kLongRun) {
      evidence_.AddResponse(now, route, taken, true);
    }
  } else if (outcome->kind == HttpOutcome::kBroken) {
    evidence_.AddBrokenOff(now, route);
  } else if (outcome->kind != HttpOutcome::kNotSent) {
    const bool good =
        outcome->kind == HttpOutcome::kAnswered && outcome->response.status < 500 &&
        ClassifyAnswer(context_.settings.headers, outcome->response) == AnswerKind::kAnswer;
    evidence_.AddResponse(now, route, taken, !good);
  }
}

}  // namespace endivecleat
