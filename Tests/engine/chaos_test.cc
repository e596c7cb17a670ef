// Random faults with fixed seeds. In every sequence of faults, no task has two
// runs at the same time, none runs again after its end was acknowledged, no
// worker is given more than its capacity, each acknowledged job completes in
// the end, lasting tasks run again, and no run of a cancelled job continues.
#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <random>

#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 60;
constexpr std::uint64_t kCancelSeeds = 100;
constexpr int kRounds = 25;

class Chaos {
 public:
  explicit Chaos(std::uint64_t seed)
      : random_(seed), fleet_({.instances = 4, .workers = 6, .seed = seed}) {}

  void Run() {
    PlanRuns();
    fleet_.Settle();
    SetFaults();
    for (int it = 0; it < kRounds; ++it) {
      SubmitSome(it);
      InjectFault();
      fleet_.Run(milliseconds(Pick(100, 900)));
    }
    ClearFaults();
    fleet_.Run(seconds(40));
    CheckAll();
  }

  // With lasting jobs, cancels, and single lost commands and messages.
  void RunWithCancels() {
    PlanRuns();
    fleet_.Settle();
    SetFaults();
    AddLosses();
    for (int it = 0; it < kRounds; ++it) {
      SubmitSome(it);
      SubmitLasting(it);
      CancelSome();
      fleet_.late_delay = milliseconds(
          std::uniform_int_distribution<int>(500, 9000)(delay_random_));
      InjectFault();
      fleet_.Run(milliseconds(Pick(100, 900)));
    }
    ClearFaults();
    fleet_.faults_ended_at = fleet_.now();
    fleet_.Run(seconds(40));
    CheckLasting();
    CancelLasting();
    fleet_.Run(seconds(10));
    CheckAll();
  }

 private:
  int Pick(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }

  std::string AnyNode() { return "n" + std::to_string(Pick(0, 3)); }

  void PlanRuns() {
    for (const std::string& it : fleet_.worker_names()) {
      fleet_.worker(it).plan = [this](const std::string&, std::uint64_t) {
        const bool fails = Pick(0, 19) == 0;
        return RunPlan{.takes = milliseconds(Pick(50, 2500)),
                       .how = fails ? RunEnd::kStopped : RunEnd::kDone};
      };
    }
  }

  void SetFaults() {
    fleet_.store_fault = [this](const std::string& node, const StoreRequest&) {
      if (store_fault_at_ == node || store_fault_at_ == "all") {
        return store_unresponsive_ ? StoreFault::kNoReply : StoreFault::kRefuse;
      }
      return store_replies_lost_ && Pick(0, 3) == 0 ? StoreFault::kLoseAnswer
                                                    : StoreFault::kNone;
    };
    fleet_.command_fault = [this](const std::string&, const std::string& worker,
                                  const WorkerRequest&) {
      if (worker == unreachable_worker_) {
        return CommandFault::kUnreached;
      }
      if (commands_faulty_ && Pick(0, 9) == 0) {
        return CommandFault::kLate;
      }
      return commands_faulty_ && Pick(0, 9) == 0 ? CommandFault::kLoseAnswer
                                                 : CommandFault::kNone;
    };
    fleet_.is_cut = [this](const std::string& from, const std::string& to) {
      return from == unreachable_node_ || to == unreachable_node_;
    };
  }

  void AddLosses() {
    for (const std::string& it : fleet_.worker_names()) {
      fleet_.worker(it).plan = [this](const std::string& task, std::uint64_t) {
        const int chance = Pick(0, 19);
        const bool lasts = task.starts_with(kLasting);
        const RunEnd broken = lasts ? RunEnd::kFailed : RunEnd::kStopped;
        return RunPlan{.takes = milliseconds(Pick(50, 2500)),
                       .how = chance == 0 ? broken : RunEnd::kDone,
                       .endless = lasts && chance != 0};
      };
    }
    fleet_.command_fault = [this, commands = fleet_.command_fault](
                               const std::string& node,
                               const std::string& worker,
                               const WorkerRequest& request) {
      const bool start = std::holds_alternative<StartRun>(request);
      return commands_faulty_ && start && Pick(0, 4) == 0
                 ? CommandFault::kUnhealthy
                 : commands(node, worker, request);
    };
    fleet_.is_cut = [this, cut = fleet_.is_cut](const std::string& from,
                                                const std::string& to) {
      return (commands_faulty_ && Pick(0, 9) == 0) || cut(from, to);
    };
  }

  void SubmitLasting(int round) {
    const std::string node = AnyNode();
    if (Pick(0, 2) != 0 || !fleet_.IsUp(node)) {
      return;
    }
    const std::string job = kLasting + std::to_string(round);
    lasting_[job] = static_cast<std::uint32_t>(Pick(1, 3));
    JobSpec spec = OneStep(lasting_[job]);
    spec.steps.front().lasting = true;
    lasting_calls_[job] = fleet_.Submit(node, job, spec);
  }

  void CancelSome() {
    const std::string node = AnyNode();
    const bool lasts = Pick(0, 1) == 0;
    const auto& calls = lasts ? lasting_calls_ : calls_;
    if (calls.empty() || !fleet_.IsUp(node)) {
      return;
    }
    const auto it =
        std::next(calls.begin(), Pick(0, static_cast<int>(calls.size()) - 1));
    const std::string job = it->first;
    cancel_requested_.insert(job);
    fleet_.Cancel(node, job);
  }

  bool IsAccepted(std::uint64_t call) const {
    const auto answer = fleet_.answers.find(call);
    return answer != fleet_.answers.end() &&
           std::holds_alternative<JobAccepted>(answer->second);
  }

  std::size_t CountRunning(const std::string& job) const {
    return static_cast<std::size_t>(std::count_if(
        fleet_.seen.begin(), fleet_.seen.end(), [&](const SeenRun& it) {
          return it.task.starts_with(job + ".") && it.ended == kForever;
        }));
  }

  // All tasks of the lasting jobs run, except those whose cancel was requested.
  // Called 40 s after the last fault.
  void CheckLasting() {
    for (const std::string& it : fleet_.worker_names()) {
      fleet_.worker(it).Advance(
          fleet_.now());  // also workers that get no more calls
    }
    for (const auto& it : lasting_calls_) {
      const std::string& job = it.first;
      if (!IsAccepted(it.second) || cancel_requested_.contains(job)) {
        continue;
      }
      // A task may have failed immediately before.
      fleet_.RunUntil([&] { return CountRunning(job) == lasting_[job]; },
                      seconds(6));
      INFO("job " << job);
      CHECK(CountRunning(job) == lasting_[job]);
    }
  }

  void CancelLasting() {
    for (const auto& it : lasting_calls_) {
      const std::string& job = it.first;
      if (IsAccepted(it.second)) {
        const std::uint64_t cancel = fleet_.Cancel("n0", job);
        INFO("job " << job);
        CHECK(fleet_.RunUntil([&] { return fleet_.answers.contains(cancel); },
                              seconds(3)));
        CHECK(fleet_.cancelled.contains(job));
      }
    }
  }

  void SubmitSome(int round) {
    const std::string job = "j" + std::to_string(round);
    const std::string node = AnyNode();
    if (fleet_.IsUp(node)) {
      calls_[job] =
          fleet_.Submit(node, job,
                        Chain(static_cast<std::uint32_t>(Pick(1, 3)),
                              static_cast<std::uint32_t>(Pick(1, 6))));
    }
  }

  void InjectFault() {
    switch (Pick(0, 11)) {
      case 0:
        if (const std::string node = AnyNode(); fleet_.IsUp(node)) {
          fleet_.Kill(node);
        }
        break;
      case 1:
      case 2:
        for (const std::string& it : fleet_.nodes()) {
          if (!fleet_.IsUp(it)) {
            fleet_.Start(it);
          }
        }
        break;
      case 3:
        store_fault_at_ = Pick(0, 2) == 0 ? "all" : AnyNode();
        store_unresponsive_ = Pick(0, 1) == 0;
        break;
      case 4:
        store_fault_at_.clear();
        break;
      case 5:
        store_replies_lost_ = !store_replies_lost_;
        break;
      case 6:
        commands_faulty_ = !commands_faulty_;
        break;
      case 7:
        unreachable_worker_ = "w" + std::to_string(Pick(0, 5));
        break;
      case 8:
        unreachable_worker_.clear();
        unreachable_node_.clear();
        break;
      case 9:
        unreachable_node_ = AnyNode();
        break;
      case 10:
        fleet_.store.Revoke("member/n" + std::to_string(Pick(0, 3)));
        break;
      default:
        if (const std::string node = AnyNode(); fleet_.IsUp(node)) {
          fleet_.Freeze(node, milliseconds(Pick(500, 4500)));
        }
        break;
    }
  }

  void ClearFaults() {
    store_fault_at_.clear();
    unreachable_worker_.clear();
    unreachable_node_.clear();
    store_replies_lost_ = false;
    commands_faulty_ = false;
    for (const std::string& it : fleet_.nodes()) {
      if (!fleet_.IsUp(it)) {
        fleet_.Start(it);
      }
    }
  }

  void CheckAll() {
    CheckInvariants(fleet_);
    for (const auto& it : calls_) {
      const std::string& job = it.first;
      const auto answer = fleet_.answers.find(it.second);
      const bool accepted = answer != fleet_.answers.end() &&
                            std::holds_alternative<JobAccepted>(answer->second);
      const bool refused = answer != fleet_.answers.end() &&
                           std::holds_alternative<Unavailable>(answer->second);
      INFO("job " << job);
      if (accepted && cancel_requested_.contains(job)) {
        CheckCancelled(job);
      } else if (accepted) {
        CHECK(fleet_.StateOf("n0", job) == JobState::kCompleted);
      }
      if (refused) {
        CHECK(CountRuns(fleet_, job) == 0);
      }
    }
  }

  void CheckCancelled(const std::string& job) {
    const auto state = fleet_.StateOf("n0", job);
    if (fleet_.cancelled.contains(job)) {
      CHECK(state == JobState::kCancelled);
    } else {
      const bool ended =
          state == JobState::kCancelled || state == JobState::kCompleted;
      CHECK(ended);
    }
  }

  static constexpr const char* kLasting = "l";

  std::mt19937_64 random_;
  std::mt19937_64 delay_random_{random_};
  Fleet fleet_;
  std::map<std::string, std::uint32_t> lasting_;  // tasks, by job
  std::map<std::string, std::uint64_t> lasting_calls_;
  std::set<std::string> cancel_requested_;
  std::map<std::string, std::uint64_t> calls_;
  std::string store_fault_at_;
  std::string unreachable_worker_;
  std::string unreachable_node_;
  bool store_unresponsive_ = false;
  bool store_replies_lost_ = false;
  bool commands_faulty_ = false;
};

TEST_CASE("The guarantees hold under random faults") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    Chaos(seed).Run();
  }
}

// For manual runs, CHAOS_SEED sets the first seed and CHAOS_SEEDS their number.
TEST_CASE("The guarantees hold under random faults and cancels") {
  const char* chosen = std::getenv("CHAOS_SEED");
  const std::uint64_t first = chosen == nullptr ? 1 : std::stoull(chosen);
  const char* many = std::getenv("CHAOS_SEEDS");
  const std::uint64_t n = many == nullptr ? kCancelSeeds : std::stoull(many);
  for (std::uint64_t seed = first; seed < first + n; ++seed) {
    INFO("seed " << seed);
    Chaos(seed).RunWithCancels();
  }
}

}  // namespace

}  // namespace burdockrock::engine
