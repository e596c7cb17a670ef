#include "engine/advice/advised_names.h"

#include <algorithm>
#include <tuple>

#include "engine/advice/advice_rule.h"
#include "engine/jobs/gang_bookings.h"
#include "engine/jobs/placement_rule.h"
#include "engine/jobs/task_copies.h"
#include "engine/jobs/task_crashes.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

namespace {

// A ticket is renewed this long before it could not be used any more, in
// addition to the service time.
constexpr Duration kRenewalLead = milliseconds(400);

// Workers without free room, where room may become free, are added only while
// the call names fewer than this many workers of any kind.
constexpr std::size_t kMaxRoomlessWorkers = 10;

struct NamedWorker {
  const std::string* id = nullptr;
  bool allowed = false;  // by an earlier reply whose ticket has expired
  bool has_room = false;
  double fits = 0;  // number of tasks that fit now
  // Share of the worker that is free, if a task is to run alone there.
  double empty = 0;
  double rank = 0;  // lower is better
};

// Preemption needs tickets too: without one for a worker, less urgent runs
// there could not be stopped for this step.
bool CouldPreempt(const Context& context,
                  const ReadyStep& ready,
                  const PlacementNeed& need,
                  const Candidate& candidate) {
  if (!MayPreempt(context, ready)) {
    return false;
  }
  Candidate after_preemption = candidate;
  after_preemption.free += candidate.preemptible;
  return HasRoomNow(need, after_preemption);
}

bool HasTaskToIsolate(const Context& context, const StepRun& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(), [&](const Task& it) {
    return it.phase == TaskPhase::kWaiting &&
           IsolationOf(context, it) > Duration(0);
  });
}

const std::vector<Candidate>& CandidatesFor(const Context& context,
                                            const std::string& service,
                                            CandidatesByService& candidates) {
  const auto it = candidates.find(service);
  return it != candidates.end()
             ? it->second
             : candidates[service] = CandidatesOf(context, service);
}

std::vector<NamedWorker> NamesFor(const Context& context,
                                  const ReadyStep& ready,
                                  CandidatesByService& candidates) {
  const StepRun& step = ready.run();
  const PlacementNeed need = NeedOf(ready);
  const auto placed = CountPlaced(ready);
  const bool alone = !ready.spec().gang && HasTaskToIsolate(context, step);
  const bool gang = ready.spec().gang;
  const bool queried = step.advised_at != kForever;
  std::vector<NamedWorker> names;
  for (const Candidate& candidate :
       CandidatesFor(context, ready.queue->service, candidates)) {
    // A worker is emptied for a task that is to run alone.
    const bool has_room = alone || HasRoomNow(need, candidate) ||
                          CouldPreempt(context, ready, need, candidate);
    // A further call is useful only for workers where a task starts at once. A
    // gang remembers which workers are allowed, and room may come there later.
    if (queried && !has_room && !gang) {
      continue;
    }
    const std::string& id = candidate.worker->id;
    if (!MayRunOn(ready.spec(), *candidate.worker) ||
        step.denied.contains(id)) {
      continue;
    }
    const auto ticket = step.tickets.find(id);
    const bool known = ticket != step.tickets.end();
    if (known && (gang || IsValid(context, ticket->second))) {
      continue;
    }
    const auto there = placed.find(id);
    if (there != placed.end() && there->second >= ready.spec().spread) {
      continue;  // the spread limit is reached
    }
    const std::int64_t starts =
        CountStarts(ready, placed, need, *candidate.worker, candidate.free);
    const auto fits =
        static_cast<double>(alone ? std::max<std::int64_t>(starts, 1) : starts);
    names.push_back({.id = &id,
                     .allowed = known,
                     .has_room = has_room,
                     .fits = fits,
                     .empty = alone ? FreeShare(candidate) : 0,
                     // Steps with a speed weight prefer fast workers, others
                     // those where many tasks fit.
                     .rank = need.speed_weight > 0
                                 ? PlacementCost(need, candidate)
                                 : -fits});
  }
  return names;
}

}  // namespace

std::size_t CountWaiting(const StepRun& step) {
  return static_cast<std::size_t>(
      std::count_if(step.tasks.begin(), step.tasks.end(), [](const Task& it) {
        return it.phase == TaskPhase::kWaiting ||
               it.phase == TaskPhase::kUnknown || WaitsForCopy(it);
      }));
}

bool IsValid(const Context& context, const StepTicket& ticket) {
  return ticket.expires > context.now + kTicketMargin;
}

std::int64_t CountTicketed(const Context& context,
                           const ReadyStep& ready,
                           std::int64_t enough) {
  const PlacementNeed need = NeedOf(ready);
  const auto placed = CountPlaced(ready);
  std::int64_t fits = 0;
  for (const auto& [worker, ticket] : ready.run().tickets) {
    if (fits >= enough) {
      return fits;
    }
    if (!ready.spec().gang && !IsValid(context, ticket)) {
      continue;
    }
    const auto listed = context.state.workers.find(worker);
    if (listed == context.state.workers.end()) {
      continue;
    }
    // Workers that placement does not use are not counted: their room would
    // always seem to be enough, and no more workers would be queried.
    const RoomView* view = UsableView(context.state, worker, listed->second);
    if (view != nullptr) {
      fits += CountStarts(ready, placed, need, listed->second.info, view->free);
    }
  }
  return fits;
}

std::set<std::string> WorkersToRenew(const Context& context,
                                     const ReadyStep& ready) {
  const StepRun& step = ready.run();
  std::set<std::string> workers;
  const Duration lead =
      kTicketMargin + kRenewalLead + ExpectedTime(*ready.queue->advice, 1);
  for (const Task& it : step.tasks) {
    const bool only_booked =
        ready.spec().gang && IsOnlyBooked(*ready.job, step, it);
    if (!only_booked && !MayAwaitEmptyWorker(context, ready.spec(), it)) {
      continue;
    }
    const auto ticket = step.tickets.find(it.worker);
    if (ticket != step.tickets.end() &&
        ticket->second.expires <= context.now + lead) {
      workers.insert(it.worker);
    }
  }
  return workers;
}

Duration ExpectedTime(const AdvicePolicy& policy, std::size_t workers) {
  return policy.decision + policy.each * static_cast<std::int64_t>(workers);
}

std::vector<std::string> ChooseWorkersForAdvice(
    Context& context,
    const ReadyStep& ready,
    CandidatesByService& candidates) {
  const std::set<std::string> renewed = WorkersToRenew(context, ready);
  const std::size_t waiting = CountWaiting(ready.run());
  const std::int64_t ticketed = CountTicketed(context, ready);
  if (ticketed >= static_cast<std::int64_t>(waiting)) {
    return {renewed.begin(), renewed.end()};
  }
  std::vector<NamedWorker> names = NamesFor(context, ready, candidates);
  // Shuffles workers of equal rank so that not all steps name the same ones.
  std::shuffle(names.begin(), names.end(), context.state.random);
  std::stable_sort(names.begin(), names.end(),
                   [](const NamedWorker& left, const NamedWorker& right) {
                     return std::tuple(-left.empty, !left.has_room,
                                       !left.allowed, left.rank) <
                            std::tuple(-right.empty, !right.has_room,
                                       !right.allowed, right.rank);
                   });
  AdviceCallDraft call{.waiting = waiting,
                       .gang = ready.spec().gang,
                       .ticketed = static_cast<double>(ticketed)};
  const double share = context.state.advice.shares[ready.queue->name].value();
  std::vector<std::string> chosen(renewed.begin(), renewed.end());
  const bool queried = ready.run().advised_at != kForever;
  const bool learns = ready.spec().gang && queried;
  for (const NamedWorker& it : names) {
    const bool roomless =
        !it.has_room && !learns && chosen.size() >= kMaxRoomlessWorkers;
    if (roomless || chosen.size() == kMaxAdvisedWorkers ||
        HasEnoughWorkers(call)) {
      break;
    }
    if (!renewed.contains(*it.id)) {
      chosen.push_back(*it.id);
    }
    ++call.named;
    call.starts += it.fits * (it.allowed ? 1 : share);
    call.max_starts += it.fits;
  }
  if (queried &&
      !IsWorthACall(call, context.now - ready.run().advice_called_at)) {
    chosen.resize(renewed.size());
  }
  return chosen;
}

}  // namespace burdockrock::engine
