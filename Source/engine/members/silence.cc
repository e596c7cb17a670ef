#include "engine/members/silence.h"

#include <algorithm>
#include <chrono>

#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// Two hops between failure domains and a pause of the member's process take
// less.
constexpr Duration kLeastSilence = std::chrono::milliseconds(120);
// Keeps most offers from a member that is cut off.
constexpr Duration kMostSilence = std::chrono::milliseconds(500);

}  // namespace

void NoteOffer(Context& context, const std::string& member) {
  if (member != context.self()) {
    context.state.unresponsive_members.awaiting_reply.emplace(member,
                                                              context.now);
  }
}

void NoteWord(Context& context, const std::string& member) {
  UnresponsiveMembers& silence = context.state.unresponsive_members;
  auto offered = silence.awaiting_reply.extract(member);
  if (offered.empty()) {
    offered = silence.unresponsive.extract(member);
    context.state.placement_due |= !offered.empty();
  }
  if (!offered.empty()) {
    const Duration took = context.now - offered.mapped();
    silence.response_time =
        silence.response_time.With(std::min(took, kMostSilence));
  }
}

void DriveSilence(Context& context) {
  UnresponsiveMembers& silence = context.state.unresponsive_members;
  std::erase_if(silence.unresponsive, [&](const auto& it) {
    return FindMember(context.state, it.first) == nullptr;
  });
  const Duration timeout =
      silence.response_time.Timeout(kLeastSilence, kMostSilence);
  for (auto it = silence.awaiting_reply.begin();
       it != silence.awaiting_reply.end();) {
    if (!HasPassed(context.now, it->second, timeout)) {
      ++it;
      continue;
    }
    context.Log(EventNumber::kOffersUnanswered, {{"member", it->first}});
    silence.unresponsive.insert(silence.awaiting_reply.extract(it++));
  }
}

}  // namespace burdockrock::engine
