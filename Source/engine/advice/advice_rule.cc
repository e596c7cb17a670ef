#include "engine/advice/advice_rule.h"

#include <algorithm>
#include <chrono>

namespace burdockrock::engine {

namespace {

// A call that follows soon on another must promise so many starts, and this
// share of the tasks that wait.
constexpr double kMinStarts = 1;
constexpr double kMinStartShare = 0.3;
// After so long without a call any room will do: about a short job's slack.
constexpr Duration kPatience = std::chrono::milliseconds(500);

// Keeps most calls from coming back without an allowed worker where the policy
// allows few.
constexpr std::size_t kLeastNames = 10;
// Starts for each waiting task: the allowed workers are a random share, and
// other steps start on the same workers while a call waits and is made. A gang
// needs all of its room at once.
constexpr double kSurplus = 4;
constexpr double kGangSurplus = 3;

// All that is known of a share counts as much as an answer about so many
// workers.
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
