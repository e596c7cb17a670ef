// Calls that may be carried out by a later process of a worker than the one
// that they were meant for.
//
// A process that starts under the id of another one has seen no fence and takes
// any call. A start that it takes holds a lease from its arrival. So the bound
// of the leases that polls renewed does not cover a run whose start is not
// known to have reached the process that was asked: such a run is in doubt. It
// ends with the leases that the later process may hold, or is found there.
#ifndef BURDOCKROCK_ENGINE_WORKERS_STRAY_CALLS_H_
#define BURDOCKROCK_ENGINE_WORKERS_STRAY_CALLS_H_

#include <string>

#include "engine/context.h"
#include "engine/workers/process_clock.h"

namespace burdockrock::engine {

// Called when a reply to a poll shows that the present process is at work.
void NoteProcessAlive(const Context& context,
                      OwnedWorker& worker,
                      const WorkerDone& done,
                      Time called_at);

// The source of a reply with this clock to a call that was sent at `called_at`.
ReplySource SourceOfReply(const Context& context,
                          const OwnedWorker& worker,
                          std::int64_t clock_ms,
                          Time called_at);

// Extends the bound of the leases that a later process may hold if the call
// renews leases and no reply of the present process confirms it.
void ExtendStrayLeases(const Context& context,
                       OwnedWorker& worker,
                       const WorkerAnswered& event);

// Whether the run may be at a later process of the worker.
bool IsInDoubt(const OwnedWorker& worker, const LocalRun& run);
bool HasRunInDoubt(const OwnedWorker& worker);

// When the leases of the runs in doubt have expired at any later process, by
// any clock, unless another instance renews them. Time(0) if none is in doubt.
Time StrayLeasesEnd(const Context& context, const OwnedWorker& worker);

// Called when the worker's process has ended, or all its leases have, and runs
// in doubt are left. Reports the other runs to the owners of their jobs, as
// crashed if that is known. If it becomes known later, it is reported then.
void ReportCertainLosses(Context& context,
                         const std::string& id,
                         OwnedWorker& worker);

// Whether the run was reported by ReportCertainLosses().
bool IsReportedLost(const OwnedWorker& worker,
                    const std::string& task,
                    std::uint64_t run);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_STRAY_CALLS_H_
