// Ends of runs on own workers, until the jobs' owners have them in the store.
#ifndef BURDOCKROCK_ENGINE_WORKERS_RUN_ENDS_H_
#define BURDOCKROCK_ENGINE_WORKERS_RUN_ENDS_H_

#include <set>
#include <string>
#include <vector>

#include "engine/context.h"

namespace burdockrock::engine {

// True when the end is new.
bool ApplyEnd(Context& context,
              const std::string& id,
              OwnedWorker& worker,
              const EndedRow& row);

// Tells the jobs' owners of ends that they have not confirmed.
void DriveEnds(Context& context);

void OnEndsStored(Context& context, const EndsStored& stored);

// Tells the ends of a task again with the next DriveEnds. False when there is
// none.
bool RepeatEndReports(OwnedWorker& worker, const std::string& task);

// The worker lists an end of this run of the task, or of a later one.
bool HasEndOf(const OwnedWorker& worker,
              const std::string& task,
              std::uint64_t run);

// Adds all ends of the jobs that the worker still lists.
void AddEndsOfJobs(const std::string& id,
                   OwnedWorker& worker,
                   const std::set<std::string>& jobs,
                   std::vector<EndReport>& out);

// The run is not there any more, and no end says why.
void ReportLostRun(Context& context,
                   const std::string& id,
                   const std::string& task,
                   const LocalRun& run);
void ReportLostRuns(Context& context,
                    const std::string& id,
                    const OwnedWorker& worker);

// The owner of a job with runs or ends here; empty when it is not known or no
// member.
std::string OwnerOfJob(const State& state, const std::string& job);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_RUN_ENDS_H_
