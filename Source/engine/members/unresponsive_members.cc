#include "engine/members/unresponsive_members.h"

#include <algorithm>
#include <chrono>

#include "engine/members/membership.h"
#include "engine/members/query_pacing.h"

namespace burdockrock::engine {

namespace {

// Longer than two hops between failure domains plus a pause of the member's
// process.
constexpr Duration kMinOfferTimeout = std::chrono::milliseconds(120);
// Short enough to keep most offers from a member that is cut off.
constexpr Duration kMaxOfferTimeout = std::chrono::milliseconds(500);

}  // namespace

void NoteOfferSent(Context& context, const std::string& member) {
  if (member != context.self()) {
    context.state.unresponsive_members.awaiting_reply.emplace(member,
                                                              context.now);
  }
}

void NoteMessageReceived(Context& context, const std::string& member) {
  NoteHeard(context, member);
  UnresponsiveMembers& unresponsive_members =
      context.state.unresponsive_members;
  auto offered = unresponsive_members.awaiting_reply.extract(member);
  if (offered.empty()) {
    offered = unresponsive_members.unresponsive.extract(member);
    if (!offered.empty()) {
      ++unresponsive_members.version;
      context.state.placement_due = true;
    }
  }
  if (!offered.empty()) {
    const Duration elapsed = context.now - offered.mapped();
    unresponsive_members.response_time =
        unresponsive_members.response_time.With(
            std::min(elapsed, kMaxOfferTimeout));
  }
}

void DriveUnresponsiveMembers(Context& context) {
  UnresponsiveMembers& unresponsive_members =
      context.state.unresponsive_members;
  ForgetQueriesOfDeparted(context);
  unresponsive_members.version +=
      std::erase_if(unresponsive_members.unresponsive, [&](const auto& it) {
        return FindMember(context.state, it.first) == nullptr;
      });
  const Duration timeout = unresponsive_members.response_time.Timeout(
      kMinOfferTimeout, kMaxOfferTimeout);
  for (auto it = unresponsive_members.awaiting_reply.begin();
       it != unresponsive_members.awaiting_reply.end();) {
    if (!HasPassed(context.now, it->second, timeout)) {
      ++it;
      continue;
    }
    context.Log(EventNumber::kOffersUnanswered, {{"member", it->first}});
    ++unresponsive_members.version;
    unresponsive_members.unresponsive.insert(
        unresponsive_members.awaiting_reply.extract(it++));
  }
}

}  // namespace burdockrock::engine
