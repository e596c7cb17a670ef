#include "bench/lanyu.h"

#include <stdexcept>

namespace burdockrock::bench {

namespace {

using std::chrono::seconds;

constexpr Duration kSettleLimit = seconds(60);
constexpr Duration kQuiet = seconds(5);
// Every domain gets as many minions; one too many is taken away.
constexpr std::uint32_t kMinionsPerDomain = 17;
constexpr char kSpareMinion[] = "d2-m16";

}  // namespace

EntryGroupOptions LanyuOptions() {
  return {.entries = {2, 2, 2},
          .workers = 0,
          .minions = kMinionsPerDomain,
          .workers_per_rack = 8};
}

std::unique_ptr<EntryGroup> MakeSettled(const EntryGroupOptions& options) {
  auto group = std::make_unique<EntryGroup>(options);
  const bool is_settled = group->RunUntil(
      [&, next = Time(0)]() mutable {
        // Asking after each event would cost more than the run.
        if (group->now() < next) {
          return false;
        }
        next = group->now() + std::chrono::milliseconds(100);
        return group->IsSettled();
      },
      kSettleLimit);
  if (!is_settled) {
    throw std::runtime_error("the deployment did not settle");
  }
  group->Run(kQuiet);
  return group;
}

std::unique_ptr<EntryGroup> MakeLanyu(const EntryGroupOptions& options) {
  auto group = MakeSettled(options);
  group->KillWorker(kSpareMinion);
  group->Run(4 * kQuiet);
  return group;
}

std::unique_ptr<EntryGroup> MakeLanyu(const std::string& policy,
                                      std::uint32_t workers) {
  EntryGroupOptions options = LanyuOptions();
  options.policy = policy;
  options.workers = workers;
  return MakeLanyu(options);
}

}  // namespace burdockrock::bench
