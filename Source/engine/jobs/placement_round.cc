#include "engine/jobs/placement_round.h"

#include <algorithm>

#include "engine/jobs/candidates.h"
#include "engine/jobs/task_crashes.h"
#include "engine/workers/service_workers.h"

namespace burdockrock::engine {

namespace {

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

bool IsUsable(const Context& context, const StepTicket& ticket) {
  return ticket.expires > context.now + kTicketMargin;
}

bool IsAllowed(const PlacementChoice& choice, const Candidate& candidate) {
  const std::string& id = candidate.worker->id;
  return id != choice.excluded_worker &&
         (choice.only_worker.empty() || id == choice.only_worker);
}

// Null if the worker accepts no tasks.
Candidate* FindCandidate(PlacementRound& round, const std::string& worker) {
  const auto [it, is_new] = round.candidates.try_emplace(worker);
  if (is_new) {
    it->second = CandidateAt(round.context, worker);
  }
  return it->second ? &*it->second : nullptr;
}

const std::vector<Candidate*>& ServiceCandidates(PlacementRound& round,
                                                 const std::string& service) {
  const auto [it, is_new] = round.by_service.try_emplace(service);
  if (is_new) {
    for (const auto& [worker, listed] : round.context.state.workers) {
      Candidate* candidate = listed.info.service == service
                                 ? FindCandidate(round, worker)
                                 : nullptr;
      if (candidate != nullptr) {
        it->second.push_back(candidate);
      }
    }
  }
  return it->second;
}

TaskOffer& OfferTo(PlacementRound& round,
                   const ReadyStep& ready,
                   const std::string& owner,
                   OfferKind kind) {
  std::vector<TaskOffer>& offers = round.offers[owner];
  const auto it =
      std::find_if(offers.begin(), offers.end(), [&](const TaskOffer& offer) {
        return offer.job == ready.job->id && offer.step == ready.step &&
               offer.occurrence == ready.occurrence &&
               offer.book_only == (kind == OfferKind::kBooking) &&
               offer.preempts == (kind == OfferKind::kPreemption) &&
               offer.renews == (kind == OfferKind::kRenewal);
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
                .book_only = kind == OfferKind::kBooking,
                .renews = kind == OfferKind::kRenewal});
}

}  // namespace

std::vector<Candidate*> RoundCandidates(PlacementRound& round,
                                        const ReadyStep& ready) {
  const std::string& service = ready.queue->service;
  if (!ready.queue->advice) {
    return ServiceCandidates(round, service);
  }
  std::vector<Candidate*> candidates;
  for (const auto& [worker, ticket] : ready.run().tickets) {
    if (!ready.spec().gang && !IsUsable(round.context, ticket)) {
      continue;
    }
    Candidate* it = FindCandidate(round, worker);
    if (it != nullptr && it->worker->service == service) {
      candidates.push_back(it);
    }
  }
  return candidates;
}

bool HasTicket(const Context& context,
               const ReadyStep& ready,
               const std::string& worker) {
  if (!ready.queue->advice) {
    return true;
  }
  const auto it = ready.run().tickets.find(worker);
  return it != ready.run().tickets.end() && IsUsable(context, it->second);
}

bool MayPlaceAnywhere(const Context& context, const ReadyStep& ready) {
  const auto& tickets = ready.run().tickets;
  return !ready.queue->advice ||
         std::any_of(tickets.begin(), tickets.end(), [&](const auto& it) {
           return ready.spec().gang || IsUsable(context, it.second);
         });
}

std::vector<Candidate*> EligibleWorkers(PlacementRound& round,
                                        const ReadyStep& ready,
                                        const PlacementNeed& need) {
  const bool may_preempt = MayPreempt(round.context, ready);
  std::vector<Candidate*> eligible = RoundCandidates(round, ready);
  std::erase_if(eligible, [&](const Candidate* it) {
    const bool has_room =
        HasRoomNow(need, *it) || (may_preempt && HasRoom(need, *it, true));
    return !has_room || !MayRunOn(ready.spec(), *it->worker);
  });
  return eligible;
}

std::vector<Candidate*> KnownWorkers(PlacementRound& round,
                                     const ReadyStep& ready,
                                     const PlacementNeed& need) {
  std::vector<Candidate*> known;
  for (const auto& [worker, ticket] : ready.run().tickets) {
    Candidate* it = IsUsable(round.context, ticket)
                        ? nullptr
                        : FindCandidate(round, worker);
    if (it != nullptr && HasRoomNow(need, *it) &&
        MayRunOn(ready.spec(), *it->worker)) {
      known.push_back(it);
    }
  }
  return known;
}

Candidate* ChooseWorker(const PlacementChoice& choice,
                        const PlacementNeed& need) {
  const StepSpec& spec = choice.ready.spec();
  Candidate* best = nullptr;
  double best_cost = 0;
  for (Candidate* it : choice.eligible) {
    if (!IsAllowed(choice, *it) || !HasRoom(need, *it, choice.preempts)) {
      continue;
    }
    if (spec.spread != 0 &&
        CountAt(choice.placed, it->worker->id) >= spec.spread) {
      continue;
    }
    const double cost = PlacementCost(need, *it);
    if (best == nullptr || cost < best_cost) {
      best = it;
      best_cost = cost;
    }
  }
  return best;
}

Candidate* ChooseAlone(const PlacementChoice& choice,
                       const std::vector<Candidate*>& candidates) {
  Candidate* best = nullptr;
  double best_share = -1;
  for (Candidate* it : candidates) {
    const double share = FreeShare(*it);
    const std::uint32_t spread = choice.ready.spec().spread;
    if (spread != 0 && CountAt(choice.placed, it->worker->id) >= spread) {
      continue;
    }
    if (share > best_share && IsAllowed(choice, *it) &&
        MayRunOn(choice.ready.spec(), *it->worker)) {
      best = it;
      best_share = share;
    }
  }
  return best;
}

Candidate* ChooseEmpty(const PlacementChoice& choice,
                       const PlacementNeed& need) {
  for (Candidate* it : choice.eligible) {
    if (it->free == it->worker->capacity && HasRoomNow(need, *it)) {
      return it;
    }
  }
  return nullptr;
}

void AddOffer(PlacementRound& round,
              const ReadyStep& ready,
              std::uint32_t index,
              const RunOffer& offered,
              OfferKind kind) {
  const RoomView& view = round.context.state.view[offered.worker];
  const std::string& owner = view.owner;
  const auto ticket = ready.run().tickets.find(offered.worker);
  Totals& totals = round.context.state.totals;
  totals.offers += kind == OfferKind::kRenewal ? 0 : 1;
  // A gang's start is a second offer of its booked room; only it is counted.
  const bool starts =
      kind != OfferKind::kBooking && kind != OfferKind::kRenewal;
  if (ticket != ready.run().tickets.end() && starts) {
    ++totals.advice[ticket->second.reason].starts;
  }
  OfferTo(round, ready, owner, kind)
      .tasks.push_back({.index = index,
                        .run = offered.run,
                        .worker = offered.worker,
                        .fence = view.fence,
                        .ticket = ticket == ready.run().tickets.end()
                                      ? std::string()
                                      : ticket->second.text,
                        .checkpoint = offered.checkpoint,
                        .alone_for = offered.alone_for,
                        .waited = offered.waited});
}

RunOffer OfferOf(const Context& context, const Task& task) {
  return {.worker = task.worker,
          .run = task.run,
          .checkpoint = task.checkpoint,
          .alone_for = IsolationOf(context, task),
          .waited = context.now - std::max(task.idle_since, task.crashes.last)};
}

std::uint64_t HighestRun(const Task& task) {
  return std::max({task.run, task.last_copy,
                   task.planned ? task.planned->run : std::uint64_t{0}});
}

void TakeRoom(PlacementRound& round,
              const Resources& room,
              Candidate& candidate) {
  candidate.free -= room;
  RoomView& view = round.context.state.view[candidate.worker->id];
  view.free -= room;
  OnRoomChanged(view);
}

void AssignWorker(PlacementRound& round,
                  const Resources& room,
                  Candidate& candidate,
                  Task& task,
                  std::uint64_t run) {
  const bool alone = IsolationOf(round.context, task) > Duration(0);
  TakeRoom(round, alone ? candidate.worker->capacity : room, candidate);
  task.planned.reset();
  task.phase = TaskPhase::kOffered;
  task.run = run;
  task.worker = candidate.worker->id;
  task.since = round.context.now;
  task.last_update = round.context.now;
  task.booked = false;
  task.offered_at = round.context.now;
  task.reserved = false;
}

}  // namespace burdockrock::engine
