// Counts of unfinished work at this instance and its age, for operators.
#ifndef BURDOCKROCK_ENGINE_JOBS_OPEN_WORK_H_
#define BURDOCKROCK_ENGINE_JOBS_OPEN_WORK_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "engine/state.h"

namespace burdockrock::engine {

// Number of open items of one kind and the age of the oldest.
struct OpenItems {
  std::size_t count = 0;
  Duration oldest{0};

  auto operator<=>(const OpenItems&) const = default;
};

// The kinds of open work.
struct OpenWork {
  OpenItems recoveries{};  // own jobs whose runs are not all known yet
  OpenItems claims{};      // own workers that have not answered the claim
  // Runs of own jobs with a stop command that are not known to have ended.
  OpenItems stops_of_jobs{};
  // The same for runs on own workers.
  OpenItems stops_at_workers{};
  // Runs that have ended on own workers and whose ends are not listed yet.
  OpenItems unread_runs{};

  auto operator<=>(const OpenWork&) const = default;
};

// Counts at time `now`.
OpenWork CountOpenWork(const State& state, Time now);

// A run that was offered and is not known to have ended.
struct OpenRun {
  TaskName task{};
  std::uint64_t run = 0;
  std::string worker{};
  bool stopping = false;
  Time stopping_since{0};
};

// The open runs of all tasks and their copies.
std::vector<OpenRun> OpenRunsOf(const Job& job);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_OPEN_WORK_H_
