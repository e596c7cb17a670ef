// Admits jobs: checks them, claims the idempotency key and records them in the
// journal.
#ifndef BURDOCKROCK_SCHEDULER_JOB_ADMISSION_H_
#define BURDOCKROCK_SCHEDULER_JOB_ADMISSION_H_

#include <string>

#include "ledger/slot_log.h"
#include "model/verdict.h"
#include "scheduler/event.h"
#include "scheduler/jobs.h"

namespace burdockrock {

class Context;

void OnJobArrived(Context& context, const JobArrived& arrived);

// Called when the idempotency key of a job is recorded.
void OnJobClaimed(Context& context, const std::string& id);
// Answers the caller with the verdict and removes the job.
void RefuseJob(Context& context, const std::string& id, const Verdict& verdict);

// Handles the outcome of appending the job's record.
void OnJobRecorded(Context& context,
                   const std::string& id,
                   AppendOutcome outcome);

// Handles the timeout of the acceptance and the job's own deadline.
void OnJobDeadline(Context& context, const std::string& id);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_JOB_ADMISSION_H_
