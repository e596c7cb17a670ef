#include "engine/jobs/job_model.h"

#include <array>
#include <charconv>

#include <fmt/format.h>

#include "net/json_read.h"

namespace burdockrock::engine {

namespace {

bool ParseNumber(std::string_view text, std::uint32_t& out) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, out);
  return error == std::errc() && stop == end && !text.empty();
}

std::optional<SpecFault> CheckAfter(const StepSpec& step, std::size_t number) {
  for (std::size_t it = 0; it < step.after.size(); ++it) {
    if (step.after[it] >= number) {
      return SpecFault{
          .path = fmt::format("steps[{}].after[{}]", number, it),
          .problem = fmt::format("{} is not an earlier step", step.after[it]),
          .allowed = number == 0 ? "none, it is the first"
                                 : fmt::format("0 to {}", number - 1)};
    }
  }
  return std::nullopt;
}

std::optional<SpecFault> CheckStep(const StepSpec& step, std::size_t number) {
  if (step.count == 0 || step.count > kMaxTasksPerStep) {
    return SpecFault{.path = fmt::format("steps[{}].count", number),
                     .problem = fmt::format("{} tasks", step.count),
                     .allowed = fmt::format("1 to {}", kMaxTasksPerStep)};
  }
  if (step.gang && step.concurrent) {
    return SpecFault{.path = fmt::format("steps[{}].concurrent", number),
                     .problem = "a gang's tasks can't have copies",
                     .allowed = "either a gang or copies"};
  }
  return CheckAfter(step, number);
}

}  // namespace

const char* RunEndName(RunEnd end) {
  static constexpr std::array<const char*, 7> kNames = {
      "done", "failed", "stopped", "lapsed", "broken", "alone", "crashed"};
  return kNames.at(static_cast<std::size_t>(end));
}

const char* JobStateName(JobState state) {
  static constexpr std::array<const char*, 5> kNames = {
      "queued", "running", "completed", "failed", "cancelled"};
  return kNames.at(static_cast<std::size_t>(state));
}

Resources RoomOf(const StepSpec& step) {
  Resources room = step.each;
  if (step.filling) {
    room.processors_milli = 0;
  }
  return room;
}

std::optional<SpecFault> CheckSpec(const JobSpec& spec) {
  if (spec.payload.size() > kMaxPayloadBytes) {
    return SpecFault{.path = "spec",
                     .problem = fmt::format("{} bytes", spec.payload.size()),
                     .allowed = fmt::format("0 to {} bytes", kMaxPayloadBytes)};
  }
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return SpecFault{.path = "steps",
                     .problem = fmt::format("{} steps", spec.steps.size()),
                     .allowed = fmt::format("1 to {}", kMaxSteps)};
  }
  const bool negative = spec.repetitions > 1 && spec.interval_ms < 0;
  if (negative || spec.interval_ms > kMaxIntervalMilliseconds) {
    return SpecFault{
        .path = "interval_ms",
        .problem = fmt::format("{}", spec.interval_ms),
        .allowed = fmt::format("0 to {}", kMaxIntervalMilliseconds)};
  }
  if (spec.first_due_ms > kMaxClockMilliseconds) {
    return SpecFault{.path = "first_due_ms",
                     .problem = fmt::format("{}", spec.first_due_ms),
                     .allowed = fmt::format("0 to {}", kMaxClockMilliseconds)};
  }
  for (std::size_t it = 0; it < spec.steps.size(); ++it) {
    if (auto fault = CheckStep(spec.steps[it], it)) {
      return fault;
    }
  }
  return std::nullopt;
}

std::string ToString(const TaskName& name) {
  return fmt::format("{}.{}.{}.{}", name.job, name.occurrence, name.step,
                     name.index);
}

std::string StepName(const TaskName& name) {
  return fmt::format("{}.{}.{}", name.job, name.occurrence, name.step);
}

std::optional<TaskName> ParseTaskName(std::string_view text) {
  std::array<std::uint32_t, 3> numbers{};
  for (std::size_t it = numbers.size(); it-- > 0;) {
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos ||
        !ParseNumber(text.substr(dot + 1), numbers[it])) {
      return std::nullopt;
    }
    text = text.substr(0, dot);
  }
  if (text.empty()) {
    return std::nullopt;
  }
  return TaskName{.job = std::string(text),
                  .occurrence = numbers[0],
                  .step = numbers[1],
                  .index = numbers[2]};
}

}  // namespace burdockrock::engine
