// What is open at this instance and since when, for operators.
#ifndef BURDOCKROCK_ENGINE_JOBS_OPEN_WORK_H_
#define BURDOCKROCK_ENGINE_JOBS_OPEN_WORK_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "engine/state.h"

namespace burdockrock::engine {

// Things of one kind, and for how long the oldest of them has been open.
struct OpenItems {
  std::size_t count = 0;
  Duration oldest{0};

  auto operator<=>(const OpenItems&) const = default;
};

struct OpenWork {
  OpenItems recoveries{};  // own jobs of which is not known yet what runs
  OpenItems claims{};      // workers that have not answered a claim
  // Runs of own jobs that were ordered to stop and are not known to have ended.
  OpenItems stops_of_jobs{};
  // Runs on own workers likewise.
  OpenItems stops_at_workers{};

  auto operator<=>(const OpenWork&) const = default;
};

OpenWork CountOpenWork(const State& state, Time now);

// A run that was offered and is not known to have ended.
struct OpenRun {
  TaskName task{};
  std::uint64_t run = 0;
  std::string worker{};
  bool stopping = false;
  Time stopping_since{0};
};

// Of all tasks and their copies.
std::vector<OpenRun> OpenRunsOf(const Job& job);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_OPEN_WORK_H_
