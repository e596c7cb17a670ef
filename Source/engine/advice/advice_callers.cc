#include "engine/advice/advice_callers.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

#include <xxhash.h>

#include "engine/advice/advice_turns.h"
#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// Calls that take this long are made by other instances than shorter ones.
constexpr Duration kLongCall = milliseconds(100);
// Short calls must not wait behind long ones, so some instances make no long
// ones: one in three, rounded up, of a small fleet, fewer of what comes beyond,
// as more would stand idle beside full queues.
constexpr std::size_t kSmallFleet = 9;
constexpr std::size_t kMembersPerShortCaller = 3;
constexpr std::size_t kFurtherPerShortCaller = 5;
// Short calls go to an instance that also makes long ones when they would wait
// longer than this at the others.
constexpr Duration kShortWait = milliseconds(80);

// Told waits are late by up to the time between digests: differences below this
// say nothing.
constexpr Duration kWaitDoubt = milliseconds(250);

// A member that owes an answer for this long and has sent neither a digest nor
// an answer is not asked until it sends one: its registration outlasts a cut.
constexpr Duration kSilence = milliseconds(300);

struct Callers {
  std::vector<std::string> for_short{};  // make no long calls
  std::vector<std::string> for_all{};
};

std::size_t CountShortCallers(std::size_t members) {
  const std::size_t few = std::min(members, kSmallFleet);
  return (few + kMembersPerShortCaller - 1) / kMembersPerShortCaller +
         (members - few) / kFurtherPerShortCaller;
}

Time HeardAt(const Context& context, const std::string& member) {
  const auto& heard = context.state.advice.reported_at;
  const auto it = heard.find(member);
  return it == heard.end() ? Time::min() : it->second;
}

bool MayAnswer(const Context& context,
               const std::string& member,
               Time heard_since) {
  return member == context.self() ||
         (!context.state.advice.unresponsive.contains(member) &&
          HeardAt(context, member) >= heard_since);
}

// In the same order everywhere, which mixes the domains: the first ones by name
// are all of one, and short calls would have no callers when that is cut off.
std::vector<std::string> MembersInOrder(const Context& context) {
  std::vector<std::pair<XXH64_hash_t, std::string>> ranked;
  const auto add = [&](const std::string& it) {
    ranked.emplace_back(XXH64(it.data(), it.size(), 0), it);
  };
  for (const std::string& it : OtherMembers(context)) {
    add(it);
  }
  add(context.self());
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> members;
  members.reserve(ranked.size());
  for (auto& [rank, it] : ranked) {
    members.push_back(std::move(it));
  }
  return members;
}

Callers CallersOf(const Context& context, Time heard_since) {
  const std::vector<std::string> members = MembersInOrder(context);
  const std::size_t short_callers = CountShortCallers(members.size());
  Callers callers;
  for (std::size_t it = 0; it < members.size(); ++it) {
    if (MayAnswer(context, members[it], heard_since)) {
      auto& those = it < short_callers ? callers.for_short : callers.for_all;
      those.push_back(members[it]);
    }
  }
  if (callers.for_all.empty()) {
    callers.for_all = callers.for_short;
  } else if (callers.for_short.empty()) {
    callers.for_short = callers.for_all;
  }
  return callers;
}

struct ShortestWait {
  std::string member{};
  Duration wait = kForever;
};

// This instance itself among equals, which saves the way, and else any of them:
// others would take the first one too, until they hear that it is busy.
ShortestWait FindShortestWait(const Context& context,
                              const std::vector<std::string>& members,
                              std::uint32_t priority) {
  ShortestWait best;
  std::tuple<std::int64_t, bool, std::uint64_t> best_rank;
  for (const std::string& it : members) {
    const Duration wait = WaitAt(context, it, priority);
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

Duration WaitAt(const Context& context,
                const std::string& member,
                std::uint32_t priority) {
  const AdviceState& advice = context.state.advice;
  const bool urgent = priority == kMostUrgent;
  if (member == context.self()) {
    return urgent ? UrgentAdviceWait(context.state, context.now)
                  : AdviceWait(context.state, context.now);
  }
  const auto& waits = urgent ? advice.urgent_waits : advice.waits;
  const auto told = waits.find(member);
  Duration wait = told == waits.end() ? Duration(0) : told->second;
  for (const auto& [call, question] : advice.queries) {
    const bool before = !urgent || question.priority == kMostUrgent;
    if (question.member == member && before) {
      wait += question.expected;
    }
  }
  return wait;
}

std::string ChooseCaller(const Context& context,
                         std::uint32_t priority,
                         Duration expected,
                         Time heard_since) {
  const Callers callers = CallersOf(context, heard_since);
  const ShortestWait all = FindShortestWait(context, callers.for_all, priority);
  if (IsLongCall(expected)) {
    return all.member;
  }
  const ShortestWait best =
      FindShortestWait(context, callers.for_short, priority);
  return best.wait <= std::max(kShortWait, all.wait) ? best.member : all.member;
}

void HearOfCaller(Context& context,
                  const std::string& member,
                  Duration wait,
                  Duration urgent_wait) {
  AdviceState& advice = context.state.advice;
  advice.waits[member] = wait;
  advice.urgent_waits[member] = urgent_wait;
  advice.reported_at[member] = context.now;
  advice.unresponsive.erase(member);
}

void ForgetCaller(Context& context, const std::string& member) {
  AdviceState& advice = context.state.advice;
  advice.waits.erase(member);
  advice.urgent_waits.erase(member);
  advice.reported_at.erase(member);
  advice.unresponsive.erase(member);
}

void LeaveCaller(Context& context, const AdviceQuery& question) {
  if (FindMember(context.state, question.member) == nullptr) {
    return;
  }
  AdviceState& advice = context.state.advice;
  if (IsLost(context, question)) {
    advice.unresponsive.insert(question.member);
  }
  // It is busier than it has reported.
  for (auto* waits : {&advice.waits, &advice.urgent_waits}) {
    Duration& wait = (*waits)[question.member];
    wait = std::max(wait, context.now - question.sent_at);
  }
}

bool IsLost(const Context& context, const AdviceQuery& question) {
  const std::string& member = question.member;
  if (member == context.self()) {
    return false;
  }
  const bool owes = context.now >= question.due + kSilence &&
                    HeardAt(context, member) < question.sent_at;
  return owes || FindMember(context.state, member) == nullptr;
}

Duration WaitDoubt(Duration expected) {
  return IsLongCall(expected) ? kWaitDoubt : kShortWait;
}

}  // namespace burdockrock::engine
