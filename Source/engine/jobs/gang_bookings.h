// Room that is booked for a gang's members until all of them have room.
#ifndef BURDOCKROCK_ENGINE_JOBS_GANG_BOOKINGS_H_
#define BURDOCKROCK_ENGINE_JOBS_GANG_BOOKINGS_H_

#include "engine/context.h"
#include "engine/jobs/job.h"

namespace burdockrock::engine {

// Logs that a gang which was not started yet releases what it has booked.
void LogBackedOff(Context& context,
                  Job& job,
                  const TaskName& name,
                  const char* cause);

// If a gang member's start was not commanded in time, cancels its booking and
// makes it wait for room again.
void ExpireBooking(Context& context,
                   Job& job,
                   const TaskName& name,
                   Task& task);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_GANG_BOOKINGS_H_
