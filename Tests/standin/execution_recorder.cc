#include "standin/execution_recorder.h"

namespace burdockrock::standin {

namespace {

AttemptId TaskOf(const AttemptId& attempt) {
  return AttemptId{.job = attempt.job, .task = attempt.task, .number = 0};
}

}  // namespace

void ExecutionRecorder::Started(const std::string& worker,
                                const AttemptId& attempt,
                                std::string_view key,
                                bool must_be_unique,
                                Time now) {
  ++executions_;
  ++live_count_;
  if (++live_[TaskOf(attempt)] > 1) {
    ++doubled_;
    if (doubles_.size() < kMaxDoubles) {
      doubles_.push_back({.attempt = attempt, .worker = worker, .at = now});
    }
  }
  auto it = by_key_.find(key);
  if (it == by_key_.end()) {
    if (by_key_.size() >= kMaxKeys) {
      return;
    }
    it = by_key_.emplace(key, 0).first;
  }
  if (++it->second > 1 && must_be_unique) {
    ++repeated_unique_;
  }
}

void ExecutionRecorder::Ended(const AttemptId& attempt) {
  const auto it = live_.find(TaskOf(attempt));
  if (it == live_.end()) {
    return;
  }
  --live_count_;
  if (--it->second == 0) {
    live_.erase(it);
  }
}

std::uint64_t ExecutionRecorder::ExecutionsOf(std::string_view key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? 0 : it->second;
}

}  // namespace burdockrock::standin
