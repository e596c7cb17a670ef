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

// Members by their numbers in the order of all.
struct Callers {
  std::vector<std::size_t> reserved{};  // make no long calls
  std::vector<std::size_t> helpers{};   // make them when no short ones wait
  std::vector<std::size_t> for_all{};
};

std::size_t CountShortCallers(std::size_t members) {
  const std::size_t few = std::min(members, kSmallFleet);
  return (few + kMembersPerShortCaller - 1) / kMembersPerShortCaller +
         (members - few) / kFurtherPerShortCaller;
}

Time LastUpdateOf(const Context& context, const std::string& member) {
  const auto& callers = context.state.advice.callers;
  const auto it = callers.find(member);
  return it == callers.end() ? Time::min() : it->second.reported_at;
}

bool IsUrgent(std::uint32_t priority) {
  return priority == kMostUrgent;
}

Duration ReportedWait(const AdviceCaller& caller, std::uint32_t priority) {
  return IsUrgent(priority) ? caller.urgent_wait : caller.wait;
}

Duration OwnWait(const Context& context, std::uint32_t priority) {
  return IsUrgent(priority) ? UrgentAdviceWait(context.state, context.now)
                            : AdviceWait(context.state, context.now);
}

// Whether a call of this priority waits for the one of the query.
bool WaitsFor(const AdviceQuery& query, std::uint32_t priority) {
  return !IsUrgent(priority) || query.priority == kMostUrgent;
}

XXH64_hash_t RankOfCaller(const std::string& member) {
  return XXH64(member.data(), member.size(), 0);
}

// Orders the members by a hash, which is the same at all instances and mixes
// the failure domains. By name, the first ones are all of one domain, and no
// member would make short calls when that domain is cut off. The order is kept
// until the members change.
const std::vector<AdviceCallerPlace>& MembersInOrder(const Context& context) {
  AdviceState& advice = context.state.advice;
  AdviceCallerOrder& order = advice.order;
  if (order.version == context.state.members.version) {
    return order.places;
  }
  order.version = context.state.members.version;
  order.places.clear();
  const auto add = [&](const std::string& it) {
    order.places.push_back(
        {.rank = RankOfCaller(it),
         .member = it,
         .chance = std::hash<std::string>()(context.self() + it),
         .caller = &advice.callers[it]});
  };
  for (const std::string& it : OtherMembers(context)) {
    add(it);
  }
  add(context.self());
  std::sort(order.places.begin(), order.places.end(),
            [](const AdviceCallerPlace& left, const AdviceCallerPlace& right) {
              return std::tie(left.rank, left.member) <
                     std::tie(right.rank, right.member);
            });
  return order.places;
}

// By how much the own queries without a reply delay a call of this priority at
// each member.
std::vector<Duration> OpenQueries(const Context& context,
                                  const std::vector<AdviceCallerPlace>& members,
                                  std::uint32_t priority) {
  std::vector<Duration> open(members.size());
  for (const auto& [call, query] : context.state.advice.queries) {
    if (!WaitsFor(query, priority)) {
      continue;
    }
    const XXH64_hash_t rank = RankOfCaller(query.member);
    auto it =
        std::lower_bound(members.begin(), members.end(), rank,
                         [](const AdviceCallerPlace& left, XXH64_hash_t right) {
                           return left.rank < right;
                         });
    while (it != members.end() && it->rank == rank &&
           it->member != query.member) {
      ++it;
    }
    if (it != members.end() && it->rank == rank) {
      open[static_cast<std::size_t>(it - members.begin())] += query.expected;
    }
  }
  return open;
}

bool IsResponsive(const Context& context,
                  const AdviceCallerPlace& place,
                  Time updated_since) {
  return (!place.caller->unresponsive &&
          place.caller->reported_at >= updated_since) ||
         place.member == context.self();
}

Callers CallersOf(const Context& context,
                  const std::vector<AdviceCallerPlace>& members,
                  Time updated_since) {
  const std::size_t short_callers = CountShortCallers(members.size());
  const std::size_t reserved =
      (short_callers + kShortCallersPerReserved - 1) / kShortCallersPerReserved;
  Callers callers;
  callers.for_all.reserve(members.size());
  for (std::size_t it = 0; it < members.size(); ++it) {
    if (!IsResponsive(context, members[it], updated_since)) {
      continue;
    }
    auto& group = it >= short_callers                  ? callers.for_all
                  : callers.reserved.size() < reserved ? callers.reserved
                                                       : callers.helpers;
    group.push_back(it);
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

// Finds the members with the shortest waits for a call of one priority.
class ShortestWaits {
 public:
  ShortestWaits(const Context& context,
                const std::vector<AdviceCallerPlace>& members,
                std::uint32_t priority)
      : context_(context),
        members_(members),
        priority_(priority),
        open_(OpenQueries(context, members, priority)) {}

  // Among equal waits, prefers this instance, which saves a network hop, and
  // else chooses at random: if all instances chose the first one, it would be
  // overloaded until its next report.
  ShortestWait FindAmong(const std::vector<std::size_t>& numbers) const {
    const AdviceCallerPlace* best = nullptr;
    Duration best_wait = kForever;
    std::tuple<std::int64_t, bool, std::uint64_t> best_rank;
    for (const std::size_t it : numbers) {
      const AdviceCallerPlace& place = members_[it];
      const bool is_self = place.member == context_.self();
      const Duration wait =
          is_self ? OwnWait(context_, priority_)
                  : ReportedWait(*place.caller, priority_) + open_[it];
      // The hash makes instances with equal random numbers choose differently.
      const std::uint64_t chance = place.chance ^ context_.state.random();
      const std::tuple rank(wait / kWaitTolerance, !is_self, chance);
      if (best == nullptr || rank < best_rank) {
        best = &place;
        best_wait = wait;
        best_rank = rank;
      }
    }
    return best == nullptr
               ? ShortestWait()
               : ShortestWait{.member = best->member, .wait = best_wait};
  }

 private:
  const Context& context_;
  const std::vector<AdviceCallerPlace>& members_;
  std::uint32_t priority_;
  std::vector<Duration> open_;
};

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
  if (member == context.self()) {
    return OwnWait(context, priority);
  }
  const AdviceState& advice = context.state.advice;
  const auto reported = advice.callers.find(member);
  Duration wait = reported == advice.callers.end()
                      ? Duration(0)
                      : ReportedWait(reported->second, priority);
  for (const auto& [call, query] : advice.queries) {
    if (WaitsFor(query, priority) && query.member == member) {
      wait += query.expected;
    }
  }
  return wait;
}

std::string ChooseAdviceCaller(const Context& context,
                               std::uint32_t priority,
                               Duration expected,
                               Time updated_since) {
  const auto& members = MembersInOrder(context);
  const Callers callers = CallersOf(context, members, updated_since);
  const ShortestWaits shortest(context, members, priority);
  // Most members are in this group, so it is looked at only where it counts.
  const auto find_among_all = [&] {
    return shortest.FindAmong(callers.for_all);
  };
  if (IsLongCall(expected)) {
    const ShortestWait all = find_among_all();
    if (all.wait <= kWaitTolerance) {
      return all.member;
    }
    const ShortestWait reserved = shortest.FindAmong(callers.reserved);
    const ShortestWait helper = shortest.FindAmong(callers.helpers);
    return MayHelp(reserved, helper) ? helper.member : all.member;
  }
  const ShortestWait reserved = shortest.FindAmong(callers.reserved);
  const ShortestWait helper = shortest.FindAmong(callers.helpers);
  const ShortestWait& best =
      reserved.wait <= std::max(kShortWait, helper.wait) ? reserved : helper;
  if (best.wait <= kShortWait) {
    return best.member;
  }
  const ShortestWait all = find_among_all();
  return best.wait <= all.wait ? best.member : all.member;
}

void UpdateAdviceCaller(Context& context,
                        const std::string& member,
                        Duration wait,
                        Duration urgent_wait) {
  context.state.advice.callers[member] = {
      .wait = wait, .urgent_wait = urgent_wait, .reported_at = context.now};
}

void ForgetAdviceCaller(Context& context, const std::string& member) {
  AdviceState& advice = context.state.advice;
  advice.order = AdviceCallerOrder();  // refers to the callers
  advice.callers.erase(member);
}

void AvoidAdviceCaller(Context& context, const AdviceQuery& query) {
  if (FindMember(context.state, query.member) == nullptr) {
    return;
  }
  AdviceCaller& caller = context.state.advice.callers[query.member];
  caller.unresponsive = caller.unresponsive || IsQueryLost(context, query);
  // The member is busier than it reported.
  for (Duration* wait : {&caller.wait, &caller.urgent_wait}) {
    *wait = std::max(*wait, context.now - query.sent_at);
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
