// Jobs of steps: what callers hand in and what their tasks are called.
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
  kFailed,   // by its own fault or the worker's
  kStopped,  // on an order
  kLapsed,   // the worker's lease ran out
  kBroken,   // another member of its gang ended
  kAlone,    // the other members of its gang did not come
};

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

const char* RunEndName(RunEnd end);
const char* JobStateName(JobState state);

// True for states that never change again.
constexpr bool IsFinal(JobState state) {
  return state != JobState::kQueued && state != JobState::kRunning;
}

// A group of like tasks of a job.
struct StepSpec {
  std::uint32_t count = 1;             // tasks
  Resources each{};                    // what one task takes
  Duration estimate{0};                // rough run time of one task
  std::vector<std::uint32_t> after{};  // earlier steps that must be done first
  bool checkpointing = false;
  bool gang = false;           // all tasks run together or none
  bool same_rack = false;      // slower when its tasks are on several racks
  std::string label{};         // a label the worker must have; empty: none
  std::string rack{};          // where its data is; empty: anywhere
  std::uint32_t spread = 0;    // most tasks of it on one worker; 0: no limit
  bool concurrent = false;     // copies may run at once
  bool lasting = false;        // runs until the job is cancelled
  bool filling = false;        // takes only processors that others leave unused
  std::string image{};         // what its tasks run
  Duration tail_target{0};     // bound on its response times; 0: none
  std::uint32_t may_miss = 0;  // tasks that may be away at once

  auto operator<=>(const StepSpec&) const = default;
};

struct JobSpec {
  std::string payload{};
  std::vector<StepSpec> steps{};
  std::uint32_t repetitions = 0;  // 0: once, at once
  std::int64_t first_due_ms = 0;  // wall time since 1970
  std::int64_t interval_ms = 0;

  auto operator<=>(const JobSpec&) const = default;

  std::uint32_t occurrences() const {
    return repetitions == 0 ? 1 : repetitions;
  }
};

// Room that one task of the step takes of its worker. Filling tasks take no
// processors of it.
Resources RoomOf(const StepSpec& step);

struct SpecFault {
  std::string path{};  // "steps[2].after[0]"
  std::string problem{};
  std::string allowed{};

  auto operator<=>(const SpecFault&) const = default;
};

// Bounds on one job, so that one caller's mistake can't exhaust an entry
// instance's memory. Far above what the sites' jobs need (52 tasks a step).
inline constexpr std::uint32_t kMaxSteps = 64;
inline constexpr std::uint32_t kMaxTasksPerStep = 4096;
inline constexpr std::size_t kMaxPayloadBytes = 4000;

// The first fault of a job that could never run or would not end.
std::optional<SpecFault> CheckSpec(const JobSpec& spec);

// One task of one occurrence of a job.
struct TaskName {
  std::string job{};
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskName&) const = default;
};

// "JOB.OCCURRENCE.STEP.INDEX"
std::string ToString(const TaskName& name);
std::optional<TaskName> ParseTaskName(std::string_view text);

// "JOB.OCCURRENCE.STEP"
std::string StepName(const TaskName& name);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_JOB_MODEL_H_
