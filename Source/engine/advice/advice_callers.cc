#include "engine/advice/advice_callers.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <tuple>
#include <vector>

#include "engine/advice/advice_turns.h"
#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// Calls that take this long are made by other instances than shorter ones.
constexpr Duration kLongCall = milliseconds(100);
// Short calls must not wait behind long ones, so some instances make no long
// ones: one in three, rounded up, of a small fleet and one in five of what
// comes beyond, as short calls fill 2 to 5 instances' turns in fleets of 30 to
// 150. More would stand idle beside full queues: at 20 instances 0.79 of tasks
// that need long calls start within 2.5 s with one in three, 0.86 with this.
constexpr std::size_t kSmallFleet = 9;
constexpr std::size_t kMembersPerShortCaller = 3;
constexpr std::size_t kFurtherPerShortCaller = 5;
// Short calls go to an instance that also makes long ones when they would wait
// longer than this at the others.
constexpr Duration kShortWait = milliseconds(80);

// Told waits are late by up to the time between digests: differences below this
// say nothing. About a third of that time at 30 members.
constexpr Duration kWaitDoubt = milliseconds(250);

struct Callers {
  std::vector<std::string> for_short{};  // make no long calls
  std::vector<std::string> for_all{};
};

std::size_t CountShortCallers(std::size_t members) {
  const std::size_t few = std::min(members, kSmallFleet);
  return (few + kMembersPerShortCaller - 1) / kMembersPerShortCaller +
         (members - few) / kFurtherPerShortCaller;
}

Callers CallersOf(const Context& context) {
  std::vector<std::string> members = OtherMembers(context);
  members.push_back(context.self());
  std::sort(members.begin(), members.end());
  const std::size_t short_callers = CountShortCallers(members.size());
  if (members.size() <= short_callers) {
    return {.for_short = members, .for_all = members};
  }
  const auto middle =
      members.begin() + static_cast<std::ptrdiff_t>(short_callers);
  return {.for_short = {members.begin(), middle},
          .for_all = {middle, members.end()}};
}

struct ShortestWait {
  std::string member{};
  Duration wait = kForever;
};

// This instance itself among equals, which saves the way, and else any of them:
// others would take the first one too, until they hear that it is busy.
ShortestWait FindShortestWait(const Context& context,
                              const std::vector<std::string>& members) {
  ShortestWait best;
  std::tuple<std::int64_t, bool, std::uint64_t> best_rank;
  for (const std::string& it : members) {
    const Duration wait = WaitAt(context, it);
    // Instances whose random numbers are alike choose differently all the same.
    const std::uint64_t chance =
        std::hash<std::string>()(context.self() + it) ^ context.state.random();
    const std::tuple rank(wait / kWaitDoubt, it != context.self(), chance);
    if (best.member.empty() || rank < best_rank) {
      best = {.member = it, .wait = wait};
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace

bool IsLongCall(Duration expected) {
  return expected >= kLongCall;
}

Duration WaitAt(const Context& context, const std::string& member) {
  const AdviceState& advice = context.state.advice;
  if (member == context.self()) {
    return AdviceWait(context.state, context.now);
  }
  const auto told = advice.waits.find(member);
  Duration wait = told == advice.waits.end() ? Duration(0) : told->second;
  for (const auto& [call, question] : advice.questions) {
    if (question.member == member) {
      wait += question.expected;
    }
  }
  return wait;
}

std::string ChooseCaller(const Context& context, Duration expected) {
  const Callers callers = CallersOf(context);
  const ShortestWait all = FindShortestWait(context, callers.for_all);
  if (IsLongCall(expected)) {
    return all.member;
  }
  const ShortestWait best = FindShortestWait(context, callers.for_short);
  return best.wait <= std::max(kShortWait, all.wait) ? best.member : all.member;
}

Duration WaitDoubt(Duration expected) {
  return IsLongCall(expected) ? kWaitDoubt : kShortWait;
}

}  // namespace burdockrock::engine
