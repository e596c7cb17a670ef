// Room that is kept for a gang's members until all of them have it.
#ifndef BURDOCKROCK_ENGINE_JOBS_GANG_BOOKINGS_H_
#define BURDOCKROCK_ENGINE_JOBS_GANG_BOOKINGS_H_

#include "engine/context.h"
#include "engine/jobs/job.h"

namespace burdockrock::engine {

// A member of a gang whose start was not ordered in time waits for room again.
void ExpireBooking(Context& context,
                   Job& job,
                   const TaskName& name,
                   Task& task);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_GANG_BOOKINGS_H_
