// Room that is reserved for tasks of steps without gangs whose start has to
// wait: for a ticket, or until the start is stored. A call to the advice
// service and a write to the store take longer than room stays free under load.
// Nothing runs for a reservation, so it may be given up at any time.
#ifndef BURDOCKROCK_ENGINE_JOBS_TASK_RESERVATIONS_H_
#define BURDOCKROCK_ENGINE_JOBS_TASK_RESERVATIONS_H_

#include <cstdint>

#include "engine/context.h"
#include "engine/jobs/job.h"
#include "engine/jobs/placement_round.h"
#include "engine/jobs/placing.h"

namespace burdockrock::engine {

// Whether the task has no more than a reservation at its worker.
bool IsReserved(const Task& task);

// Whether the planned start of the task waits until the store has it.
bool IsUnstored(const Job& job, const Task& task);

// Whether the step waits for the owners of workers to confirm reservations. Its
// request for advice names the workers that they confirm.
bool AwaitsConfirmation(const Context& context, const StepRun& step);

// Reserves room for waiting tasks of the step at workers where it is known to
// be allowed and has no valid ticket. Where the team's cap has no room for
// them, the step is counted in what is requested of it. Returns whether it
// reserved any.
bool ReserveKnownRoom(Context& context, const ReadyStep& ready);

// Reserves room at the worker for a task whose start must be stored first.
void ReserveForStore(PlacementRound& round,
                     const ReadyStep& ready,
                     std::uint32_t index,
                     Candidate& worker);

// Starts reserved tasks that have what they waited for, and repeats the other
// reservations, so that the owners of the workers keep them.
void DriveReservations(PlacementRound& round, const ReadyStep& ready);

// Gives up the reservation if it has lasted for too long.
void ExpireReservation(Context& context,
                       Job& job,
                       const TaskName& name,
                       Task& task);

// Gives up all reservations of the step.
void ReleaseReservations(Context& context, Job& job, const TaskName& step);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_TASK_RESERVATIONS_H_
