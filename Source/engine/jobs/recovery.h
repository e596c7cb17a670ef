// Finds out what runs of adopted jobs exist before any of their tasks is
// started.
#ifndef BURDOCKROCK_ENGINE_JOBS_RECOVERY_H_
#define BURDOCKROCK_ENGINE_JOBS_RECOVERY_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Begins the recovery of a job that was just adopted: it waits for reports from
// all members and on all workers.
void BeginRecovery(Context& context, Job& job);

// Queries the members whose reports are missing, and ends the recoveries that
// are complete.
void DriveRecovery(Context& context);

// Takes in a member's reports of runs, ends and covered workers.
void OnAdoptReport(Context& context,
                   const std::string& from,
                   const AdoptReport& report);

// A worker was listed or reported that may run tasks of recovering jobs.
void OnWorkerListed(Context& context, const std::string& worker);

// Nothing runs at the worker any more: recovery doesn't wait for it.
void OnWorkerCleared(Context& context, const std::string& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_RECOVERY_H_
