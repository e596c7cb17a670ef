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
constexpr Duration kSelectivePeriod = std::chrono::milliseconds(500);

// Keeps most calls from coming back without an allowed worker where the policy
// allows few.
constexpr std::size_t kMinWorkers = 10;
// Starts for each waiting task: the allowed workers are a random share, and
// other steps start on the same workers while a call waits and is made. A gang
// needs all of its room at once.
constexpr double kSurplus = 4;
constexpr double kGangSurplus = 3;

// All that is known of a share counts as much as an answer about so many
// workers.
constexpr double kPastShareWeight = 100;

}  // namespace

void AllowedShare::Update(std::size_t allowed, std::size_t named) {
  share_ = (share_ * kPastShareWeight + static_cast<double>(allowed)) /
           (kPastShareWeight + static_cast<double>(named));
}

bool HasEnoughWorkers(const AdviceCallDraft& call) {
  const double surplus = call.gang ? kGangSurplus : kSurplus;
  return call.named >= kMinWorkers &&
         call.starts >= surplus * static_cast<double>(call.waiting);
}

bool IsWorthACall(const AdviceCallDraft& call, Duration since_call) {
  const auto waiting = static_cast<double>(call.waiting);
  const bool selective = since_call < kSelectivePeriod;
  if (call.gang) {
    return call.ticketed + (selective ? call.starts : call.max_starts) >=
           waiting;
  }
  return !selective ||
         call.starts >= std::max(kMinStarts, kMinStartShare * waiting);
}

}  // namespace burdockrock::engine
