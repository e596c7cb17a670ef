// Takes jobs in: checks, the idempotency key, the record in the journal.
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

// The key of a non-idempotent job is recorded.
void OnJobClaimed(Context& context, const std::string& id);
void RefuseJob(Context& context, const std::string& id, const Verdict& verdict);

// What the journal answered to the job's record.
void OnJobRecorded(Context& context,
                   const std::string& id,
                   AppendOutcome outcome);

// The time to be accepted, or the job's own deadline, is over.
void OnJobDeadline(Context& context, const std::string& id);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_JOB_ADMISSION_H_
