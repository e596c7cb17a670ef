// One placement round: the workers that are left to choose from, the choice for
// one task, and the offers that the round sends.
#ifndef BURDOCKROCK_ENGINE_JOBS_PLACEMENT_ROUND_H_
#define BURDOCKROCK_ENGINE_JOBS_PLACEMENT_ROUND_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine/context.h"
#include "engine/jobs/placement_rule.h"
#include "engine/jobs/placing.h"

namespace burdockrock::engine {

// State of one placement round.
struct PlacementRound {
  Context& context;
  // By worker, those that were looked up, with the room that the round has left
  // there. Unset if the worker accepts no tasks.
  std::unordered_map<std::string, std::optional<Candidate>> candidates{};
  // All of a service, for queues without advice.
  std::map<std::string, std::vector<Candidate*>> by_service{};
  // By owner of the workers.
  std::map<std::string, std::vector<TaskOffer>> offers{};
};

// The workers at which tasks of the step may be placed, in the order of their
// names and with the room that the round has left there. With advice only those
// with tickets are looked up, a small part of all workers. The pointers stay
// valid during the round.
std::vector<Candidate*> RoundCandidates(PlacementRound& round,
                                        const ReadyStep& ready);

// Whether a start of the step's tasks at the worker has the advice it needs.
bool HasTicket(const Context& context,
               const ReadyStep& ready,
               const std::string& worker);

// Whether tasks of the step may be placed at any worker: where it has a valid
// ticket, or of a gang where it is known to be allowed, since its tickets are
// requested for the workers that it has booked. Most waiting steps have none.
bool MayPlaceAnywhere(const Context& context, const ReadyStep& ready);

// Workers on which tasks of the step may run and that have room for at least
// one: during a round, room only shrinks.
std::vector<Candidate*> EligibleWorkers(PlacementRound& round,
                                        const ReadyStep& ready,
                                        const PlacementNeed& need);

// The same of those where an earlier reply allowed the step and its ticket is
// no longer valid.
std::vector<Candidate*> KnownWorkers(PlacementRound& round,
                                     const ReadyStep& ready,
                                     const PlacementNeed& need);

// The workers from which one is chosen, and what restricts the choice.
struct PlacementChoice {
  const ReadyStep& ready;
  std::vector<Candidate*> eligible;
  // Tasks by the worker's id; filled only if the step limits them.
  std::map<std::string, std::uint32_t> placed{};
  std::string excluded_worker{};  // empty: none
  std::string only_worker{};      // the only one allowed; empty: any
  bool preempts = false;
};

// The worker with the lowest cost; null if none has room.
Candidate* ChooseWorker(const PlacementChoice& choice,
                        const PlacementNeed& need);

// The worker to which a task comes that has to be alone there: the one with the
// largest free share, which is empty or soon will be.
Candidate* ChooseAlone(const PlacementChoice& choice,
                       const std::vector<Candidate*>& candidates);

// The same for a member of a gang, which comes to an empty worker only.
Candidate* ChooseEmpty(const PlacementChoice& choice,
                       const PlacementNeed& need);

enum class OfferKind { kStart, kPreemption, kBooking, kRenewal };

// A run that is offered to a worker.
struct RunOffer {
  std::string worker{};
  std::uint64_t run = 0;
  std::string checkpoint{};
  Duration alone_for{0};
  Duration waited{0};
};

void AddOffer(PlacementRound& round,
              const ReadyStep& ready,
              std::uint32_t index,
              const RunOffer& offered,
              OfferKind kind);

// The task's present run.
RunOffer OfferOf(const Context& context, const Task& task);

// The highest number that a run of the task has had.
std::uint64_t HighestRun(const Task& task);

void TakeRoom(PlacementRound& round,
              const Resources& room,
              Candidate& candidate);

// Places the next run of the task at the worker.
void AssignWorker(PlacementRound& round,
                  const Resources& room,
                  Candidate& candidate,
                  Task& task,
                  std::uint64_t run);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_PLACEMENT_ROUND_H_
