#include "scheduler/fair_queue.h"

#include <algorithm>
#include <utility>

namespace burdockrock {

void FairQueue::Push(const std::string& team, double weight, std::string id) {
  auto [it, inserted] = teams_.try_emplace(team);
  if (inserted) {
    it->second.virtual_time = virtual_now_;
    ranks_.insert({.virtual_time = virtual_now_, .team = team});
  }
  // The minimum bounds the step of the virtual time.
  it->second.weight = std::max(weight, 0.001);
  it->second.items.push_back(std::move(id));
  ++size_;
}

std::optional<std::string> FairQueue::Pop() {
  if (ranks_.empty()) {
    return std::nullopt;
  }
  const Rank rank = *ranks_.begin();
  ranks_.erase(ranks_.begin());
  Team& team = teams_.at(rank.team);
  std::string id = std::move(team.items.front());
  team.items.pop_front();
  --size_;
  virtual_now_ = rank.virtual_time;
  if (team.items.empty()) {
    teams_.erase(rank.team);
    return id;
  }
  team.virtual_time = rank.virtual_time + 1 / team.weight;
  ranks_.insert({.virtual_time = team.virtual_time, .team = rank.team});
  return id;
}

std::optional<std::string> FairQueue::PopNewestOfLongest() {
  if (teams_.empty()) {
    return std::nullopt;
  }
  const auto it = std::max_element(
      teams_.begin(), teams_.end(), [](const auto& left, const auto& right) {
        return left.second.items.size() < right.second.items.size();
      });
  const std::string team = it->first;
  std::string id = std::move(it->second.items.back());
  it->second.items.pop_back();
  --size_;
  DropIfIdle(team);
  return id;
}

void FairQueue::Erase(const std::string& team, const std::string& id) {
  const auto it = teams_.find(team);
  if (it == teams_.end()) {
    return;
  }
  std::deque<std::string>& items = it->second.items;
  const auto item = std::find(items.begin(), items.end(), id);
  if (item == items.end()) {
    return;
  }
  items.erase(item);
  --size_;
  DropIfIdle(team);
}

std::size_t FairQueue::SizeOf(const std::string& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? 0 : it->second.items.size();
}

void FairQueue::DropIfIdle(const std::string& team) {
  const auto it = teams_.find(team);
  if (it->second.items.empty()) {
    ranks_.erase({.virtual_time = it->second.virtual_time, .team = team});
    teams_.erase(it);
  }
}

}  // namespace burdockrock
