#include "engine/advice/advice_rule.h"

#include <algorithm>
#include <chrono>

namespace burdockrock::engine {

namespace {

// Expected starts that a call must have soon after the previous one: this many,
// and this share of the waiting tasks.
constexpr double kMinStarts = 1;
constexpr double kMinStartShare = 0.3;
// After this time without a call, a call is made for any room. About the slack
// of a short job.
constexpr Duration kPatience = std::chrono::milliseconds(500);

// With fewer workers, most calls would return no allowed worker where the
// policy allows few.
constexpr std::size_t kLeastNames = 10;
// Expected starts that a call should have for each waiting task. More than one,
// because the allowed workers are a random share and other steps start tasks on
// the same workers during the call and its wait. A gang needs all of its room
// at once.
constexpr double kSurplus = 4;
constexpr double kGangSurplus = 3;

// Weight of the previous value of a share, as a number of workers in a reply.
constexpr double kSharePast = 100;

}  // namespace

void AllowedShare::Learn(std::size_t allowed, std::size_t named) {
  share_ = (share_ * kSharePast + static_cast<double>(allowed)) /
           (kSharePast + static_cast<double>(named));
}

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
