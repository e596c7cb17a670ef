#include "engine/jobs/step_waits.h"

#include <algorithm>
#include <map>
#include <string>

#include "engine/jobs/candidates.h"
#include "engine/jobs/placement_rule.h"
#include "engine/jobs/task_crashes.h"
#include "engine/jobs/task_ref.h"
#include "engine/jobs/task_reservations.h"
#include "engine/teams/quota.h"
#include "engine/teams/quota_demand.h"

namespace burdockrock::engine {

namespace {

bool HasValidTicket(const Context& context,
                    const ReadyStep& ready,
                    const std::string& worker) {
  const auto it = ready.run().tickets.find(worker);
  return it != ready.run().tickets.end() &&
         it->second.expires > context.now + kTicketMargin;
}

void CountRoom(const Context& context, const ReadyStep& ready, StepWait& wait) {
  const PlacementNeed need = NeedOf(ready);
  const auto placed = CountPlaced(ready);
  for (const Candidate& it : CandidatesOf(context, ready.queue->service)) {
    if (!MayRunOn(ready.spec(), *it.worker) ||
        ready.run().denied.contains(it.worker->id)) {
      continue;
    }
    const auto fits = static_cast<std::size_t>(
        CountStarts(ready, placed, need, *it.worker, it.free));
    wait.room += fits;
    wait.known += ready.run().tickets.contains(it.worker->id) ? fits : 0;
    // A gang's tickets are requested for the workers that it has booked.
    if (ready.spec().gang ? ready.run().tickets.contains(it.worker->id)
                          : HasValidTicket(context, ready, it.worker->id)) {
      wait.ticketed += fits;
      ++wait.tickets;
    }
  }
}

// Listed workers that may run the step and accept no tasks, as far as is known
// here.
std::size_t CountClosed(const Context& context, const ReadyStep& ready) {
  std::size_t closed = 0;
  for (auto& [id, listed] : context.state.workers) {
    const bool may_run =
        listed.listed && listed.info.service == ready.queue->service &&
        MayRunOn(ready.spec(), listed.info) && !ready.run().denied.contains(id);
    if (may_run && UsableView(context.state, id, listed) == nullptr) {
      ++closed;
    }
  }
  return closed;
}

// Whether the task is a member of a gang whose start was not commanded yet.
bool IsBooking(const ReadyStep& ready, const Task& task) {
  const StepRun& step = ready.run();
  return ready.spec().gang && task.phase == TaskPhase::kOffered &&
         step.gang_started_run != step.gang_run;
}

// Whether the task's worker or its owner holds the start back.
bool IsHeldBack(const Context& context,
                const ReadyStep& ready,
                const Task& task) {
  return !ready.spec().gang && task.phase == TaskPhase::kOffered &&
         HasPassed(context.now, task.since, kStartTimeout);
}

bool Waits(const Context& context, const ReadyStep& ready, const Task& task) {
  return task.phase == TaskPhase::kWaiting || IsBooking(ready, task) ||
         IsReserved(task) || IsHeldBack(context, ready, task) ||
         (task.phase == TaskPhase::kUnknown && ready.job->recovering);
}

// Whether a member of a gang has a run, so that the others can't be booked.
bool HasPlacedMember(const ReadyStep& ready) {
  const auto& tasks = ready.run().tasks;
  return ready.spec().gang &&
         std::any_of(tasks.begin(), tasks.end(),
                     [](const Task& it) { return IsPlaced(it); });
}

WaitCause CauseOf(const Context& context,
                  const ReadyStep& ready,
                  const StepWait& wait,
                  bool all_pause) {
  if (WaitsForRecovery(ready)) {
    return WaitCause::kRecovery;
  }
  if (!ready.job->stored || !ready.job->verified) {
    return WaitCause::kRecord;
  }
  if (std::any_of(ready.run().tasks.begin(), ready.run().tasks.end(),
                  [&](const Task& it) { return IsBooking(ready, it); })) {
    return WaitCause::kBooking;
  }
  if (HasPlacedMember(ready)) {
    return WaitCause::kMembers;
  }
  const auto& tasks = ready.run().tasks;
  if (std::none_of(tasks.begin(), tasks.end(), [](const Task& it) {
        return it.phase == TaskPhase::kWaiting;
      })) {
    if (wait.reserved == 0) {
      return WaitCause::kOffer;
    }
    return wait.unstored > 0 ? WaitCause::kRecord : WaitCause::kAdvice;
  }
  if (all_pause) {
    return WaitCause::kPause;
  }
  // All tasks of a gang start together.
  const std::size_t least = ready.spec().gang ? ready.run().tasks.size() : 1;
  const std::size_t usable = ready.queue->advice ? wait.ticketed : wait.room;
  // A holding is requested for steps with tickets only. One without waits for
  // the cap where its team's other steps do, since it then asks for no advice.
  const bool asks = ready.run().advice_pending || ready.run().advice_in_line;
  const Resources charge = LeastChargeOf(ready.spec(), ready.run());
  const bool may_need_cap = usable >= least || ready.run().awaits_cap ||
                            (!asks && WaitsForCap(context, *ready.job, charge));
  if (may_need_cap && !HasQuota(context, *ready.job, charge)) {
    return WaitCause::kQuota;
  }
  if (usable >= least) {
    return WaitCause::kPlacement;
  }
  if (wait.room < least) {
    return wait.closed > 0 ? WaitCause::kClosed : WaitCause::kRoom;
  }
  return asks ? WaitCause::kAdvice : WaitCause::kTickets;
}

}  // namespace

const char* WaitCauseName(WaitCause cause) {
  switch (cause) {
    case WaitCause::kRecovery:
      return "recovery";
    case WaitCause::kRecord:
      return "record";
    case WaitCause::kAdvice:
      return "advice";
    case WaitCause::kTickets:
      return "tickets";
    case WaitCause::kRoom:
      return "room";
    case WaitCause::kClosed:
      return "closed";
    case WaitCause::kQuota:
      return "quota";
    case WaitCause::kPause:
      return "pause";
    case WaitCause::kBooking:
      return "booking";
    case WaitCause::kMembers:
      return "members";
    case WaitCause::kOffer:
      return "offer";
    case WaitCause::kPlacement:
      return "placement";
  }
  return "";
}

Time OldestWait(const Context& context, const ReadyStep& ready) {
  Time since = kForever;
  for (const Task& it : ready.run().tasks) {
    if (Waits(context, ready, it)) {
      since = std::min(since, std::max(it.idle_since, ready.run().ready_at));
    }
  }
  return since;
}

StepWait WaitOf(const Context& context, const ReadyStep& ready) {
  StepWait wait;
  bool all_pause = true;
  for (const Task& it : ready.run().tasks) {
    if (Waits(context, ready, it)) {
      ++wait.tasks;
      all_pause = all_pause && it.retry_at > context.now;
      wait.reserved += IsReserved(it) ? 1 : 0;
      wait.unstored += IsReserved(it) && IsUnstored(*ready.job, it) ? 1 : 0;
      wait.alone += IsolationOf(context, it) > Duration(0) ? 1 : 0;
    }
  }
  CountRoom(context, ready, wait);
  wait.closed = CountClosed(context, ready);
  wait.denied = ready.run().denied.size();
  if (ready.run().advice_checked_at != Time::min()) {
    wait.since_advice_check = context.now - ready.run().advice_checked_at;
  }
  wait.since_request = context.now - std::max(ready.run().advice_called_at,
                                              ready.run().ready_at);
  wait.advice = ready.run().advice_history;
  wait.cause = CauseOf(context, ready, wait, all_pause);
  if (wait.cause == WaitCause::kQuota) {
    wait.cap = CapLimitOf(context, *ready.job,
                          LeastChargeOf(ready.spec(), ready.run()));
  }
  return wait;
}

}  // namespace burdockrock::engine
