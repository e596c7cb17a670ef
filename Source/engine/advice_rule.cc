#include "engine/advice_rule.h"

#include <algorithm>
#include <chrono>

namespace burdockrock::engine {

namespace {

constexpr double kMinStarts = 1;
constexpr double kMinStartShare = 0.3;
// Short urgent work has 0.4 to 0.7 s of slack to its objective. At 30 instances
// with 100 waiting steps it makes 7 calls a second and instance of some 35 ms.
constexpr Duration kPatience = std::chrono::milliseconds(500);

}  // namespace

double LeastStarts(std::size_t waiting, Duration since_call) {
  if (since_call >= kPatience) {
    return 0;
  }
  return std::max(kMinStarts, kMinStartShare * static_cast<double>(waiting));
}

}  // namespace burdockrock::engine
