// What becomes of the own jobs' runs.
#ifndef BURDOCKROCK_ENGINE_JOBS_JOB_RUNS_H_
#define BURDOCKROCK_ENGINE_JOBS_JOB_RUNS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

void OnOfferAnswers(Context& context,
                    const std::string& from,
                    const OfferAnswers& answers);
void OnEndReports(Context& context,
                  const std::string& from,
                  const EndReports& reports);
void OnRunReports(Context& context, const RunReports& reports);

// One of them, also as part of an adoption.
void OnEndReport(Context& context,
                 const std::string& from,
                 const EndReport& report);
void OnRunReport(Context& context, const RunReport& report);

// The task waits for a worker, from `pause` on.
void Requeue(Context& context, Task& task, Duration pause);

// Whom to ask about a run at the worker; empty if there is nobody.
std::string OwnerOfWorker(const Context& context, const std::string& worker);

// All that ran at the worker has ended.
void OnWorkerLost(Context& context, const std::string& worker);

// Begins the occurrences whose time has come.
void DriveOccurrences(Context& context);

// Asks about runs that were not heard of, and repeats stops.
void DriveJobs(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_JOB_RUNS_H_
