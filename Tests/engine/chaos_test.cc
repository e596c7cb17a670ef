// Random faults in random order, with fixed seeds: whatever happens, no task
// runs twice at once, none runs again after its end was acknowledged, no worker
// gets more than it has, and each acknowledged job completes in the end.
#include <random>

#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 60;
constexpr int kRounds = 25;

class Chaos {
 public:
  explicit Chaos(std::uint64_t seed)
      : random_(seed), fleet_({.instances = 4, .workers = 6, .seed = seed}) {}

  void Play() {
    PlanRuns();
    fleet_.Settle();
    SetFaults();
    for (int it = 0; it < kRounds; ++it) {
      SubmitSome(it);
      Strike();
      fleet_.Run(milliseconds(Pick(100, 900)));
    }
    Heal();
    fleet_.Run(seconds(40));
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
      if (store_away_ == node || store_away_ == "all") {
        return silent_ ? StoreFault::kSilent : StoreFault::kRefuse;
      }
      return lossy_ && Pick(0, 3) == 0 ? StoreFault::kLoseAnswer
                                       : StoreFault::kNone;
    };
    fleet_.order_fault = [this](const std::string&, const std::string& worker,
                                const WorkerRequest&) {
      if (worker == cut_worker_) {
        return OrderFault::kUnreached;
      }
      if (late_ && Pick(0, 9) == 0) {
        return OrderFault::kLate;
      }
      return late_ && Pick(0, 9) == 0 ? OrderFault::kLoseAnswer
                                      : OrderFault::kNone;
    };
    fleet_.is_cut = [this](const std::string& from, const std::string& to) {
      return from == cut_node_ || to == cut_node_;
    };
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

  void Strike() {
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
        store_away_ = Pick(0, 2) == 0 ? "all" : AnyNode();
        silent_ = Pick(0, 1) == 0;
        break;
      case 4:
        store_away_.clear();
        break;
      case 5:
        lossy_ = !lossy_;
        break;
      case 6:
        late_ = !late_;
        break;
      case 7:
        cut_worker_ = "w" + std::to_string(Pick(0, 5));
        break;
      case 8:
        cut_worker_.clear();
        cut_node_.clear();
        break;
      case 9:
        cut_node_ = AnyNode();
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

  void Heal() {
    store_away_.clear();
    cut_worker_.clear();
    cut_node_.clear();
    lossy_ = false;
    late_ = false;
    for (const std::string& it : fleet_.nodes()) {
      if (!fleet_.IsUp(it)) {
        fleet_.Start(it);
      }
    }
  }

  void CheckAll() {
    CheckPromises(fleet_);
    for (const auto& it : calls_) {
      const std::string& job = it.first;
      const auto answer = fleet_.answers.find(it.second);
      const bool accepted = answer != fleet_.answers.end() &&
                            std::holds_alternative<JobAccepted>(answer->second);
      const bool refused = answer != fleet_.answers.end() &&
                           std::holds_alternative<NotNow>(answer->second);
      INFO("job " << job);
      if (accepted) {
        CHECK(fleet_.StateOf("n0", job) == JobState::kCompleted);
      }
      if (refused) {
        CHECK(CountRuns(fleet_, job) == 0);
      }
    }
  }

  std::mt19937_64 random_;
  Fleet fleet_;
  std::map<std::string, std::uint64_t> calls_;
  std::string store_away_;
  std::string cut_worker_;
  std::string cut_node_;
  bool silent_ = false;
  bool lossy_ = false;
  bool late_ = false;
};

TEST_CASE("The promises hold under random faults") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    Chaos(seed).Play();
  }
}

}  // namespace

}  // namespace burdockrock::engine
