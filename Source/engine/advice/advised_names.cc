#include "engine/advice/advised_names.h"

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <tuple>
#include <utility>

#include "engine/advice/advice_rule.h"
#include "engine/jobs/gang_bookings.h"
#include "engine/jobs/placement_rule.h"
#include "engine/jobs/task_copies.h"
#include "engine/jobs/task_crashes.h"
#include "engine/jobs/task_reservations.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

namespace {

// A ticket is renewed this long before it could not be used any more, in
// addition to the service time.
constexpr Duration kRenewalLead = milliseconds(400);

// Workers without free room, where room may become free, are added only while
// the call names fewer than this many workers of any kind.
constexpr std::size_t kMaxRoomlessWorkers = 10;

// Workers with room among which those to name are chosen. More than a call
// names.
constexpr std::size_t kMaxConsidered = 128;
static_assert(kMaxConsidered > kMaxAdvisedWorkers);
// The same without room.
constexpr std::size_t kMaxRoomlessConsidered = 32;
static_assert(kMaxRoomlessConsidered > kMaxRoomlessWorkers);

// Weight of a worker without room in the random choice, in tasks.
constexpr double kLeastWeight = 0.1;

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

// Counts how many tasks of a step fit at a worker.
class RoomCount {
 public:
  RoomCount(const Context& context, const ReadyStep& ready)
      : context_(context),
        ready_(ready),
        need_(NeedOf(ready)),
        placed_(CountPlaced(ready)) {}

  // Workers that placement does not use are not counted: their room would
  // always seem to be enough, and no more workers would be queried.
  std::int64_t At(const std::string& worker) const {
    const auto listed = context_.state.workers.find(worker);
    if (listed == context_.state.workers.end()) {
      return 0;
    }
    const RoomView* view = UsableView(context_.state, worker, listed->second);
    return view == nullptr ? 0
                           : CountStarts(ready_, placed_, need_,
                                         listed->second.info, view->free);
  }

 private:
  const Context& context_;
  const ReadyStep& ready_;
  const PlacementNeed need_;
  const std::map<std::string, std::uint32_t> placed_;
};

// Collects the workers that a call could name.
class NameCollector {
 public:
  NameCollector(const Context& context, const ReadyStep& ready)
      : context_(context),
        ready_(ready),
        need_(NeedOf(ready)),
        placed_(CountPlaced(ready)),
        gang_(ready.spec().gang),
        alone_(!gang_ && HasTaskToIsolate(context, ready.run())),
        queried_(ready.run().advised_at != kForever) {}

  void Add(const Candidate& candidate);

  const PlacementNeed& need() const { return need_; }
  // Whether all workers count: a gang learns where it is allowed, a worker is
  // emptied for a task that is to run alone, and few are near a step's data.
  bool wants_all() const {
    return gang_ || alone_ || !ready_.spec().rack.empty();
  }
  // Whether the call may name workers without room.
  bool wants_roomless() const {
    return !queried_ && with_room_ < kMaxRoomlessWorkers;
  }
  std::size_t with_room() const { return with_room_; }
  // From now on so many more workers without room are collected at most.
  void LimitRoomless(std::size_t n) { max_roomless_ = roomless() + n; }
  bool has_max_roomless() const { return roomless() >= max_roomless_; }
  std::vector<NamedWorker> Take() { return std::move(names_); }

 private:
  double RankOf(const Candidate& candidate, double fits) const;
  std::size_t roomless() const { return names_.size() - with_room_; }

  const Context& context_;
  const ReadyStep& ready_;
  const PlacementNeed need_;
  const std::map<std::string, std::uint32_t> placed_;
  const bool gang_;
  const bool alone_;
  const bool queried_;
  std::vector<NamedWorker> names_;
  std::size_t with_room_ = 0;
  std::size_t max_roomless_ = std::numeric_limits<std::size_t>::max();
};

void NameCollector::Add(const Candidate& candidate) {
  const StepRun& step = ready_.run();
  // A worker is emptied for a task that is to run alone.
  const bool has_room = alone_ || HasRoomNow(need_, candidate) ||
                        CouldPreempt(context_, ready_, need_, candidate);
  // A further call is useful only for workers where a task starts at once. A
  // gang remembers which workers are allowed, and room may come there later.
  if (!has_room && ((queried_ && !gang_) || has_max_roomless())) {
    return;
  }
  const std::string& id = candidate.worker->id;
  if (!MayRunOn(ready_.spec(), *candidate.worker) || step.denied.contains(id)) {
    return;
  }
  const auto ticket = step.tickets.find(id);
  const bool known = ticket != step.tickets.end();
  if (known && (gang_ || IsValid(context_, ticket->second))) {
    return;
  }
  const auto there = placed_.find(id);
  if (there != placed_.end() && there->second >= ready_.spec().spread) {
    return;  // the spread limit is reached
  }
  const std::int64_t starts =
      CountStarts(ready_, placed_, need_, *candidate.worker, candidate.free);
  const auto fits =
      static_cast<double>(alone_ ? std::max<std::int64_t>(starts, 1) : starts);
  names_.push_back({.id = &id,
                    .allowed = known,
                    .has_room = has_room,
                    .fits = fits,
                    .empty = alone_ ? FreeShare(candidate) : 0,
                    .rank = RankOf(candidate, fits)});
  with_room_ += has_room ? 1 : 0;
}

// Steps with a speed weight prefer fast workers, gangs those where many members
// fit. Others choose at random, in proportion to the room: if all of them named
// the workers with the most, the first replies would use it up, and the others
// would find none.
double NameCollector::RankOf(const Candidate& candidate, double fits) const {
  if (need_.speed_weight > 0) {
    return PlacementCost(need_, candidate);
  }
  if (gang_) {
    return -fits;
  }
  std::exponential_distribution<double> rank(std::max(fits, kLeastWeight));
  return rank(context_.state.random);
}

// Own workers, those that an earlier reply allowed, and so many others that the
// best of them serve as well as the best of all. Where few have room, all that
// have are found.
std::vector<NamedWorker> NamesFor(Context& context, const ReadyStep& ready) {
  NameCollector names(context, ready);
  const std::string& service = ready.queue->service;
  if (names.wants_all()) {
    for (const Candidate& it : CandidatesOf(context, service)) {
      names.Add(it);
    }
    return names.Take();
  }
  for (const auto& [id, worker] : context.state.owned) {
    const auto candidate = CandidateAt(context, id);
    if (candidate && candidate->worker->service == service) {
      names.Add(*candidate);
    }
  }
  const std::size_t most_with_room = names.with_room() + kMaxConsidered;
  const auto& tickets = ready.run().tickets;
  for (const auto& [id, ticket] : tickets) {
    const auto candidate = CandidateAt(context, id);
    if (candidate && !context.state.owned.contains(id)) {
      names.Add(*candidate);
    }
  }
  names.LimitRoomless(kMaxRoomlessConsidered);
  const auto add = [&](const Candidate& it) {
    const std::string& id = it.worker->id;
    if (!context.state.owned.contains(id) && !tickets.contains(id)) {
      names.Add(it);
    }
  };
  const std::int64_t processors = names.need().room.processors_milli;
  const VisitOrder order{.start = context.state.random(),
                         .sample = kMaxConsidered};
  VisitWithProcessors(context, service, processors, order,
                      [&](const Candidate& it) {
                        add(it);
                        return names.with_room() < most_with_room;
                      });
  if (names.wants_roomless() || MayPreempt(context, ready)) {
    VisitWithoutProcessors(
        context, service, processors, order, [&](const Candidate& it) {
          add(it);
          const bool enough_roomless =
              !names.wants_roomless() || names.has_max_roomless();
          return names.with_room() < most_with_room &&
                 (!enough_roomless || MayPreempt(context, ready));
        });
  }
  return names.Take();
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
  const RoomCount count(context, ready);
  std::int64_t fits = 0;
  for (const auto& [worker, ticket] : ready.run().tickets) {
    if (fits >= enough) {
      return fits;
    }
    if (ready.spec().gang || IsValid(context, ticket)) {
      fits += count.At(worker);
    }
  }
  return fits;
}

std::int64_t CountStartsAt(const Context& context,
                           const ReadyStep& ready,
                           const std::vector<std::string>& workers) {
  const RoomCount count(context, ready);
  std::int64_t fits = 0;
  for (const std::string& it : workers) {
    const auto ticket = ready.run().tickets.find(it);
    if (ticket != ready.run().tickets.end() &&
        IsValid(context, ticket->second)) {
      fits += count.At(it);
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
        ready.spec().gang ? IsOnlyBooked(*ready.job, step, it) : IsReserved(it);
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

AdvisedNames ChooseWorkersForAdvice(Context& context, const ReadyStep& ready) {
  const std::set<std::string> renewed = WorkersToRenew(context, ready);
  const std::size_t waiting = CountWaiting(ready.run());
  const std::int64_t ticketed = CountTicketed(context, ready);
  // A step that lacks its part of the cap would find its tickets lapsed once it
  // has that.
  if (ticketed >= static_cast<std::int64_t>(waiting) ||
      ready.run().awaits_cap) {
    return {.workers = {renewed.begin(), renewed.end()}};
  }
  std::vector<NamedWorker> names = NamesFor(context, ready);
  // Shuffles workers of equal rank so that not all steps name the same ones.
  std::shuffle(names.begin(), names.end(), context.state.random);
  std::stable_sort(names.begin(), names.end(),
                   [](const NamedWorker& left, const NamedWorker& right) {
                     return std::tuple(-left.empty, !left.has_room,
                                       !left.allowed, left.rank) <
                            std::tuple(-right.empty, !right.has_room,
                                       !right.allowed, right.rank);
                   });
  AdviceCallDraft call{
      .waiting = waiting,
      .gang = ready.spec().gang,
      .ticketed = static_cast<double>(ticketed),
      .left = context.state.advice.left[ready.queue->name].value()};
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
    return {.workers = {renewed.begin(), renewed.end()}};
  }
  return {.workers = std::move(chosen), .starts = call.starts};
}

}  // namespace burdockrock::engine
