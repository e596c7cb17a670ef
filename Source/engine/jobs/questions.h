// Callers' requests: submissions, states, cancels, lengths of queues.
#ifndef BURDOCKROCK_ENGINE_JOBS_QUESTIONS_H_
#define BURDOCKROCK_ENGINE_JOBS_QUESTIONS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "engine/context.h"

namespace burdockrock::engine {

void OnCallerAsked(Context& context, const CallerRequestReceived& asked);
void OnJobQuery(Context& context,
                const std::string& from,
                const JobQuery& query);
void OnJobReply(Context& context, const JobReply& reply);

// The store has told of the job: those who wait for it can go on.
void OnRecordKnown(Context& context, const std::string& job);

// Gives up and asks again, as due.
void DriveCallers(Context& context);

void AnswerCancel(Context& context, const Asker& canceller, JobState state);

// Tells the job's state to those who wait for news of it: all, or those whose
// patience is over.
void AnswerWatchers(Context& context, Job& job, bool all);

// The job is another instance's now: whoever waits for its cancel asks there.
void RouteCancellers(Context& context,
                     const std::string& job,
                     const std::vector<Asker>& cancellers);

// This instance owns its jobs no longer: who waits for a cancel asks whoever
// adopts the job, and who waits for news of one is told what is known.
void HandOverAskers(Context& context);

// Callers' requests, and members' for callers of theirs, without an answer.
struct OpenRequests {
  std::size_t questions = 0;  // whose job is another member's, or not known
  std::size_t submissions = 0;
  std::size_t cancels = 0;
  std::size_t states = 0;

  auto operator<=>(const OpenRequests&) const = default;
};

OpenRequests CountOpenRequests(const State& state);

// Jobs of the queue that were accepted here and have not begun.
std::uint32_t CountWaiting(const State& state, const std::string& queue);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_QUESTIONS_H_
