// Tracks the runs of the jobs that this instance owns: replies to offers,
// reported states, lost workers, and repeated queries and stops.
#ifndef BURDOCKROCK_ENGINE_JOBS_JOB_RUNS_H_
#define BURDOCKROCK_ENGINE_JOBS_JOB_RUNS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Messages from the members that own the workers.
void OnOfferAnswers(Context& context,
                    const std::string& from,
                    const OfferAnswers& answers);
void OnRunReports(Context& context, const RunReports& reports);

// A single report, also as part of the recovery of an adopted job.
void OnRunReport(Context& context, const RunReport& report);

// Makes the task wait for a worker again, after `pause` at the earliest.
void Requeue(Context& context, Task& task, Duration pause);

// The member to query about runs at the worker; empty if there is none.
std::string OwnerOfWorker(const Context& context, const std::string& worker);

// Handles a lost worker: all of its runs have ended.
void OnWorkerLost(Context& context, const std::string& worker);

// Begins the occurrences that are due.
void DriveOccurrences(Context& context);

// Queries runs without a recent update, repeats stops, gives up late bookings,
// and drops ended jobs from the active set once nothing of them runs.
void DriveJobs(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_JOB_RUNS_H_
