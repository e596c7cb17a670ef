// Submissions of jobs by callers.
#ifndef BURDOCKROCK_ENGINE_JOBS_SUBMISSIONS_H_
#define BURDOCKROCK_ENGINE_JOBS_SUBMISSIONS_H_

#include <cstdint>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// A caller of the team has sent the job.
void OnSubmit(Context& context,
              std::uint64_t call,
              const std::string& id,
              const QueuePolicy& queue,
              const std::string& team,
              JobSpec spec);

// Answers the call that its request has not run.
void Refuse(Context& context,
            std::uint64_t call,
            const std::string& job,
            RefusalCause cause);

// Answers a submission that is to be refused for the work ahead of it, once it
// is known whether another entry instance has accepted the job before. Returns
// true if it was answered.
bool AnswerRefused(Context& context, PendingCallerQuery& caller);

// Refuses or times out submissions whose write the store has not acknowledged.
void DriveSubmitWaiters(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_SUBMISSIONS_H_
