// What an edge has sent and received since the start.
#ifndef BURDOCKROCK_RUNTIME_EDGE_TRAFFIC_H_
#define BURDOCKROCK_RUNTIME_EDGE_TRAFFIC_H_

#include <compare>
#include <cstdint>

namespace burdockrock {

// Bytes of callers' payloads and answers are left out. Clients count headers,
// servers bodies only.
struct EdgeTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  auto operator<=>(const EdgeTraffic&) const = default;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_EDGE_TRAFFIC_H_
