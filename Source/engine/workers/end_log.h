// Combines the ends of runs into few log lines.
#ifndef BURDOCKROCK_ENGINE_WORKERS_END_LOG_H_
#define BURDOCKROCK_ENGINE_WORKERS_END_LOG_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "engine/calls.h"
#include "engine/jobs/job_model.h"
#include "model/time.h"
#include "observe/log_format.h"

namespace burdockrock::engine {

// A run whose end a worker has listed.
struct LoggedEnd {
  TaskName task{};
  std::uint64_t run = 0;
  std::string worker{};
  RunEnd how = RunEnd::kDone;
  std::optional<Duration> took{};  // nothing: the run was not known here
  Duration estimate{0};
};

// Combines ends of runs into few lines. With a line for each they would make up
// most of the log.
class EndLog {
 public:
  void Add(Time now, const LoggedEnd& end);

  // Returns the lines of runs that did not end `done`, one for each step,
  // worker and kind of end. Called after each listing, so that they carry its
  // time.
  std::vector<LogLine> TakeOthers();

  // Returns the lines of runs that ended `done` once the oldest of them is
  // kDelay old, or at once with `all`.
  std::vector<LogLine> TakeDone(Time now, bool all);

  // A process that is killed loses the ends of at most this time.
  static constexpr Duration kDelay = std::chrono::milliseconds(500);

 private:
  struct Key {
    std::string step{};  // "JOB.OCCURRENCE.STEP"
    std::string worker{};
    RunEnd how = RunEnd::kDone;

    auto operator<=>(const Key&) const = default;
  };
  struct Ends {
    std::vector<std::pair<std::uint32_t, std::uint64_t>> runs{};  // by index
    std::optional<Duration> longest{};
    Duration estimate{0};
  };
  using Groups = std::map<Key, Ends>;

  // "0,2-5,7r3": the indices of the tasks, with the number of the run where it
  // is not the first. In several parts where one value can't hold them.
  static std::vector<std::string> ListRuns(const Ends& ends);

  Groups done_{};
  Time done_since_ = kForever;
  Groups others_{};
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_END_LOG_H_
