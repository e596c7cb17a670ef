#include "engine/members/unresponsive_members.h"

#include <algorithm>
#include <chrono>

#include "engine/members/membership.h"

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
    context.state.silence.asked.emplace(member, context.now);
  }
}

void NoteMessageReceived(Context& context, const std::string& member) {
  SilenceState& silence = context.state.silence;
  auto offered = silence.asked.extract(member);
  if (offered.empty()) {
    offered = silence.silent.extract(member);
    context.state.placement_due |= !offered.empty();
  }
  if (!offered.empty()) {
    const Duration elapsed = context.now - offered.mapped();
    silence.answers = silence.answers.With(std::min(elapsed, kMaxOfferTimeout));
  }
}

void DriveUnresponsiveMembers(Context& context) {
  SilenceState& silence = context.state.silence;
  std::erase_if(silence.silent, [&](const auto& it) {
    return FindMember(context.state, it.first) == nullptr;
  });
  const Duration timeout =
      silence.answers.Timeout(kMinOfferTimeout, kMaxOfferTimeout);
  for (auto it = silence.asked.begin(); it != silence.asked.end();) {
    if (!HasPassed(context.now, it->second, timeout)) {
      ++it;
      continue;
    }
    context.Log(EventNumber::kOffersUnanswered, {{"member", it->first}});
    silence.silent.insert(silence.asked.extract(it++));
  }
}

}  // namespace burdockrock::engine
