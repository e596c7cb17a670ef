#include "engine/teams/admission.h"

#include <algorithm>
#include <cstdint>

#include <xxhash.h>

#include "engine/jobs/candidates.h"
#include "engine/jobs/objective_rule.h"
#include "engine/jobs/placement_round.h"
#include "engine/jobs/placing.h"
#include "engine/members/membership.h"
#include "engine/teams/quota.h"
#include "engine/teams/quota_demand.h"

namespace burdockrock::engine {

namespace {

constexpr Duration kBacklogInterval = milliseconds(100);
// A step whose turn has just come waits for messages only.
constexpr Duration kShortestWait = milliseconds(300);
// What a member reported counts half as much for each such time without another
// digest, so that a lost member's work does not keep others from being
// accepted.
constexpr Duration kReportHalfLife = milliseconds(3000);
constexpr int kMostHalvings = 20;

constexpr Duration kShortestRetry = milliseconds(1000);
constexpr Duration kLongestRetry = milliseconds(30'000);

bool HasWaited(const Context& context, const ReadyStep& ready) {
  return ready.run().ready_at != kForever &&
         HasPassed(context.now, ready.run().ready_at, kShortestWait);
}

std::int64_t WaitingWork(const Context& context, const ReadyStep& ready) {
  const auto tasks = std::count_if(
      ready.run().tasks.begin(), ready.run().tasks.end(), [&](const Task& it) {
        return it.phase == TaskPhase::kWaiting && it.retry_at <= context.now;
      });
  constexpr std::int64_t kMilli = 1000;
  return tasks * ready.spec().each.processors_milli *
         ToMilliseconds(ready.spec().estimate) / kMilli;
}

void AddWork(const Context& context, const ReadyStep& ready, Backlog& backlog) {
  const std::int64_t work = WaitingWork(context, ready);
  if (IsDeferred(ready.standing())) {
    backlog.deferred += work;
  } else if (ready.queue->priority == kMostUrgent) {
    backlog.urgent += work;
  } else {
    backlog.other += work;
  }
}

Backlog Halved(const Backlog& backlog, Duration age) {
  const auto halvings =
      std::min<std::int64_t>(age / kReportHalfLife, kMostHalvings);
  const auto half = [&](std::int64_t work) { return work >> halvings; };
  return {.urgent = half(backlog.urgent),
          .other = half(backlog.other),
          .deferred = half(backlog.deferred)};
}

Backlog BacklogOf(const std::map<std::string, Backlog>& backlogs,
                  const std::string& name) {
  const auto it = backlogs.find(name);
  return it == backlogs.end() ? Backlog() : it->second;
}

// Work that waits at all members.
CapacityAhead AheadOf(Context& context,
                      const QueuePolicy& queue,
                      const std::string& team) {
  CapacityAhead ahead{
      .cap_milli = CapOf(context.state.configuration, team).processors_milli};
  const OwnBacklogs& own = CountBacklogs(context);
  ahead.team = BacklogOf(own.teams, team);
  ahead.service = BacklogOf(own.services, queue.service);
  for (const auto& [member, load] : context.state.member_loads) {
    if (FindMember(context.state, member) == nullptr) {
      continue;
    }
    const Duration age = context.now - load.received_at;
    for (const CapacityWait& it : load.load.waits) {
      const Backlog backlog = Halved(it.backlog, age);
      if (it.team == team && it.service.empty()) {
        ahead.team = ahead.team + backlog;
      }
      if (it.service == queue.service) {
        ahead.service = ahead.service + backlog;
      }
    }
  }
  const ServiceRoom room = RoomOfService(context, queue.service);
  ahead.free_milli = room.free;
  ahead.total_milli = room.all;
  return ahead;
}

// Spreads the returns over the following half of the delay.
Duration SpreadRetry(const std::string& id, Duration delay) {
  constexpr std::uint64_t kParts = 1024;
  const auto part =
      static_cast<std::int64_t>(XXH64(id.data(), id.size(), 0) % kParts);
  const Duration spread = delay / 2 * part / static_cast<std::int64_t>(kParts);
  return std::clamp(delay + spread, kShortestRetry, kLongestRetry);
}

}  // namespace

bool IsDeferrable(const JobSpec& spec) {
  return spec.repetitions == 0 &&
         std::none_of(spec.steps.begin(), spec.steps.end(),
                      [](const StepSpec& it) { return it.lasting; });
}

const OwnBacklogs& CountBacklogs(Context& context) {
  OwnBacklogs& backlogs = context.state.backlogs;
  if (!HasPassed(context.now, backlogs.counted_at, kBacklogInterval)) {
    return backlogs;
  }
  backlogs = {.counted_at = context.now};
  for (const ReadyStep& it : ReadySteps(context)) {
    if (it.job->team.empty() || it.spec().lasting || !HasWaited(context, it)) {
      continue;
    }
    // Whatever it waits for, it precedes what its team sends later: the cap
    // bounds how soon it can be done.
    AddWork(context, it, backlogs.teams[it.job->team]);
    // One without tickets waits for advice, and does not need the room yet.
    if (!WaitsForCap(context, *it.job, LeastChargeOf(it.spec(), it.run())) &&
        MayPlaceAnywhere(context, it)) {
      AddWork(context, it, backlogs.services[it.queue->service]);
    }
  }
  return backlogs;
}

std::optional<AdmissionRefusal> CheckAdmission(Context& context,
                                               const std::string& id,
                                               const JobSpec& spec,
                                               const QueuePolicy& queue,
                                               const std::string& team,
                                               bool excess) {
  if (team.empty() || !IsDeferrable(spec)) {
    return std::nullopt;
  }
  const Resources cap = CapOf(context.state.configuration, team);
  const Duration chain = LongestChain(spec, {}, cap);
  const Applicant job{.objective = ObjectiveOf(queue, chain),
                      .chain = chain,
                      .urgent = queue.priority == kMostUrgent,
                      .excess = excess};
  const CapacityAhead ahead = AheadOf(context, queue, team);
  const auto delay = RefusalDelay(job, ahead);
  if (!delay) {
    return std::nullopt;
  }
  return AdmissionRefusal{.wait = ExpectedWait(job, ahead),
                          .retry_after = SpreadRetry(id, *delay)};
}

}  // namespace burdockrock::engine
