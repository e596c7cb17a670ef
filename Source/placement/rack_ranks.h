// Numbers the targets of each rack, so that ties can go round the racks.
#ifndef BURDOCKROCK_PLACEMENT_RACK_RANKS_H_
#define BURDOCKROCK_PLACEMENT_RACK_RANKS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace burdockrock {

// A rack as seen by one service; workers have an empty service.
struct RackKey {
  std::string service;
  std::string rack;

  auto operator<=>(const RackKey&) const = default;
};

// Targets of equal load that are tried in order of their rank take the first
// of each rack, then the second of each rack, and so on.
class RackRanks {
 public:
  // The lowest rank that is not in use in this rack.
  std::uint32_t Acquire(const RackKey& key);

  // Gives a rank back.
  void Release(const RackKey& key, std::uint32_t rank);

 private:
  struct Ranks {
    std::uint32_t next = 0;
    std::set<std::uint32_t> released;
  };

  std::map<RackKey, Ranks> racks_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_PLACEMENT_RACK_RANKS_H_
