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
constexpr Duration kSelectivePeriod = std::chrono::milliseconds(500);

// With fewer workers, most calls would return no allowed worker where the
// policy allows few.
constexpr std::size_t kMinWorkers = 10;
// Expected starts that a call should have for each waiting task. More than one,
// because the allowed workers are a random share and other steps start tasks on
// the same workers during the call and its wait. A gang needs all of its room
// at once.
constexpr double kSurplus = 4;
constexpr double kGangSurplus = 3;

// Expected starts for each waiting task in the room that is left at the reply.
constexpr double kLeftSurplus = 2;

// Weight of the previous value of a share, as a number of workers in a reply.
constexpr double kPastShareWeight = 100;
// The same of the room that is left, as a number of tasks.
constexpr double kPastLeftWeight = 60;
constexpr double kLeastLeft = 0.05;

}  // namespace

void AllowedShare::Update(std::size_t allowed, std::size_t named) {
  share_ = (share_ * kPastShareWeight + static_cast<double>(allowed)) /
           (kPastShareWeight + static_cast<double>(named));
}

void LeftShare::Update(double left, double expected) {
  share_ = std::clamp(
      (share_ * kPastLeftWeight + left) / (kPastLeftWeight + expected),
      kLeastLeft, 1.0);
}

bool HasEnoughWorkers(const AdviceCallDraft& call) {
  const double surplus =
      std::max(call.gang ? kGangSurplus : kSurplus, kLeftSurplus / call.left);
  return call.named >= kMinWorkers &&
         call.starts >= surplus * static_cast<double>(call.waiting);
}

bool IsWorthACall(const AdviceCallDraft& call, Duration since_call) {
  const auto waiting = static_cast<double>(call.waiting);
  const bool selective = since_call < kSelectivePeriod;
  if (call.gang) {
    return !selective || call.ticketed + call.starts >= waiting;
  }
  return !selective ||
         call.starts >= std::max(kMinStarts, kMinStartShare * waiting);
}

}  // namespace burdockrock::engine
