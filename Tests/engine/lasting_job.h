// A lasting job that runs on all workers of a fleet.
#ifndef BURDOCKROCK_TESTS_ENGINE_LASTING_JOB_H_
#define BURDOCKROCK_TESTS_ENGINE_LASTING_JOB_H_

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

#include "engine/fleet.h"

namespace burdockrock::engine {

// One task more than five of a fleet's six workers have room for, so that each
// worker runs some of them.
inline constexpr std::uint32_t kLastingTasks = 41;

// Bound on the time until a lasting task runs again. The guarantee is 6 s after
// the end of its last run, counted after 7 s without faults; the lease of an
// unresponsive worker takes 7.9 s to expire.
inline constexpr Duration kRestartBound = std::chrono::seconds(9);

// A job of one step of `count` lasting tasks.
JobSpec Lasting(std::uint32_t count);

// The name of a job that the instance `heir` adopts if its owner is lost.
std::string JobAdoptedBy(const Fleet& fleet, const std::string& heir);

// Submits a job of lasting tasks to `owner` and adds two workers with free
// room. Returns the job's name, by which `heir` adopts it if its owner is lost.
std::string BeginLasting(Fleet& fleet,
                         const std::string& owner,
                         const std::string& heir);

// Tasks of the job that run, except at the worker `lost_worker`.
std::set<std::string> RunningTasks(const Fleet& fleet,
                                   const std::string& job,
                                   const std::string& lost_worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_TESTS_ENGINE_LASTING_JOB_H_
