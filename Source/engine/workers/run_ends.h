// Ends of runs on own workers, which are kept and reported until the jobs'
// owners have stored them.
#ifndef BURDOCKROCK_ENGINE_WORKERS_RUN_ENDS_H_
#define BURDOCKROCK_ENGINE_WORKERS_RUN_ENDS_H_

#include <set>
#include <string>
#include <vector>

#include "engine/context.h"

namespace burdockrock::engine {

// Takes in an end that the worker lists. Returns true when the end is new.
bool ApplyEnd(Context& context,
              const std::string& id,
              OwnedWorker& worker,
              const EndedRow& row);

// Reports ends to the jobs' owners, as due, until they confirm them.
void DriveEnds(Context& context);

void OnEndsStored(Context& context, const EndsStored& stored);

// Makes the next DriveEnds report the task's ends again. Returns false when the
// task has none.
bool RepeatEndReports(OwnedWorker& worker, const std::string& task);

// Whether the worker lists an end of this run of the task or of a later one.
bool HasEndOf(const OwnedWorker& worker,
              const std::string& task,
              std::uint64_t run);

// Adds all ends of the given jobs that the worker still lists to `out`.
void AddEndsOfJobs(const std::string& id,
                   OwnedWorker& worker,
                   const std::set<std::string>& jobs,
                   std::vector<EndReport>& out);

// Reports to the job's owner that a run has disappeared without a listed end.
void ReportLostRun(Context& context,
                   const std::string& id,
                   const std::string& task,
                   const LocalRun& run,
                   RunEnd how = RunEnd::kLapsed);
// Reports all runs of a lost worker, except those that are reported as crashed,
// its ends that are not stored, and the runs whose ends were not read.
void ReportLostRuns(Context& context,
                    const std::string& id,
                    const OwnedWorker& worker,
                    bool crashed);

// The owner of a job with runs or ends here, an incarnation. Empty when it is
// not known or is not a member.
std::string OwnerOfJob(const State& state, const std::string& job);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_RUN_ENDS_H_
