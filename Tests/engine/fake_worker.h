// A worker that starts whatever it is told, in virtual time, and notes what it
// did.
#ifndef BURDOCKROCK_TESTS_ENGINE_FAKE_WORKER_H_
#define BURDOCKROCK_TESTS_ENGINE_FAKE_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "engine/calls.h"
#include "engine/configuration.h"
#include "model/time.h"

namespace burdockrock::engine {

// One run, as an observer at the worker saw it.
struct SeenRun {
  std::string task{};
  std::uint64_t run = 0;
  std::string worker{};
  std::string payload{};
  std::string checkpoint{};
  Time began{0};
  Time ended = kForever;
  std::optional<RunEnd> how{};
  Time acknowledged = kForever;  // its end
};

// How long a run of the task takes and how it ends; nothing: for ever.
struct RunPlan {
  Duration takes = std::chrono::milliseconds(500);
  RunEnd how = RunEnd::kDone;
  bool endless = false;
};

class FakeWorker {
 public:
  FakeWorker(WorkerInfo info, std::vector<SeenRun>& seen);

  // Nothing when a hold waits for an end.
  std::optional<WorkerAnswer> Handle(Time now, const WorkerRequest& request);

  // Lets time pass: runs end, leases run out.
  void Advance(Time now);

  // What runs there, and what is started meanwhile, makes no progress.
  void Stall(Time now, Time until);

  // The process is gone and another one comes with an empty memory.
  void Crash(Time now, const std::string& new_id);

  const WorkerInfo& info() const { return info_; }
  WorkerInfo& info() { return info_; }

  std::function<RunPlan(const std::string& task, std::uint64_t run)> plan =
      [](const std::string&, std::uint64_t) { return RunPlan(); };
  // Asked instead, where it is set.
  std::function<RunPlan(const StartRun& order)> plan_start{};

  // What the worker lists of a run beside its progress.
  std::function<std::int64_t(const std::string& task)> figure =
      [](const std::string&) { return 0; };
  // The pace that was ordered last, in percent, by task.
  std::map<std::string, std::uint32_t> paces{};

  // Orders that a higher fence has barred.
  std::uint64_t refused_fences() const { return refused_fences_; }

  // Most processors that were in use at once.
  std::int64_t peak() const { return peak_; }
  // What one run of a task takes, for `peak`.
  std::function<std::int64_t(const std::string& task)> processors =
      [](const std::string&) { return 1000; };

 private:
  struct Run {
    std::uint64_t number = 0;
    std::size_t seen = 0;
    Time ends = kForever;
    Duration takes{0};
    RunEnd how = RunEnd::kDone;
    bool stopping = false;
  };

  std::uint32_t PercentOf(const Run& run, Time now) const;

  std::optional<WorkerAnswer> Answer(Time now, const HoldWorker& it);
  std::optional<WorkerAnswer> Answer(Time now, const StartRun& it);
  std::optional<WorkerAnswer> Answer(Time now, const StopRun& it);
  std::optional<WorkerAnswer> Answer(Time now, const PaceRun& it);
  bool IsFenced(std::uint64_t fence);
  void End(Time now, const std::string& task, RunEnd how);
  void Renew(Time now, std::int64_t until_ms);
  void NotePeak();

  WorkerInfo info_;
  std::vector<SeenRun>& seen_;
  std::uint64_t fence_ = 0;
  std::uint64_t refused_fences_ = 0;
  std::uint64_t last_end_ = 0;
  Time lease_ends_{0};
  Time stalled_until_{0};
  std::map<std::string, Run> runs_;
  std::map<std::string, std::uint64_t> last_run_;
  struct ListedEnd {
    EndedRow row{};
    std::size_t seen = 0;
    // The lease ran out before the end was acknowledged: a start elsewhere is
    // allowed then, whatever is acknowledged later.
    bool lapsed = false;
  };
  std::map<std::uint64_t, ListedEnd> ends_;
  std::int64_t peak_ = 0;
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_TESTS_ENGINE_FAKE_WORKER_H_
