// Runs on own workers: offers taken, orders given, listings read.
#ifndef BURDOCKROCK_ENGINE_WORKER_RUNS_H_
#define BURDOCKROCK_ENGINE_WORKER_RUNS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

void OnTaskOffer(Context& context,
                 const std::string& from,
                 const TaskOffer& offer);
void OnTaskStops(Context& context,
                 const std::string& from,
                 const TaskStops& stops);
void OnRunQueries(Context& context,
                  const std::string& from,
                  const RunQueries& queries);
void OnAdoptQuery(Context& context,
                  const std::string& from,
                  const AdoptQuery& query);

// Answers to StartRun, StopRun and PaceRun.
void OnOrderAnswer(Context& context, const WorkerAnswered& event);

// What a worker listed in answer to a hold that was asked at `asked`.
void ApplyListing(Context& context,
                  const std::string& id,
                  OwnedWorker& worker,
                  const WorkerDone& listing,
                  Time asked);

// Repeats orders without an answer, withdraws starts that take too long, moves
// runs away from a worker that leaves.
void DriveRuns(Context& context, const std::string& id, OwnedWorker& worker);

void AnswerOffer(Context& context,
                 const std::string& to,
                 const std::string& worker,
                 const std::string& task,
                 std::uint64_t run,
                 OfferOutcome outcome);

// The spec of a run that was found at a claimed worker is known now.
void DescribeRuns(Context& context,
                  const std::string& job,
                  const JobSpec& spec);

// The job has ended: what of it still runs here, nobody else stops. Without
// this the runs of a cancelled job would go on for ever, their leases renewed,
// when all instances lost power right after the cancel was acknowledged.
void StopRunsOf(Context& context, const std::string& job);

// Tells a job's owner what has become of a run, at once or as soon as it is
// certain; nothing when this instance can't know.
void ReportRun(Context& context, const std::string& to, const RunQuery& query);

// The worker is surely owned now: questions that came before are answered.
void AnswerQuestions(Context& context,
                     const std::string& id,
                     OwnedWorker& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKER_RUNS_H_
