#include "engine/advice/advice_rule.h"

#include <algorithm>
#include <chrono>

namespace burdockrock::engine {

namespace {

// A call that follows soon on another must promise so many starts, and this
// share of the tasks that wait.
constexpr double kMinStarts = 1;
constexpr double kMinStartShare = 0.3;
// After so long without a call any room will do. Short urgent work has 0.4 to
// 0.7 s of slack to its objective. At 30 instances with 100 waiting steps it
// makes 7 calls a second and instance of some 35 ms.
constexpr Duration kPatience = std::chrono::milliseconds(500);

// Fewer than these leave one call in forty without an allowed worker where the
// policy allows three in ten.
constexpr std::size_t kLeastNames = 10;
// Starts for each waiting task: others start on the same workers meanwhile, and
// the allowed ones are a random share. A gang needs all of its room at once. At
// 120 workers of which four in ten are allowed, 40 tasks start after one call.
constexpr double kSurplus = 1.7;
constexpr double kGangSurplus = 3;

}  // namespace

bool NamesEnough(const AdviceCall& call) {
  const double surplus = call.gang ? kGangSurplus : kSurplus;
  return call.named >= kLeastNames &&
         call.starts >= surplus * static_cast<double>(call.waiting);
}

bool IsWorthACall(const AdviceCall& call, Duration since_call) {
  const auto waiting = static_cast<double>(call.waiting);
  const bool patient = since_call < kPatience;
  if (call.gang) {
    return call.ticketed + (patient ? call.starts : call.most) >= waiting;
  }
  return !patient ||
         call.starts >= std::max(kMinStarts, kMinStartShare * waiting);
}

}  // namespace burdockrock::engine
