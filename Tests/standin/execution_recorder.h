// Sees every attempt that runs on any worker model of one process, so that a
// test can tell whether a task ever ran in two places at the same moment.
#ifndef BURDOCKROCK_STANDIN_EXECUTION_RECORDER_H_
#define BURDOCKROCK_STANDIN_EXECUTION_RECORDER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "model/attempt.h"
#include "model/time.h"

namespace burdockrock::standin {

// Two attempts of one task that were live at the same moment.
struct DoubledExecution {
  AttemptId attempt;   // the one that started last
  std::string worker;  // where it started
  Time at{0};

  auto operator<=>(const DoubledExecution&) const = default;
};

class ExecutionRecorder {
 public:
  // `key` identifies the request or job that was executed; it is counted.
  // `must_be_unique` marks a key that may be executed only once.
  void Started(const std::string& worker,
               const AttemptId& attempt,
               std::string_view key,
               bool must_be_unique,
               Time now);
  void Ended(const AttemptId& attempt);

  std::uint64_t executions() const { return executions_; }
  std::uint64_t live() const { return live_count_; }
  std::uint64_t doubled() const { return doubled_; }

  // Executions beyond the first of keys marked as unique.
  std::uint64_t repeated_unique() const { return repeated_unique_; }

  // The first few of doubled().
  const std::vector<DoubledExecution>& doubles() const { return doubles_; }

  // How often `key` was executed. Keys beyond kMaxKeys are not counted.
  std::uint64_t ExecutionsOf(std::string_view key) const;

  static constexpr std::size_t kMaxKeys = 1'000'000;
  static constexpr std::size_t kMaxDoubles = 100;

 private:
  struct StringHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  std::unordered_map<AttemptId, std::uint32_t, AttemptIdHash> live_;
  std::unordered_map<std::string, std::uint64_t, StringHash, std::equal_to<>>
      by_key_;
  std::vector<DoubledExecution> doubles_;
  std::uint64_t executions_ = 0;
  std::uint64_t live_count_ = 0;
  std::uint64_t doubled_ = 0;
  std::uint64_t repeated_unique_ = 0;
};

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_EXECUTION_RECORDER_H_
