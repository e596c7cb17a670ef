// Which jobs of a team are within its entitlement of `weight` jobs a second
// over all instances. Pure functions of the counts of the last seconds.
//
// Load pattern: one team sends many times its usual to all instances at once.
// What it sends beyond its entitlement waits behind the work of the others, and
// behind its own that is within.
#ifndef BURDOCKROCK_ENGINE_TEAMS_ENTITLEMENT_RULE_H_
#define BURDOCKROCK_ENGINE_TEAMS_ENTITLEMENT_RULE_H_

#include <compare>
#include <cstdint>
#include <deque>

#include "model/time.h"

namespace burdockrock::engine {

// Jobs of one team, counted since some moment.
struct ArrivalCounts {
  std::uint64_t all = 0;       // at all instances, as far as is known here
  std::uint64_t own = 0;       // of these, at this instance
  std::uint64_t entitled = 0;  // of these, within the entitlement

  auto operator<=>(const ArrivalCounts&) const = default;
};

// Counts over a window that slides.
class ArrivalWindow {
 public:
  // Counts one job that arrived here.
  void AddOwn(Time now, bool entitled);
  // Counts jobs that arrived at other instances.
  void AddOthers(Time now, std::uint64_t jobs);

  ArrivalCounts Count(Time now) const;

  bool operator==(const ArrivalWindow&) const = default;

 private:
  struct Slice {
    Time began{0};
    ArrivalCounts counts{};
    bool operator==(const Slice&) const = default;
  };

  Slice& SliceAt(Time now);

  std::deque<Slice> slices_{};
};

// Whether one more job is within the entitlement. While the team sends more,
// each instance admits a part of it in proportion to its part of the arrivals,
// so that all of them together admit what the team is entitled to. `draw`, from
// 0 to 1, decides on the fraction of a job: with hundreds of instances the part
// of each is less than one job.
bool IsEntitled(const ArrivalCounts& window, double weight, double draw);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_ENTITLEMENT_RULE_H_
