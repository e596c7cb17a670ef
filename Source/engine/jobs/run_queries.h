// Questions of the owners of jobs about runs on own workers.
#ifndef BURDOCKROCK_ENGINE_JOBS_RUN_QUERIES_H_
#define BURDOCKROCK_ENGINE_JOBS_RUN_QUERIES_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

void OnRunQueries(Context& context,
                  const std::string& from,
                  const RunQueries& queries);
void OnAdoptQuery(Context& context,
                  const std::string& from,
                  const AdoptQuery& query);

// Tells a job's owner what has become of a run, at once or as soon as it is
// certain; nothing when this instance can't know.
void ReportRun(Context& context, const std::string& to, const RunQuery& query);

// The worker is surely owned now: questions that came before are answered.
void AnswerRunQueries(Context& context,
                      const std::string& id,
                      OwnedWorker& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_RUN_QUERIES_H_
