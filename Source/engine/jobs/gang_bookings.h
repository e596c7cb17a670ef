// Room that is booked for a gang's members until all of them have room.
#ifndef BURDOCKROCK_ENGINE_JOBS_GANG_BOOKINGS_H_
#define BURDOCKROCK_ENGINE_JOBS_GANG_BOOKINGS_H_

#include <cstdint>
#include <string>

#include "engine/context.h"
#include "engine/jobs/job.h"

namespace burdockrock::engine {

// Whether room is booked for members of the gang and its start was not
// commanded yet. Nothing runs for it then.
bool IsBeingBooked(const Job& job, const StepRun& step);

// Whether this task has such a booking.
bool IsOnlyBooked(const Job& job, const StepRun& step, const Task& task);

// Whether this owner has never commanded the start of the gang's run, so that a
// report of its end can only mean that a booking is gone.
bool WasNeverStarted(const Job& job,
                     const StepSpec& spec,
                     const StepRun& step,
                     std::uint64_t run);

// Whether a report on this run at `worker` is of a booking that was given up:
// the run is booked or at work at another worker under the same number.
bool IsOfGivenUpBooking(const Job& job,
                        const StepSpec& spec,
                        const Task& task,
                        std::uint64_t run,
                        const std::string& worker);

// Notes that the worker's owner holds the room.
void NoteBooked(Context& context, Task& task);

// Whether the worker's owner has not answered offers in time.
bool IsOwnerUnresponsive(const Context& context, const std::string& worker);

// Treats all workers of an owner that did not answer as not accepting until it
// answers, because they would be chosen again at once.
void CloseWorkersOfOwner(Context& context, const std::string& worker);

enum class BackOff {
  kOne,  // one booking; its member is booked elsewhere
  kAll,  // the run, or all bookings for it
};

// Logs that a gang gives up bookings or a run; each kind once for each run.
void LogBackedOff(Context& context,
                  Job& job,
                  const TaskName& name,
                  BackOff back_off,
                  const char* cause);

// Releases all bookings of the gang: its next run is booked from the start.
void ReleaseBookings(Context& context,
                     Job& job,
                     const TaskName& name,
                     const char* cause);

// Gives up the booking of a member whose worker's owner does not confirm it, so
// that it is booked elsewhere.
void ExpireBooking(Context& context,
                   Job& job,
                   const TaskName& name,
                   Task& task);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_GANG_BOOKINGS_H_
