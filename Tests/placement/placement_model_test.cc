// Random operations from fixed seeds against a model that scans every target.
#include "placement/placement_index.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace burdockrock {
namespace {

constexpr int kSeeds = 20;
constexpr int kSteps = 2'000;
constexpr int kNames = 60;

struct ModelTarget {
  Resources capacity;
  Resources free;
  std::string service;
  bool open = true;
};

// Plays the same operations on the index and on plain books.
class ModelCheck {
 public:
  explicit ModelCheck(std::uint32_t seed) : random_(seed) {}

  void Step() {
    switch (Draw(12)) {
      case 0:
        Add();
        break;
      case 1:
        Remove();
        break;
      case 2:
        Toggle();
        break;
      case 3:
        ForceTake();
        break;
      case 4:
      case 5:
        Give();
        break;
      case 6:
        Gang();
        break;
      case 7:
        MinionPick();
        break;
      default:
        WorkerPick();
        break;
    }
    CompareBooks();
  }

 private:
  using Entry = std::pair<const TargetIndex, ModelTarget>;

  std::int64_t Draw(std::int64_t bound) {
    return static_cast<std::int64_t>(random_() % bound);
  }

  Resources Need() {
    return {.processors_milli = Draw(9) * 500,
            .memory_mb = Draw(9) * 1'024,
            .accelerators = Draw(5) == 0 ? 1 + Draw(2) : 0};
  }

  bool Has(const Entry& entry, const Resources& need) const {
    return entry.second.open && entry.second.service.empty() &&
           Fits(need, entry.second.free);
  }

  std::optional<TargetIndex> Any() {
    if (model_.empty()) {
      return std::nullopt;
    }
    auto it = model_.begin();
    std::advance(it, Draw(static_cast<std::int64_t>(model_.size())));
    return it->first;
  }

  void Add() {
    TargetInfo info{.id = fmt::format("t{}", Draw(kNames)),
                    .rack = fmt::format("r{}", Draw(5))};
    if (Draw(4) == 0) {
      info.service = fmt::format("s{}", Draw(2));
      info.capacity.slots = 1 + Draw(4);
    } else {
      info.capacity = {.processors_milli = 4'000 * (1 + Draw(3)),
                       .memory_mb = 8'192 * (1 + Draw(3)),
                       .accelerators = std::max<std::int64_t>(Draw(6) - 3, 0)};
    }
    const bool known = index_.Find(info.id).has_value();
    const TargetIndex target = index_.Add(info);
    CHECK(known == model_.contains(target));
    if (!known) {
      model_[target] = {.capacity = info.capacity,
                        .free = info.capacity,
                        .service = info.service};
      CHECK(index_.info(target) == info);
    }
  }

  void Remove() {
    if (const auto target = Any(); target && Draw(3) == 0) {
      const std::string id = index_.info(*target).id;
      index_.Remove(*target);
      model_.erase(*target);
      CHECK_FALSE(index_.Find(id));
    }
  }

  void Toggle() {
    if (const auto target = Any()) {
      model_[*target].open = Draw(4) != 0;
      index_.SetOpen(*target, model_[*target].open);
    }
  }

  void ForceTake() {
    if (const auto target = Any(); target && Draw(4) == 0) {
      const Resources amount = Need();
      index_.ForceTake(*target, amount);
      model_[*target].free -= amount;
    }
  }

  void Give() {
    if (const auto target = Any()) {
      Resources amount = model_[*target].capacity - model_[*target].free;
      if (Draw(2) == 0) {
        amount.processors_milli /= 2;
        amount.memory_mb /= 2;
      }
      index_.Give(*target, amount);
      model_[*target].free += amount;
    }
  }

  void Take(TargetIndex target, const Resources& need) {
    ModelTarget& it = model_.at(target);
    const bool fits = Fits(need, it.free);
    CHECK(index_.Take(target, need) == fits);
    if (fits) {
      it.free -= need;
    }
  }

  void WorkerPick() {
    const Resources need = Need();
    const auto policy =
        Draw(2) == 0 ? WorkerPolicy::kPack : WorkerPolicy::kSpread;
    const auto target = index_.PickWorker(need, policy);
    const bool fits =
        std::any_of(model_.begin(), model_.end(),
                    [&](const Entry& it) { return Has(it, need); });
    CHECK(target.has_value() == fits);
    if (target) {
      CHECK(Has(*model_.find(*target), need));
      Take(*target, need);
    } else if (const auto any = Any()) {
      Take(*any, need);
    }
  }

  void MinionPick() {
    const std::string service = fmt::format("s{}", Draw(2));
    std::int64_t most = 0;
    std::int64_t sum = 0;
    for (const auto& [index, it] : model_) {
      if (it.open && it.service == service) {
        most = std::max(most, it.free.slots);
        sum += it.free.slots;
      }
    }
    CHECK(index_.free_slots(service) == sum);
    const auto minion = index_.PickMinion(service);
    CHECK(minion.has_value() == (most > 0));
    if (minion) {
      CHECK(model_.at(*minion).service == service);
      CHECK(model_.at(*minion).free.slots == most);
      Take(*minion, {.slots = 1});
    }
  }

  void Gang() {
    const Resources need = Need();
    std::int64_t fitting = 0;
    for (const Entry& it : model_) {
      fitting += Has(it, need) ? CountFitting(need, it.second.free) : 0;
    }
    CHECK(index_.CountFitting(need) == std::min(fitting, kMaxAmount));
    const auto count = static_cast<std::uint32_t>(1 + Draw(12));
    const auto gang = index_.PickGang(need, count);
    CHECK(gang.size() == (fitting >= count ? count : 0));
    for (const TargetIndex target : gang) {
      CHECK(Has(*model_.find(target), need));
      Take(target, need);
    }
  }

  void CompareBooks() {
    Resources capacity;
    Resources free;
    for (const auto& [target, it] : model_) {
      CHECK(index_.free(target) == it.free);
      if (it.open && it.service.empty()) {
        capacity += it.capacity;
        free += Fits({}, it.free) ? it.free : Resources{};
      }
    }
    CHECK(index_.size() == model_.size());
    CHECK(index_.total_capacity() == capacity);
    CHECK(index_.total_free() == free);
  }

  std::mt19937 random_;
  PlacementIndex index_;
  std::map<TargetIndex, ModelTarget> model_;
};

TEST_CASE("The index agrees with plain books") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    ModelCheck check(seed);
    for (int it = 0; it < kSteps; ++it) {
      check.Step();
    }
  }
}

}  // namespace
}  // namespace burdockrock
