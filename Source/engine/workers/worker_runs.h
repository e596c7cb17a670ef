// Runs on own workers, and the commands that start and stop them.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_RUNS_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_RUNS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Stops runs on behalf of the job's owner.
void OnTaskStops(Context& context,
                 const std::string& from,
                 const TaskStops& stops);

// Handles replies to StartRun and StopRun.
void OnCommandReply(Context& context, const WorkerAnswered& event);

// Updates the estimate of the workers' response time. `event` must be the reply
// to a call without a wait.
void RecordResponseTime(Context& context, const WorkerAnswered& event);

// Repeats commands without a reply, withdraws starts that time out, and stops
// the runs of a draining worker so that they are placed elsewhere.
void DriveRuns(Context& context, const std::string& id, OwnedWorker& worker);

void SendStart(Context& context,
               const std::string& id,
               OwnedWorker& worker,
               const std::string& task,
               LocalRun& run);
void BeginRunStop(Context& context,
                  const std::string& id,
                  OwnedWorker& worker,
                  const std::string& task,
                  LocalRun& run);
void EnterPhase(Context& context, LocalRun& run, RunPhase phase);
void RemoveRun(Context& context,
               const std::string& id,
               OwnedWorker& worker,
               const std::string& task);

// Called when the worker has shown that it has, or had, the run.
void ConfirmRun(Context& context,
                const std::string& id,
                const std::string& task,
                LocalRun& run);

// Sends the outcomes of offers, with the free room of each worker that refused.
void SendOfferAnswers(Context& context,
                      const std::string& to,
                      OfferAnswers answers);

// Sends the outcome of one offer to the job's owner `to`.
void AnswerOffer(Context& context,
                 const std::string& to,
                 const std::string& worker,
                 const std::string& task,
                 std::uint64_t run,
                 OfferOutcome outcome);
// Does so if the run's offer has no answer yet.
void AnswerPendingOffer(Context& context,
                        const std::string& id,
                        const std::string& task,
                        LocalRun& run,
                        OfferOutcome outcome);

// Stops the remaining runs of a job that has ended. When all instances lose
// power right after a cancel was acknowledged, no job owner is left to stop
// them, and their leases would be renewed indefinitely.
void StopRunsOfJob(Context& context, const std::string& job);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_RUNS_H_
