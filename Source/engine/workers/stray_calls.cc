#include "engine/workers/stray_calls.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "engine/workers/lease_bounds.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/worker_crashes.h"
#include "engine/workers/worker_restarts.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

bool RenewsLeases(const WorkerRequest& request) {
  const auto* poll = std::get_if<PollWorker>(&request);
  return std::holds_alternative<StartRun>(request) ||
         (poll != nullptr && poll->lease_until_ms > 0);
}

// A reading of the same process as `known`. A long poll leaves open for seconds
// when it was taken; no clock advances faster than time, so that this was not
// sooner after `known` than the clock tells.
ClockReading Narrowed(const ClockReading& known, ClockReading reading) {
  constexpr Duration kRounding = std::chrono::milliseconds(2);
  if (known.called_at == Time::min()) {
    return reading;
  }
  const Time soonest =
      known.called_at +
      std::chrono::milliseconds(reading.clock_ms - known.clock_ms) - kRounding;
  if (soonest <= reading.replied_at) {
    reading.called_at = std::max(reading.called_at, soonest);
  }
  return reading;
}

// Whether the reply shows that the process that was asked carried out the call.
bool IsOfKnownProcess(const Context& context,
                      const OwnedWorker& worker,
                      const WorkerAnswered& event,
                      const WorkerDone& done) {
  if (done.born != 0) {
    return !IsOtherIncarnation(worker.info.id, done.born);
  }
  return SourceOfReply(context, worker, done.clock_ms, event.called_at) ==
         ReplySource::kKnownProcess;
}

const LocalRun& RunOf(const LocalRun& run) {
  return run;
}

const LocalRun& RunOf(const UnreadRun& ended) {
  return ended.run;
}

// Moves the runs that are not in doubt out of `from`.
template <typename Runs>
std::vector<typename Runs::node_type> TakeCertain(const OwnedWorker& worker,
                                                  Runs& from) {
  std::vector<typename Runs::node_type> taken;
  for (auto it = from.begin(); it != from.end();) {
    const auto next = std::next(it);
    if (!IsInDoubt(worker, RunOf(it->second))) {
      taken.push_back(from.extract(it));
    }
    it = next;
  }
  return taken;
}

// Whether the worker's process is known to have crashed under the run.
bool IsKnownCrash(const Context& context,
                  const OwnedWorker& worker,
                  const LocalRun& run) {
  return HasRestarted(worker) && IsCrash(context, worker, LossKind::kEnded) &&
         IsReportedAsCrashed(context, worker, run);
}

}  // namespace

void NoteProcessAlive(const Context& context,
                      OwnedWorker& worker,
                      const WorkerDone& done,
                      Time called_at) {
  worker.later_process_answered = false;
  worker.reported_lost.clear();
  if (called_at > worker.clock.called_at) {
    worker.clock = Narrowed(worker.clock, {.clock_ms = done.clock_ms,
                                           .called_at = called_at,
                                           .replied_at = context.now});
  }
}

ReplySource SourceOfReply(const Context& context,
                          const OwnedWorker& worker,
                          std::int64_t clock_ms,
                          Time called_at) {
  return SourceOf(worker.clock, {.clock_ms = clock_ms,
                                 .called_at = called_at,
                                 .replied_at = context.now});
}

void ExtendStrayLeases(const Context& context,
                       OwnedWorker& worker,
                       const WorkerAnswered& event) {
  if (!RenewsLeases(event.request)) {
    return;
  }
  Time taken_by = context.now;
  if (const auto* none = std::get_if<WorkerUnreached>(&event.answer)) {
    if (!none->may_have_run) {
      return;
    }
    taken_by = event.called_at + kMaxCallDelay;
  } else if (const auto* done = std::get_if<WorkerDone>(&event.answer);
             done != nullptr &&
             IsOfKnownProcess(context, worker, event, *done)) {
    return;
  }
  worker.stray_leases_end =
      std::max(worker.stray_leases_end, taken_by + LeaseSpan(context));
}

bool IsInDoubt(const OwnedWorker& worker, const LocalRun& run) {
  const bool may_return_under_id = BornOf(worker.info.id) != 0;
  if (!may_return_under_id || run.command_sent_at == Time::min()) {
    return false;
  }
  // A start that took effect before the last sign of life of the process was
  // carried out there.
  const bool start_astray =
      run.start_unanswered_at != Time::min() &&
      run.start_unanswered_at + kMaxCallDelay > worker.clock.called_at;
  return !run.seen_at_process || start_astray;
}

bool HasRunInDoubt(const OwnedWorker& worker) {
  return std::any_of(
             worker.runs.begin(), worker.runs.end(),
             [&](const auto& it) { return IsInDoubt(worker, it.second); }) ||
         std::any_of(
             worker.unread.begin(), worker.unread.end(),
             [&](const auto& it) { return IsInDoubt(worker, it.second.run); });
}

Time StrayLeasesEnd(const Context& context, const OwnedWorker& worker) {
  if (!HasRunInDoubt(worker)) {
    return Time(0);
  }
  Time end = worker.stray_leases_end;
  for (const auto& [task, run] : worker.runs) {
    if (run.command_in_flight && run.phase == RunPhase::kStarting) {
      end = std::max(end,
                     run.command_sent_at + kMaxCallDelay + LeaseSpan(context));
    }
  }
  return end;
}

void ReportCertainLosses(Context& context,
                         const std::string& id,
                         OwnedWorker& worker) {
  auto lost = TakeCertain(worker, worker.runs);
  const auto ended = TakeCertain(worker, worker.unread);
  if (lost.empty() && ended.empty()) {
    return;
  }
  context.Log(
      EventNumber::kRunsInDoubt,
      {{"worker", id},
       {"lost", std::to_string(lost.size() + ended.size())},
       {"in_doubt", std::to_string(worker.runs.size() + worker.unread.size())},
       {"for_ms", std::to_string(ToMilliseconds(
                      StrayLeasesEnd(context, worker) - context.now))}});
  for (const auto& it : ended) {
    ReportLostRun(context, id, it.key(), it.mapped().run);
  }
  // Whether a crash counts for a run depends on all of them.
  std::vector<std::string> tasks;
  for (auto& it : lost) {
    tasks.push_back(it.key());
    worker.reported_lost.insert_or_assign(it.key(), std::move(it.mapped()));
  }
  for (const std::string& it : tasks) {
    const LocalRun& run = worker.reported_lost.at(it);
    ReportLostRun(context, id, it, run,
                  IsKnownCrash(context, worker, run) ? RunEnd::kCrashed
                                                     : RunEnd::kLapsed);
  }
}

bool IsReportedLost(const OwnedWorker& worker,
                    const std::string& task,
                    std::uint64_t run) {
  const auto it = worker.reported_lost.find(task);
  return it != worker.reported_lost.end() && it->second.run == run;
}

}  // namespace burdockrock::engine
