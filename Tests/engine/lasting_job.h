// A lasting job at work on all workers of a fleet, and which of its tasks are.
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

// A lasting task is to be at work again 6 s after its last run ended, counted
// after 7 calm seconds; the lease of a silent worker takes 7.9 s to run out.
inline constexpr Duration kBackAtWork = std::chrono::seconds(9);

JobSpec Lasting(std::uint32_t count);

// The name of a job that `heir` adopts when its owner is gone.
std::string JobFor(const Fleet& fleet, const std::string& heir);

// Submits a job of lasting tasks to `owner` and adds two workers with room
// more. Returns its name, by which `heir` adopts it when its owner is gone.
std::string BeginLasting(Fleet& fleet,
                         const std::string& owner,
                         const std::string& heir);

// Tasks of the job that run, but at the worker that is dead.
std::set<std::string> AtWork(const Fleet& fleet,
                             const std::string& job,
                             const std::string& dead);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_TESTS_ENGINE_LASTING_JOB_H_
