// Whether the tasks of a submitted job can fit on any worker.
#ifndef BURDOCKROCK_ENGINE_JOBS_SIZE_CHECK_H_
#define BURDOCKROCK_ENGINE_JOBS_SIZE_CHECK_H_

#include <optional>
#include <string>

#include "engine/jobs/job_model.h"

namespace burdockrock::engine {

struct State;

// Finds a task that fits on no worker of the service, even an empty one.
std::optional<SpecFault> CheckSizes(const State& state,
                                    const JobSpec& spec,
                                    const std::string& service);

// The first gang that can never start because it is larger than its team's cap.
std::optional<SpecFault> CheckGangs(const JobSpec& spec, const Resources& cap);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_SIZE_CHECK_H_
