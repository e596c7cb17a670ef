// Status queries and cancellation of jobs.
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

// Returns nothing when the job is unknown to this process.
std::optional<WorkStatus> JobStatus(Context& context, const std::string& id);

// Stops all tasks. The callers are answered when the cancel is recorded.
void CancelJob(Context& context, Job& job);

// Handle a caller's status query or cancel, which is forwarded to the journal's
// writer if that is another member, and one that a peer forwarded.
void OnWorkQuery(Context& context, const WorkQueryArrived& asked);
void OnPeerWorkQuery(Context& context,
                     const std::string& from,
                     const AskWork& ask);

// Answers the callers of forwarded queries that the writer did not answer in
// time.
void ExpireForwardedQueries(Context& context);
void OnPeerWorkReply(Context& context, const AskWorkAnswer& answer);

// Handles the outcome of appending the record of a cancel.
void OnCancelRecorded(Context& context,
                      const std::string& id,
                      AppendOutcome outcome);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_JOB_STATUS_H_
