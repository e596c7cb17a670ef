// The open minions of each service, the least loaded first.
#ifndef BURDOCKROCK_PLACEMENT_MINION_INDEX_H_
#define BURDOCKROCK_PLACEMENT_MINION_INDEX_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "placement/target.h"

namespace burdockrock {

class MinionIndex {
 public:
  // Puts an open minion in.
  void Insert(TargetIndex index, const Target& target);

  // Takes out a minion that was inserted with this `target`.
  void Erase(TargetIndex index, const Target& target);

  // The minion with the most free slots; of equal ones the lowest rank in its
  // rack, then the lowest index. Logarithmic in the service's minions.
  std::optional<TargetIndex> Pick(std::string_view service) const;

  // Over the service's open minions.
  std::int64_t free_slots(std::string_view service) const;
  std::int64_t total_slots(std::string_view service) const;

 private:
  struct Place {
    std::int64_t taken = 0;  // the negative of the free slots
    std::uint32_t rank = 0;
    TargetIndex index = 0;

    auto operator<=>(const Place&) const = default;
  };
  struct Service {
    std::set<Place> places;
    std::int64_t free_slots = 0;
    std::int64_t total_slots = 0;
  };

  static Place PlaceOf(TargetIndex index, const Target& target);

  std::map<std::string, Service, std::less<>> services_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_PLACEMENT_MINION_INDEX_H_
