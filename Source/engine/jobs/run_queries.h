// Answers queries of job owners about runs at this instance's workers.
#ifndef BURDOCKROCK_ENGINE_JOBS_RUN_QUERIES_H_
#define BURDOCKROCK_ENGINE_JOBS_RUN_QUERIES_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Adds the unlisted workers that the sender reports, and handles each query as
// ReportRun does.
void OnRunQueries(Context& context,
                  const std::string& from,
                  const RunQueries& queries);

// Reports all runs and ends of the adopted jobs at this instance's workers, and
// the workers that the report covers.
void OnAdoptQuery(Context& context,
                  const std::string& from,
                  const AdoptQuery& query);

// Reports the state of a run to the job's owner, at once or as soon as it is
// certain; sends nothing if this instance can't know it.
void ReportRun(Context& context, const std::string& to, const RunQuery& query);

// The ownership of the worker was proven: answers the queries that arrived
// before the proof.
void AnswerRunQueries(Context& context,
                      const std::string& id,
                      OwnedWorker& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_RUN_QUERIES_H_
