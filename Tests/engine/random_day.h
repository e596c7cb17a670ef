// A day of short, batch and lasting jobs on a fleet under random faults, half
// of them with the loss of all instances at the end.
#ifndef BURDOCKROCK_TESTS_ENGINE_RANDOM_DAY_H_
#define BURDOCKROCK_TESTS_ENGINE_RANDOM_DAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "engine/fleet.h"

namespace burdockrock::engine {

enum class JobKind { kShort, kBatch, kLasting };

// By the first letter of the job's name, or of a task's or step's.
JobKind KindOfJob(std::string_view name);

struct RandomJob {
  std::uint64_t call = 0;  // its submission
  JobSpec spec{};
  std::string team{};      // empty: the day has none
  bool cancelled = false;  // a cancel was sent

  // Of each task, in thousandths.
  std::int64_t processors_milli() const {
    return spec.steps[0].each.processors_milli;
  }
};

struct RandomDayOptions {
  std::uint64_t seed = 1;
  std::size_t instances = 0;   // 0: drawn
  bool copies = true;          // on half of the days
  bool crashes = true;         // some runs crash their workers
  bool teams = false;          // instances announce all features
  std::int64_t cap_milli = 0;  // processors of each of three teams; 0: none
  // So many batches of one to three tasks are submitted at the end of the
  // traffic. Calls for advice for all of them take the service seconds.
  std::size_t last_batches = 0;
  // Answers to watches come late at times, and messages between instances that
  // a cut holds up arrive after it.
  bool late = false;
};

class RandomDay {
 public:
  static constexpr std::size_t kWorkers = 40;
  static constexpr std::int64_t kCapacity = 16'000;  // of each, in thousandths

  explicit RandomDay(RandomDayOptions options);

  // Plays the day until the last fault has ended.
  void Play();

  // For tests that choose the traffic and the faults themselves.

  // Configures the queues and waits until the fleet has settled.
  void SetUp();
  // Submits a job of a random size at a random instance, if that takes calls.
  void SubmitJob(JobKind kind) {
    SubmitJob(kind, 2, kind == JobKind::kShort ? 14 : 20);
  }
  bool Chance(int percent);
  Duration Span(int least_ms, int most_ms);
  void CrashWorkers(int count, Duration away);
  // Kills each instance with this chance. They are back after a random time.
  void KillSome(int percent, int least_ms, int most_ms);
  // No instance reaches the store.
  void CutStore(StoreFault fault, Duration span);

  Fleet& fleet() { return fleet_; }
  const std::map<std::string, RandomJob>& jobs() const { return jobs_; }
  // Whether tasks may have copies, which run at the same time.
  bool copies() const { return copies_; }
  // Of each team, in thousandths; 0: jobs have no team.
  std::int64_t cap_milli() const { return cap_milli_; }

 private:
  void SubmitJob(JobKind kind, int least_tasks, int most_tasks);
  int Pick(int least, int most);
  std::string AnyNode();
  std::string AnyWorker();
  RunPlan PlanOf(const std::string& worker, const std::string& task);
  void SetFaults();
  // Each instance's watches are late for a span of a few seconds each.
  void PlanLateWatches(std::uint64_t seed);
  bool IsApart(const std::string& one, const std::string& other) const;
  void SubmitSome();
  void CancelSome();
  // Two to five faults at random times, and half of the days a cut of a domain
  // that ends shortly before the traffic.
  void PlanFaults();
  void For(Duration span, std::function<void()> undo);
  void CutDomain(Duration span);
  // The entries of workers that can't reach the store lapse, and are back
  // within about 2 s of the end.
  void Unlist(const std::vector<std::string>& workers, Duration span);
  void List(const std::string& worker);
  void Restart(const std::string& node, Duration away);
  void StartIfDown(const std::string& node);
  void Fault();
  void StopAndStart(const std::string& node);
  void Crash(const std::string& worker, Duration away);
  // Half of the days end with the loss of all instances.
  void Close();
  void EndFaults();

  std::mt19937_64 random_;
  bool copies_;
  bool crashes_;
  std::int64_t cap_milli_;
  std::size_t last_batches_;
  int instances_;
  Fleet fleet_;
  std::map<std::string, RandomJob> jobs_;
  std::map<std::string, int> crashing_;  // runs still to crash, by task
  int cut_domain_ = -1;
  std::set<std::string> cut_nodes_;
  std::map<std::string, StoreFault> store_faults_;
  bool store_loses_ = false;
  std::set<std::string> dark_;  // workers that can't be reached
  std::set<std::string> failing_;
  std::set<std::string> unhealthy_;
  std::set<std::string> away_;
  bool late_ = false;
  std::set<std::string> late_watches_;
  std::vector<std::function<void()>> undo_;
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_TESTS_ENGINE_RANDOM_DAY_H_
