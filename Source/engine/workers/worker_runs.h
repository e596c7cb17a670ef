// Runs on own workers, and the orders that start and stop them.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_RUNS_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_RUNS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

void OnTaskStops(Context& context,
                 const std::string& from,
                 const TaskStops& stops);

// Answers to StartRun and StopRun.
void OnCommandReply(Context& context, const WorkerAnswered& event);

// Learns how long workers take to answer, from an answer that had not to wait
// for anything.
void RecordResponseTime(Context& context, const WorkerAnswered& event);

// Repeats orders without an answer, withdraws starts that take too long, moves
// runs away from a worker that leaves.
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

// The worker has the run, or had it.
void ConfirmRun(Context& context,
                const std::string& id,
                const std::string& task,
                LocalRun& run);

// Adds what room the workers have that refused.
void SendOfferAnswers(Context& context,
                      const std::string& to,
                      OfferAnswers answers);

void AnswerOffer(Context& context,
                 const std::string& to,
                 const std::string& worker,
                 const std::string& task,
                 std::uint64_t run,
                 OfferOutcome outcome);
void AnswerPendingOffer(Context& context,
                        const std::string& id,
                        const std::string& task,
                        LocalRun& run,
                        OfferOutcome outcome);

// The job has ended: what of it still runs here, nobody else stops. Without
// this the runs of a cancelled job would go on for ever, their leases renewed,
// when all instances lost power right after the cancel was acknowledged.
void StopRunsOfJob(Context& context, const std::string& job);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_RUNS_H_
