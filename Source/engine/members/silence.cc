#include "engine/members/silence.h"

#include <algorithm>
#include <chrono>

#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// Longer than two hops between failure domains plus a pause of the member's
// process.
constexpr Duration kLeastSilence = std::chrono::milliseconds(120);
// Short enough to keep most offers from a member that is cut off.
constexpr Duration kMostSilence = std::chrono::milliseconds(500);

}  // namespace

void NoteOffer(Context& context, const std::string& member) {
  if (member != context.self()) {
    context.state.silence.asked.emplace(member, context.now);
  }
}

void NoteWord(Context& context, const std::string& member) {
  SilenceState& silence = context.state.silence;
  auto offered = silence.asked.extract(member);
  if (offered.empty()) {
    offered = silence.silent.extract(member);
    context.state.placement_due |= !offered.empty();
  }
  if (!offered.empty()) {
    const Duration took = context.now - offered.mapped();
    silence.answers = silence.answers.With(std::min(took, kMostSilence));
  }
}

void DriveSilence(Context& context) {
  SilenceState& silence = context.state.silence;
  std::erase_if(silence.silent, [&](const auto& it) {
    return FindMember(context.state, it.first) == nullptr;
  });
  const Duration timeout = silence.answers.Timeout(kLeastSilence, kMostSilence);
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
