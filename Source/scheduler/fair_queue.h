// A weighted fair queue over teams.
#ifndef BURDOCKROCK_SCHEDULER_FAIR_QUEUE_H_
#define BURDOCKROCK_SCHEDULER_FAIR_QUEUE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace burdockrock {

// Start-time fair queueing: each team has a virtual time that advances by
// 1 / weight with each item served; the team with the lowest is served next. A
// team that was idle starts at the virtual time of the item served last, so
// that it can't accumulate a burst. Items of one team are served in FIFO order.
class FairQueue {
 public:
  void Push(const std::string& team, double weight, std::string id);

  // Removes and returns the next item; nullopt if the queue is empty.
  std::optional<std::string> Pop();

  // Removes and returns the newest item of the team with the most items;
  // nullopt if the queue is empty.
  std::optional<std::string> PopNewestOfLongest();

  void Erase(const std::string& team, const std::string& id);

  std::size_t size() const { return size_; }
  std::size_t SizeOf(const std::string& team) const;

 private:
  struct Team {
    double weight = 1;
    double virtual_time = 0;
    std::deque<std::string> items;
  };
  struct Rank {
    double virtual_time = 0;
    std::string team;
    auto operator<=>(const Rank&) const = default;
  };

  void DropIfIdle(const std::string& team);

  std::map<std::string, Team> teams_;  // only teams with items
  std::set<Rank> ranks_;
  double virtual_now_ = 0;  // virtual time of the item served last
  std::size_t size_ = 0;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_FAIR_QUEUE_H_
