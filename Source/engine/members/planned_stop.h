// Planned stop: stores all progress and hands over jobs and workers before the
// process ends.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_PLANNED_STOP_H_
#define BURDOCKROCK_ENGINE_MEMBERS_PLANNED_STOP_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Starts the stop. Further calls have no effect.
void BeginStop(Context& context);

// Takes the next step of the stop that is due by now: hands over as soon as
// everything is stored or too much time has passed, then ends the process.
void DriveStop(Context& context);

// All pending callers are answered by this time, so that none is left without
// an answer when the process is killed.
Time StopDeadline(const State& state);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_PLANNED_STOP_H_
