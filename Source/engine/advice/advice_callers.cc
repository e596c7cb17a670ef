#include "engine/advice/advice_callers.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

#include <xxhash.h>

#include "engine/advice/advice_queue.h"
#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// Calls with at least this service time are long. Some instances are kept for
// shorter ones.
constexpr Duration kLongCall = milliseconds(100);
// Short calls must not wait behind long ones, so some instances are kept for
// them: one in three of a small fleet, rounded up, and one in five of further
// members.
constexpr std::size_t kSmallFleet = 9;
constexpr std::size_t kMembersPerShortCaller = 3;
constexpr std::size_t kFurtherPerShortCaller = 5;
// One in so many of these, rounded up, never makes long calls. The others help
// with long calls while short ones do not need them.
constexpr std::size_t kShortCallersPerReserved = 3;
// Short calls also go to instances that make long ones when they would wait
// longer than this at the others.
constexpr Duration kShortWait = milliseconds(80);

// Reported waits are up to one digest interval old, so smaller differences are
// not significant.
constexpr Duration kWaitTolerance = milliseconds(250);

// Long enough that the next query arrives before a member has nothing to do.
constexpr Duration kLongestLongWait = milliseconds(800);
constexpr Duration kLongestShortWait = milliseconds(400);

// A member is unresponsive when its reply is overdue by this time and it has
// sent neither a digest nor a reply. It gets no queries until it sends one. Its
// registration is no sign, because it outlasts a network cut.
constexpr Duration kReplyOverdue = milliseconds(300);

struct Callers {
  std::vector<std::string> reserved{};  // make no long calls
  std::vector<std::string> helpers{};   // make them when no short ones wait
  std::vector<std::string> for_all{};
};

std::size_t CountShortCallers(std::size_t members) {
  const std::size_t few = std::min(members, kSmallFleet);
  return (few + kMembersPerShortCaller - 1) / kMembersPerShortCaller +
         (members - few) / kFurtherPerShortCaller;
}

Time LastUpdateOf(const Context& context, const std::string& member) {
  const auto& updates = context.state.advice.reported_at;
  const auto it = updates.find(member);
  return it == updates.end() ? Time::min() : it->second;
}

bool IsResponsive(const Context& context,
                  const std::string& member,
                  Time updated_since) {
  return member == context.self() ||
         (!context.state.advice.unresponsive.contains(member) &&
          LastUpdateOf(context, member) >= updated_since);
}

// Orders the members by a hash, which is the same at all instances and mixes
// the failure domains. By name, the first ones are all of one domain, and no
// member would make short calls when that domain is cut off.
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

Callers CallersOf(const Context& context, Time updated_since) {
  const std::vector<std::string> members = MembersInOrder(context);
  const std::size_t short_callers = CountShortCallers(members.size());
  const std::size_t reserved =
      (short_callers + kShortCallersPerReserved - 1) / kShortCallersPerReserved;
  Callers callers;
  for (std::size_t it = 0; it < members.size(); ++it) {
    if (!IsResponsive(context, members[it], updated_since)) {
      continue;
    }
    auto& group = it >= short_callers                  ? callers.for_all
                  : callers.reserved.size() < reserved ? callers.reserved
                                                       : callers.helpers;
    group.push_back(members[it]);
  }
  if (callers.for_all.empty()) {
    callers.for_all =
        callers.helpers.empty() ? callers.reserved : callers.helpers;
  }
  if (callers.reserved.empty()) {
    callers.reserved = callers.for_all;
  }
  return callers;
}

struct ShortestWait {
  std::string member{};
  Duration wait = kForever;
};

// Among equal waits, prefers this instance, which saves a network hop, and else
// chooses at random: if all instances chose the first one, it would be
// overloaded until its next report.
ShortestWait FindShortestWait(const Context& context,
                              const std::vector<std::string>& members,
                              std::uint32_t priority) {
  ShortestWait best;
  std::tuple<std::int64_t, bool, std::uint64_t> best_rank;
  for (const std::string& it : members) {
    const Duration wait = WaitAt(context, it, priority);
    // The hash makes instances with equal random numbers choose differently.
    const std::uint64_t chance =
        std::hash<std::string>()(context.self() + it) ^ context.state.random();
    const std::tuple rank(wait / kWaitTolerance, it != context.self(), chance);
    if (best.member.empty() || rank < best_rank) {
      best = {.member = it, .wait = wait};
      best_rank = rank;
    }
  }
  return best;
}

// Whether an instance that is kept for short calls makes a long one while those
// that make long ones are busy: it is idle, and short calls need not wait at
// the reserved ones.
bool MayHelp(const ShortestWait& reserved, const ShortestWait& helper) {
  return !helper.member.empty() && reserved.wait <= kShortWait &&
         helper.wait <= kShortWait;
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
  const auto reported = waits.find(member);
  Duration wait = reported == waits.end() ? Duration(0) : reported->second;
  for (const auto& [call, query] : advice.queries) {
    const bool before = !urgent || query.priority == kMostUrgent;
    if (query.member == member && before) {
      wait += query.expected;
    }
  }
  return wait;
}

std::string ChooseAdviceCaller(const Context& context,
                               std::uint32_t priority,
                               Duration expected,
                               Time updated_since) {
  const Callers callers = CallersOf(context, updated_since);
  const ShortestWait all = FindShortestWait(context, callers.for_all, priority);
  const bool is_long = IsLongCall(expected);
  if (is_long && all.wait <= kWaitTolerance) {
    return all.member;
  }
  const ShortestWait reserved =
      FindShortestWait(context, callers.reserved, priority);
  const ShortestWait helper =
      FindShortestWait(context, callers.helpers, priority);
  if (is_long) {
    return MayHelp(reserved, helper) ? helper.member : all.member;
  }
  const ShortestWait& best =
      reserved.wait <= std::max(kShortWait, helper.wait) ? reserved : helper;
  return best.wait <= std::max(kShortWait, all.wait) ? best.member : all.member;
}

void UpdateAdviceCaller(Context& context,
                        const std::string& member,
                        Duration wait,
                        Duration urgent_wait) {
  AdviceState& advice = context.state.advice;
  advice.waits[member] = wait;
  advice.urgent_waits[member] = urgent_wait;
  advice.reported_at[member] = context.now;
  advice.unresponsive.erase(member);
}

void ForgetAdviceCaller(Context& context, const std::string& member) {
  AdviceState& advice = context.state.advice;
  advice.waits.erase(member);
  advice.urgent_waits.erase(member);
  advice.reported_at.erase(member);
  advice.unresponsive.erase(member);
}

void AvoidAdviceCaller(Context& context, const AdviceQuery& query) {
  if (FindMember(context.state, query.member) == nullptr) {
    return;
  }
  AdviceState& advice = context.state.advice;
  if (IsQueryLost(context, query)) {
    advice.unresponsive.insert(query.member);
  }
  // The member is busier than it reported.
  for (auto* waits : {&advice.waits, &advice.urgent_waits}) {
    Duration& wait = (*waits)[query.member];
    wait = std::max(wait, context.now - query.sent_at);
  }
}

bool IsQueryLost(const Context& context, const AdviceQuery& query) {
  const std::string& member = query.member;
  if (member == context.self()) {
    return false;
  }
  const bool overdue = context.now >= query.due + kReplyOverdue &&
                       LastUpdateOf(context, member) < query.sent_at;
  return overdue || FindMember(context.state, member) == nullptr;
}

Duration WaitLeftAt(const Context& context,
                    const std::string& member,
                    std::uint32_t priority) {
  const Duration wait = WaitAt(context, member, priority);
  const Time reported_at = LastUpdateOf(context, member);
  if (member == context.self() || reported_at == Time::min()) {
    return wait;
  }
  return std::max(wait - (context.now - reported_at), Duration(0));
}

Duration LongestWait(Duration expected) {
  return IsLongCall(expected) ? kLongestLongWait : kLongestShortWait;
}

Duration WaitTolerance(Duration expected) {
  return IsLongCall(expected) ? kWaitTolerance : kShortWait;
}

}  // namespace burdockrock::engine
