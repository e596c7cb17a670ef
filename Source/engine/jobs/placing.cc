#include "engine/jobs/placing.h"

#include <algorithm>
#include <functional>
#include <map>
#include <tuple>
#include <utility>

#include "engine/jobs/candidates.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/task_copies.h"
#include "engine/members/membership.h"
#include "engine/members/unresponsive_members.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

namespace {

// Interval of placement rounds while nothing has changed.
constexpr Duration kIdlePlacementInterval = milliseconds(100);

// Share of each worker's processors that a queue leaves free, for each priority
// above its own, so that short urgent tasks need not wait for long ones to end.
constexpr double kReservePerPriority = 0.06;

// Urgent work that has waited this long is about to miss its objective. Earlier
// preemption costs more than it gains.
constexpr Duration kPreemptionDelay = milliseconds(800);

// State of one placement round.
struct Round {
  Context& context;
  std::map<std::string, std::vector<Candidate>> by_service{};
  // By owner of the workers.
  std::map<std::string, std::vector<TaskOffer>> offers{};
};

std::vector<Candidate>& Candidates(Round& round, const std::string& service) {
  const auto it = round.by_service.find(service);
  if (it != round.by_service.end()) {
    return it->second;
  }
  return round.by_service[service] = CandidatesOf(round.context, service);
}

bool HasTicket(const Context& context,
               const ReadyStep& ready,
               const std::string& worker) {
  if (!ready.queue->advice) {
    return true;
  }
  const auto it = ready.run().tickets.find(worker);
  return it != ready.run().tickets.end() &&
         it->second.expires > context.now + kTicketMargin;
}

// Most waiting steps have no ticket; this avoids a scan of all workers for
// them.
bool HasAnyTicket(const Context& context, const ReadyStep& ready) {
  const auto& tickets = ready.run().tickets;
  return !ready.queue->advice ||
         std::any_of(tickets.begin(), tickets.end(), [&](const auto& it) {
           return it.second.expires > context.now + kTicketMargin;
         });
}

bool HasRoom(const PlacementNeed& need,
             const Candidate& candidate,
             bool preempts) {
  if (!preempts) {
    return HasRoomNow(need, candidate);
  }
  Candidate after_preemption = candidate;
  after_preemption.free += candidate.preemptible;
  return HasRoomNow(need, after_preemption);
}

// Workers on which tasks of the step may run and that have room for at least
// one: during a round, room only shrinks. Room is checked before the ticket
// because the ticket is looked up by name.
std::vector<Candidate*> EligibleWorkers(const Context& context,
                                        const ReadyStep& ready,
                                        const PlacementNeed& need,
                                        std::vector<Candidate>& candidates) {
  const bool may_preempt = MayPreempt(context, ready);
  std::vector<Candidate*> eligible;
  for (Candidate& it : candidates) {
    const bool has_room =
        HasRoomNow(need, it) || (may_preempt && HasRoom(need, it, true));
    if (has_room && MayRunOn(ready.spec(), *it.worker) &&
        HasTicket(context, ready, it.worker->id)) {
      eligible.push_back(&it);
    }
  }
  return eligible;
}

struct Choice {
  const ReadyStep& ready;
  std::vector<Candidate*> eligible;
  // Tasks by worker; filled only if the step limits them.
  std::map<std::string, std::uint32_t> placed{};
  std::string excluded_worker{};  // empty: none
  bool preempts = false;
};

Candidate* Choose(const Choice& choice, const PlacementNeed& need) {
  const StepSpec& spec = choice.ready.spec();
  Candidate* best = nullptr;
  double best_cost = 0;
  for (Candidate* it : choice.eligible) {
    if (it->worker->id == choice.excluded_worker ||
        !HasRoom(need, *it, choice.preempts)) {
      continue;
    }
    if (spec.spread != 0) {
      const auto placed = choice.placed.find(it->worker->id);
      if (placed != choice.placed.end() && placed->second >= spec.spread) {
        continue;
      }
    }
    const double cost = PlacementCost(need, *it);
    if (best == nullptr || cost < best_cost) {
      best = it;
      best_cost = cost;
    }
  }
  return best;
}

enum class OfferKind { kStart, kPreemption, kBooking };

TaskOffer& OfferTo(Round& round,
                   const ReadyStep& ready,
                   const std::string& owner,
                   OfferKind kind) {
  std::vector<TaskOffer>& offers = round.offers[owner];
  const auto it =
      std::find_if(offers.begin(), offers.end(), [&](const TaskOffer& offer) {
        return offer.job == ready.job->id && offer.step == ready.step &&
               offer.occurrence == ready.occurrence &&
               offer.book_only == (kind == OfferKind::kBooking) &&
               offer.preempts == (kind == OfferKind::kPreemption);
      });
  if (it != offers.end()) {
    return *it;
  }
  return offers.emplace_back(
      TaskOffer{.job = ready.job->id,
                .generation = ready.job->generation,
                .occurrence = ready.occurrence,
                .step = ready.step,
                .payload = ready.job->spec.payload,
                .spec = ready.spec(),
                .priority = ready.queue->priority,
                .preempts = kind == OfferKind::kPreemption,
                .book_only = kind == OfferKind::kBooking});
}

struct Attempt {
  std::string worker{};
  std::uint64_t run = 0;
  std::string checkpoint{};
};

void AddOffer(Round& round,
              const ReadyStep& ready,
              std::uint32_t index,
              const Attempt& attempt,
              OfferKind kind) {
  const RoomView& view = round.context.state.view[attempt.worker];
  const std::string& owner = view.owner;
  const auto ticket = ready.run().tickets.find(attempt.worker);
  Totals& totals = round.context.state.totals;
  ++totals.offers;
  // A gang's start is a second offer of its booked room; only it is counted.
  if (ticket != ready.run().tickets.end() && kind != OfferKind::kBooking) {
    ++totals.advice[ticket->second.reason].starts;
  }
  OfferTo(round, ready, owner, kind)
      .tasks.push_back({.index = index,
                        .run = attempt.run,
                        .worker = attempt.worker,
                        .fence = view.fence,
                        .ticket = ticket == ready.run().tickets.end()
                                      ? std::string()
                                      : ticket->second.text,
                        .checkpoint = attempt.checkpoint});
}

Attempt PrimaryAttempt(const Task& task) {
  return {
      .worker = task.worker, .run = task.run, .checkpoint = task.checkpoint};
}

std::uint64_t HighestRun(const Task& task) {
  return std::max(task.run, task.last_copy);
}

void TakeRoom(Round& round, const Resources& room, Candidate& candidate) {
  candidate.free -= room;
  round.context.state.view[candidate.worker->id].free -= room;
}

void Assign(Round& round,
            const Resources& room,
            Candidate& candidate,
            Task& task,
            std::uint64_t run) {
  TakeRoom(round, room, candidate);
  task.phase = TaskPhase::kOffered;
  task.run = run;
  task.worker = candidate.worker->id;
  task.since = round.context.now;
  task.last_update = round.context.now;
  task.booked = false;
}

bool IsDue(const Context& context, const Task& task) {
  return task.phase == TaskPhase::kWaiting && task.retry_at <= context.now;
}

void PlaceIndependentTasks(Round& round, const ReadyStep& ready) {
  std::vector<Task>& tasks = ready.run().tasks;
  const bool any_due =
      std::any_of(tasks.begin(), tasks.end(),
                  [&](const Task& it) { return IsDue(round.context, it); });
  // Most ready steps have no task that waits.
  if (!any_due || !HasAnyTicket(round.context, ready)) {
    return;
  }
  PlacementNeed need = NeedOf(ready);
  Choice choice{
      .ready = ready,
      .eligible = EligibleWorkers(round.context, ready, need,
                                  Candidates(round, ready.queue->service)),
      .placed = CountPlaced(ready)};
  for (std::uint32_t it = 0; it < tasks.size(); ++it) {
    Task& task = tasks[it];
    if (!IsDue(round.context, task)) {
      continue;
    }
    need.avoid_worker = task.avoid_worker;
    choice.preempts = false;
    Candidate* best = Choose(choice, need);
    if (best == nullptr && MayPreempt(round.context, ready)) {
      choice.preempts = true;
      best = Choose(choice, need);
    }
    if (best == nullptr) {
      return;  // the other tasks need the same room
    }
    ++choice.placed[best->worker->id];
    Assign(round, need.room, *best, task,
           NextRun(*ready.job, HighestRun(task)));
    if (choice.preempts) {
      best->preemptible -= need.room;
      round.context.state.view[task.worker].yielding -= need.room;
    }
    AddOffer(round, ready, it, PrimaryAttempt(task),
             choice.preempts ? OfferKind::kPreemption : OfferKind::kStart);
  }
}

// Places copies only in room that waiting tasks leave free, because a copy may
// turn out unnecessary.
void PlaceCopies(Round& round, const ReadyStep& ready) {
  std::vector<Task>& tasks = ready.run().tasks;
  for (std::uint32_t it = 0; it < tasks.size(); ++it) {
    Task& task = tasks[it];
    if (!WaitsForCopy(task) || task.retry_at > round.context.now) {
      continue;
    }
    const PlacementNeed need = NeedOf(ready);
    const Choice choice{
        .ready = ready,
        .eligible = EligibleWorkers(round.context, ready, need,
                                    Candidates(round, ready.queue->service)),
        .placed = CountPlaced(ready),
        .excluded_worker = task.worker};
    Candidate* best = Choose(choice, need);
    if (best == nullptr) {
      continue;
    }
    TakeRoom(round, need.room, *best);
    task.copy_wanted = false;
    task.copy = TaskCopy{.run = NextRun(*ready.job, HighestRun(task)),
                         .worker = best->worker->id,
                         .last_update = round.context.now};
    AddOffer(round, ready, it,
             {.worker = task.copy->worker,
              .run = task.copy->run,
              .checkpoint = task.checkpoint},
             OfferKind::kStart);
  }
}

bool AllInPhase(const StepRun& step, TaskPhase phase) {
  return std::all_of(step.tasks.begin(), step.tasks.end(),
                     [phase](const Task& it) { return it.phase == phase; });
}

// Workers for all members, in the order of the tasks; empty if not all fit.
std::vector<Candidate*> FitGang(const ReadyStep& ready,
                                const std::vector<Candidate*>& eligible,
                                const std::string& rack) {
  Choice choice{.ready = ready, .eligible = eligible};
  PlacementNeed need = NeedOf(ready);
  need.rack = rack;
  std::vector<Candidate*> chosen;
  for (std::size_t it = 0; it < ready.run().tasks.size(); ++it) {
    Candidate* best = Choose(choice, need);
    if (best == nullptr) {
      break;
    }
    ++choice.placed[best->worker->id];
    best->free -= need.room;
    chosen.push_back(best);
  }
  for (Candidate* it : chosen) {
    it->free += need.room;
  }
  if (chosen.size() < ready.run().tasks.size()) {
    chosen.clear();
  }
  return chosen;
}

std::vector<Candidate*> FitGangAnywhere(const Round& round,
                                        const ReadyStep& ready,
                                        std::vector<Candidate>& candidates) {
  const std::vector<Candidate*> eligible =
      EligibleWorkers(round.context, ready, NeedOf(ready), candidates);
  if (!ready.spec().same_rack) {
    return FitGang(ready, eligible, {});
  }
  std::set<std::string> racks;
  for (const Candidate* it : eligible) {
    racks.insert(it->worker->rack());
  }
  for (const std::string& it : racks) {
    auto chosen = FitGang(ready, eligible, it);
    if (!chosen.empty()) {
      return chosen;
    }
  }
  return {};
}

void BookGang(Round& round, const ReadyStep& ready) {
  StepRun& step = ready.run();
  for (const Task& it : step.tasks) {
    if (it.retry_at > round.context.now) {
      return;
    }
  }
  if (!HasAnyTicket(round.context, ready)) {
    return;
  }
  const auto chosen =
      FitGangAnywhere(round, ready, Candidates(round, ready.queue->service));
  if (chosen.empty()) {
    return;
  }
  std::uint64_t last = step.gang_run;
  for (const Task& it : step.tasks) {
    last = std::max(last, it.run);
  }
  step.gang_run = NextRun(*ready.job, last);
  // All members resume from the same checkpoint.
  std::string checkpoint;
  for (const Task& it : step.tasks) {
    checkpoint = std::max(checkpoint, it.checkpoint);
  }
  const Resources room = RoomOf(ready.spec());
  for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
    step.tasks[it].checkpoint = checkpoint;
    Assign(round, room, *chosen[it], step.tasks[it], step.gang_run);
    AddOffer(round, ready, it, PrimaryAttempt(step.tasks[it]),
             OfferKind::kBooking);
  }
}

// Starts all members together once room is booked for each of them: members
// that start early wait for the late ones, and end if that takes too long.
void StartGang(Round& round, const ReadyStep& ready) {
  StepRun& step = ready.run();
  const bool all_booked = std::all_of(step.tasks.begin(), step.tasks.end(),
                                      [](const Task& it) { return it.booked; });
  if (!all_booked || step.gang_started_run == step.gang_run) {
    return;
  }
  step.gang_started_run = step.gang_run;
  round.context.Log(EventNumber::kGangStarted,
                    {{"job", ready.job->id},
                     {"step", std::to_string(ready.step)},
                     {"run", std::to_string(step.gang_run)},
                     {"tasks", std::to_string(step.tasks.size())}});
  for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
    step.tasks[it].last_update = round.context.now;
    AddOffer(round, ready, it, PrimaryAttempt(step.tasks[it]),
             OfferKind::kStart);
  }
}

void PlaceGang(Round& round, const ReadyStep& ready) {
  if (AllInPhase(ready.run(), TaskPhase::kWaiting)) {
    BookGang(round, ready);
  } else if (AllInPhase(ready.run(), TaskPhase::kOffered)) {
    StartGang(round, ready);
  }
}

// All tasks of the step are running or done, and by their estimate the last
// ones end within `lead`.
bool EndsSoon(const Context& context,
              Job& job,
              std::uint32_t occurrence,
              std::uint32_t number,
              Duration lead) {
  const StepRun& step = StepAt(job, occurrence, number);
  for (const Task& it : step.tasks) {
    if (it.phase != TaskPhase::kRunning && it.phase != TaskPhase::kDone) {
      return false;
    }
  }
  return step.last_start != kForever &&
         context.now + lead >=
             step.last_start + job.spec.steps[number].estimate;
}

bool IsReadySoon(const Context& context,
                 Job& job,
                 std::uint32_t occurrence,
                 std::uint32_t step,
                 Duration lead) {
  const auto& after = job.spec.steps[step].after;
  return job.occurrences[occurrence].begun &&
         std::all_of(after.begin(), after.end(), [&](std::uint32_t it) {
           return IsStepDone(job, occurrence, it) ||
                  EndsSoon(context, job, occurrence, it, lead);
         });
}

void AddReadySteps(Context& context,
                   Job& job,
                   const QueuePolicy& queue,
                   const StepLead& lead,
                   std::vector<ReadyStep>& out) {
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
      if (IsStepDone(job, k, s)) {
        continue;
      }
      const bool ready = IsStepReady(job, k, s);
      const auto soon = ready || !lead ? std::optional<Duration>()
                                       : lead(queue, job.spec.steps[s]);
      if (!ready && !(soon && IsReadySoon(context, job, k, s, *soon))) {
        continue;
      }
      StepRun& step = StepAt(job, k, s);
      if (ready) {
        step.ready_at = std::min(step.ready_at, context.now);
      }
      out.push_back({.job = &job,
                     .occurrence = k,
                     .step = s,
                     .queue = &queue,
                     .ready = ready});
    }
  }
}

}  // namespace

std::map<std::string, std::uint32_t> CountPlaced(const ReadyStep& ready) {
  std::map<std::string, std::uint32_t> placed;
  if (ready.spec().spread == 0) {
    return placed;
  }
  for (const Task& it : ready.run().tasks) {
    if (!it.worker.empty() && it.phase != TaskPhase::kDone) {
      ++placed[it.worker];
    }
    if (it.copy) {
      ++placed[it.copy->worker];
    }
  }
  return placed;
}

std::int64_t CountStarts(const ReadyStep& ready,
                         const std::map<std::string, std::uint32_t>& placed,
                         const PlacementNeed& need,
                         const WorkerInfo& worker,
                         const Resources& free) {
  const std::int64_t room = CountRoomFor(need, worker, free);
  const std::uint32_t spread = ready.spec().spread;
  if (spread == 0) {
    return room;
  }
  const auto it = placed.find(worker.id);
  const std::uint32_t there = it == placed.end() ? 0 : it->second;
  return std::min<std::int64_t>(room, there < spread ? spread - there : 0);
}

bool MayPreempt(const Context& context, const ReadyStep& ready) {
  return ready.queue->priority == 0 && ready.run().ready_at != kForever &&
         HasPassed(context.now, ready.run().ready_at, kPreemptionDelay);
}

PlacementNeed NeedOf(const ReadyStep& ready) {
  return {.step = &ready.spec(),
          .room = RoomOf(ready.spec()),
          .speed_weight = SpeedWeight(ready.queue->stretch),
          .reserved_share =
              kReservePerPriority * static_cast<double>(ready.queue->priority)};
}

std::vector<ReadyStep> ReadySteps(Context& context, const StepLead& lead) {
  std::vector<ReadyStep> steps;
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    const QueuePolicy* queue =
        FindQueueByName(context.state.configuration, job.queue);
    if (queue != nullptr && !IsFinal(job.state)) {
      AddReadySteps(context, job, *queue, lead, steps);
    }
  }
  std::sort(steps.begin(), steps.end(),
            [](const ReadyStep& left, const ReadyStep& right) {
              return std::tuple(left.queue->priority, left.run().ready_at) <
                     std::tuple(right.queue->priority, right.run().ready_at);
            });
  return steps;
}

void DrivePlacement(Context& context) {
  const Duration pause =
      context.state.placement_due ? kPlacementInterval : kIdlePlacementInterval;
  if (!HasPassed(context.now, context.state.placed_at, pause) ||
      !IsRegistered(context.state)) {
    return;
  }
  context.state.placement_due = false;
  context.state.placed_at = context.now;
  Round round{.context = context};
  for (const ReadyStep& it : ReadySteps(context)) {
    if (!it.job->stored || !it.job->verified) {
      continue;
    }
    // A worker that has not reported yet may list failed runs of the job.
    // Starting a task again before that could exceed the attempts that its
    // queue allows. Lasting tasks have no such limit.
    if (it.job->recovering && !it.spec().lasting) {
      continue;
    }
    if (it.spec().gang) {
      PlaceGang(round, it);
    } else {
      PlaceIndependentTasks(round, it);
      PlaceCopies(round, it);
    }
  }
  for (auto& [owner, offers] : round.offers) {
    NoteOfferSent(context, owner);
    for (TaskOffer& it : offers) {
      Send(context, owner, std::move(it));
    }
  }
}

}  // namespace burdockrock::engine
