#include "engine/advice/advised_names.h"

#include <algorithm>
#include <tuple>

#include "engine/advice/advice_rule.h"
#include "engine/jobs/placement_rule.h"
#include "engine/jobs/task_copies.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

namespace {

// Workers without room now are named for the room that they may get, up to so
// many in a call.
constexpr std::size_t kRoomlessNames = 10;

struct Named {
  std::string id;
  bool allowed = false;  // from an earlier answer, its ticket has lapsed
  bool has_room = false;
  double fits = 0;  // tasks that have room now
  double rank = 0;  // lower is better
};

// Without tickets for the workers of less urgent work nothing could be stopped
// there when the time has come.
bool CouldPreempt(const Context& context,
                  const ReadyStep& ready,
                  const PlacementNeed& need,
                  Candidate candidate) {
  candidate.free += candidate.yielding;
  return MayPreempt(context, ready) && HasRoomNow(need, candidate);
}

const std::vector<Candidate>& CandidatesFor(const Context& context,
                                            const std::string& service,
                                            CandidatesByService& candidates) {
  const auto it = candidates.find(service);
  return it != candidates.end()
             ? it->second
             : candidates[service] = CandidatesOf(context, service);
}

std::vector<Named> NamesFor(const Context& context,
                            const ReadyStep& ready,
                            CandidatesByService& candidates) {
  const StepRun& step = ready.run();
  const PlacementNeed need = NeedOf(ready);
  const auto placed = CountPlaced(ready);
  std::vector<Named> names;
  for (const Candidate& candidate :
       CandidatesFor(context, ready.queue->service, candidates)) {
    const std::string& id = candidate.worker->id;
    if (!MayRunOn(ready.spec(), *candidate.worker) ||
        step.denied.contains(id)) {
      continue;
    }
    const auto ticket = step.tickets.find(id);
    const std::int64_t starts =
        CountStarts(ready, placed, need, *candidate.worker, candidate.free);
    const auto there = placed.find(id);
    if (there != placed.end() && there->second >= ready.spec().spread) {
      continue;  // no task of the step may start there
    }
    const bool has_room = HasRoomNow(need, candidate) ||
                          CouldPreempt(context, ready, need, candidate);
    const bool known = ticket != step.tickets.end();
    // Asking again makes sense only where a task would start at once.
    const bool asked = step.advised_at != kForever;
    if ((known && IsValid(context, ticket->second)) || (asked && !has_room)) {
      continue;
    }
    const auto fits = static_cast<double>(starts);
    names.push_back({.id = id,
                     .allowed = known,
                     .has_room = has_room,
                     .fits = fits,
                     // Work in a hurry wants fast workers; other work few.
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

// How many tasks of the step have room at workers with a ticket.
std::int64_t CountTicketed(const Context& context, const ReadyStep& ready) {
  const PlacementNeed need = NeedOf(ready);
  const auto placed = CountPlaced(ready);
  std::int64_t fits = 0;
  for (const auto& [worker, ticket] : ready.run().tickets) {
    const auto listed = context.state.workers.find(worker);
    if (listed == context.state.workers.end() || !IsValid(context, ticket)) {
      continue;
    }
    // Room at a worker that placement passes over would be enough for ever.
    const RoomView* view = UsableView(context.state, worker, listed->second);
    if (view != nullptr) {
      fits += CountStarts(ready, placed, need, listed->second.info, view->free);
    }
  }
  return fits;
}

std::vector<std::string> ChooseNames(Context& context,
                                     const ReadyStep& ready,
                                     CandidatesByService& candidates) {
  std::vector<Named> names = NamesFor(context, ready, candidates);
  // Equal ones in another order each time, so that not all steps ask for the
  // same workers.
  std::shuffle(names.begin(), names.end(), context.state.random);
  std::stable_sort(
      names.begin(), names.end(), [](const Named& left, const Named& right) {
        return std::tuple(!left.has_room, !left.allowed, left.rank) <
               std::tuple(!right.has_room, !right.allowed, right.rank);
      });
  AdviceCall call{
      .waiting = CountWaiting(ready.run()),
      .gang = ready.spec().gang,
      .ticketed = static_cast<double>(CountTicketed(context, ready))};
  const double share = context.state.advice.shares[ready.queue->name].value();
  std::vector<std::string> chosen;
  for (const Named& it : names) {
    const bool roomless = !it.has_room && chosen.size() >= kRoomlessNames;
    if (roomless || chosen.size() == kMaxAdvisedWorkers || NamesEnough(call)) {
      break;
    }
    chosen.push_back(it.id);
    ++call.named;
    call.starts += it.fits * (it.allowed ? 1 : share);
    call.most += it.fits;
  }
  const StepRun& step = ready.run();
  const bool asked = step.advised_at != kForever;
  if (asked && !IsWorthACall(call, context.now - step.called_at)) {
    chosen.clear();
  }
  return chosen;
}

}  // namespace burdockrock::engine
