// Handles callers' requests: submissions, state queries, cancels and queue
// lengths.
#ifndef BURDOCKROCK_ENGINE_JOBS_CALLER_REQUESTS_H_
#define BURDOCKROCK_ENGINE_JOBS_CALLER_REQUESTS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "engine/context.h"

namespace burdockrock::engine {

// Answers the request, or keeps it until the store or the job's owner replies.
void OnCallerRequest(Context& context, const CallerRequestReceived& event);

// Answers another member's state query or cancel of a job owned here.
void OnJobQuery(Context& context,
                const std::string& from,
                const JobQuery& query);

// Passes a member's reply on to the pending caller.
void OnJobReply(Context& context, const JobReply& reply);

// The job's record was read from the store: continues the queries that wait for
// it.
void OnRecordRead(Context& context, const std::string& job);

// Retries pending queries and times out requests, as due.
void DriveCallers(Context& context);

// Reports the job's state to a waiter of its cancel: a caller here, or the
// member that forwarded the cancel.
void AnswerCancel(Context& context,
                  const PendingCaller& waiter,
                  JobState state);

// Reports the job's state to the callers that wait for it: to all, or to those
// whose timeout is over.
void AnswerStatusWaiters(Context& context, Job& job, bool all);

// The job has another owner now: queries that owner for the callers that wait
// for its cancel, and lets members that forwarded a cancel do the same.
void RedirectCancelWaiters(Context& context,
                           const std::string& job,
                           const std::vector<PendingCaller>& waiters);

// This instance has released its jobs: pending cancels are sent to the instance
// that adopts the job, and pending state queries are answered with the known
// state.
void HandOverPendingCallers(Context& context);

// Counts of unanswered requests, of callers here and of other members on behalf
// of their callers.
struct OpenRequests {
  std::size_t queries = 0;  // for jobs of other or unknown owners
  std::size_t submissions = 0;
  std::size_t cancels = 0;
  std::size_t states = 0;

  auto operator<=>(const OpenRequests&) const = default;
};

OpenRequests CountOpenRequests(const State& state);

// Number of the queue's jobs that were accepted here and have not started.
std::uint32_t CountWaiting(const State& state, const std::string& queue);

// The same of the other members, by their digests.
std::uint32_t CountWaitingElsewhere(const State& state,
                                    const std::string& queue);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_CALLER_REQUESTS_H_
