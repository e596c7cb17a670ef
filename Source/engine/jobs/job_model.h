// Jobs of steps: the specification that callers submit, its limits, and the
// names of tasks.
#ifndef BURDOCKROCK_ENGINE_JOBS_JOB_MODEL_H_
#define BURDOCKROCK_ENGINE_JOBS_JOB_MODEL_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/resources.h"
#include "model/time.h"

namespace burdockrock::engine {

// How one run of a task ended at its worker.
enum class RunEnd {
  kDone,
  kFailed,   // because of the task or of the worker
  kStopped,  // by a stop command
  kLapsed,   // the worker's lease expired
  kBroken,   // another member of its gang ended
  kAlone,    // the other members of its gang did not start in time
  kCrashed,  // the worker's process ended; reported by the worker's owner
};

// Progress of a job as callers see it.
enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

// The names on the wire.
const char* RunEndName(RunEnd end);
const char* JobStateName(JobState state);

// True for states that never change.
constexpr bool IsFinal(JobState state) {
  return state != JobState::kQueued && state != JobState::kRunning;
}

// A group of identical tasks of a job.
struct StepSpec {
  std::uint32_t count = 1;             // tasks
  Resources each{};                    // resources of one task
  Duration estimate{0};                // rough run time of one task
  std::vector<std::uint32_t> after{};  // earlier steps that must be done first
  bool checkpointing = false;
  bool gang = false;           // all tasks run together or none
  bool same_rack = false;      // slower when its tasks are on several racks
  std::string label{};         // a label that the worker must have; empty: none
  std::string rack{};          // the rack that holds its data; empty: any
  std::uint32_t spread = 0;    // most of its tasks on one worker; 0: no limit
  bool concurrent = false;     // copies of a task may run concurrently
  bool lasting = false;        // runs until the job is cancelled
  bool filling = false;        // uses only processors that others leave idle
  std::string image{};         // container image of its tasks
  Duration tail_target{0};     // bound on its response times; 0: none
  std::uint32_t may_miss = 0;  // tasks that may be down at once

  auto operator<=>(const StepSpec&) const = default;
};

// A job as submitted.
struct JobSpec {
  std::string payload{};  // passed to each task
  std::vector<StepSpec> steps{};
  std::uint32_t repetitions = 0;  // 0: once, immediately
  std::int64_t first_due_ms = 0;  // wall time since 1970
  std::int64_t interval_ms = 0;   // between two occurrences

  auto operator<=>(const JobSpec&) const = default;

  std::uint32_t occurrences() const {
    return repetitions == 0 ? 1 : repetitions;
  }
};

// Resources that one task of the step reserves at its worker. Filling tasks
// reserve no processors.
Resources RoomOf(const StepSpec& step);

// Why a specification is invalid: the field, what is wrong and what is allowed.
struct SpecFault {
  std::string path{};  // "steps[2].after[0]"
  std::string problem{};
  std::string allowed{};

  auto operator<=>(const SpecFault&) const = default;
};

// Limits of one job, so that one caller's mistake can't exhaust an entry
// instance's memory. Far above what jobs of the sites need (52 tasks per step).
inline constexpr std::uint32_t kMaxSteps = 64;
// Between two occurrences of a repeated job; about 31 years.
inline constexpr std::int64_t kMaxIntervalMilliseconds = 1'000'000'000'000;
inline constexpr std::uint32_t kMaxTasksPerStep = 4096;
inline constexpr std::size_t kMaxPayloadBytes = 4000;

// The first fault of a job that could never run or would never end.
std::optional<SpecFault> CheckSpec(const JobSpec& spec);

// One task of one occurrence of a job.
struct TaskName {
  std::string job{};
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskName&) const = default;
};

// "JOB.OCCURRENCE.STEP.INDEX", the name on the wire.
std::string ToString(const TaskName& name);
// nullopt if the text is not such a name.
std::optional<TaskName> ParseTaskName(std::string_view text);

// "JOB.OCCURRENCE.STEP", the name of the task's step.
std::string StepName(const TaskName& name);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_JOB_MODEL_H_
