// Status and cancellation of jobs.
#ifndef BURDOCKROCK_SCHEDULER_JOB_STATUS_H_
#define BURDOCKROCK_SCHEDULER_JOB_STATUS_H_

#include <optional>
#include <string>

#include "ledger/slot_log.h"
#include "model/caller_message.h"
#include "scheduler/event.h"
#include "scheduler/jobs.h"

namespace burdockrock {

class Context;

std::optional<WorkStatus> JobStatus(Context& context, const std::string& id);

// Stops all tasks; answered when the journal holds the cancel.
void CancelJob(Context& context, Job& job);

// Asked by a caller; passed to the journal's writer if that is another.
void OnWorkQuery(Context& context, const WorkAsked& asked);
void OnPeerWorkQuery(Context& context,
                     const std::string& from,
                     const AskWork& ask);

// Answers questions that the writer has not answered in time.
void ExpireForwardedQueries(Context& context);
void OnPeerWorkReply(Context& context, const AskWorkAnswer& answer);

// What the journal answered to the record of a cancel.
void OnCancelRecorded(Context& context,
                      const std::string& id,
                      AppendOutcome outcome);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_JOB_STATUS_H_
