// Crashes of owned workers: tells them from other losses, and reports the runs
// that were at work there until the owners of their jobs have stored them.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_CRASHES_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_CRASHES_H_

#include <set>
#include <string>
#include <vector>

#include "engine/context.h"

namespace burdockrock::engine {

// What shows that an owned worker is lost.
enum class LossKind {
  kEnded,      // its process has ended: another one is in its place, or none
  kTakenDown,  // its machine was moved or is down for upkeep
  kSilent,     // its leases have expired; it may be cut off and live on
};

// Whether the worker has crashed. One that announced its end, that is about to
// be taken down, or that may only be cut off has not.
bool IsCrash(const Context& context, const OwnedWorker& worker, LossKind kind);

// Adds the worker to those that were lost. If it has crashed, announces that
// and begins to report its runs. Called before its entry in the list is
// dropped.
void AddLostWorker(Context& context, const OwnedWorker& worker, LossKind kind);

// Tells all members where the worker crashed, before it is declared lost.
void AnnounceCrashSite(Context& context, const OwnedWorker& worker);

// Whether the worker's owner reports the run as crashed, or may yet do so.
bool IsReportedAsCrashed(const Context& context,
                         const OwnedWorker& worker,
                         const LocalRun& run);

// Repeats reports, as due, looks for evidence that silent workers have crashed,
// and drops what is no longer needed.
void DriveCrashes(Context& context);

// Adds the runs of the given jobs that ended with their workers to `out`.
void AddCrashedRuns(const State& state,
                    const std::set<std::string>& jobs,
                    std::vector<EndReport>& out);

// The job's owner has stored the end of a run on a lost worker.
void OnCrashStored(State& state, const StoredEnd& stored);

// Sends a new owner of jobs all workers that are known here to have crashed.
void SendCrashedWorkers(Context& context, const std::string& to);

void OnWorkersCrashed(Context& context, const WorkersCrashed& message);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_CRASHES_H_
