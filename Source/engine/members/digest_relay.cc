#include "engine/members/digest_relay.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

#include <xxhash.h>

#include "engine/members/digests.h"
#include "engine/members/member_features.h"
#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// Members of a failure domain that get digests directly, which is faster.
constexpr std::size_t kMaxDirectReceivers = 16;
// Digests go to so many relays of a failure domain in turn. The next one then
// reveals that a relay did not pass on the last one.
constexpr std::uint64_t kRelaysInTurn = 2;
// Orders the members of a failure domain by how well they can serve as relays:
// those that answer before others, then machines with more processors. All
// senders have the same order, as far as they know the same members.
auto RelayRank(const Context& context, const MemberRecord& member) {
  const std::string& id = member.incarnation;
  return std::tuple(
      context.state.unresponsive_members.unresponsive.contains(id),
      -static_cast<std::int64_t>(member.weight),
      XXH64(id.data(), id.size(), 0));
}

using Members = std::vector<const MemberRecord*>;

// The relay whose turn it is. Members that started together begin with
// different ones.
const std::string& RelayOf(const Context& context, Members& members) {
  const std::string& self = context.self();
  const std::uint64_t turn =
      context.state.digest_relay.sent + XXH64(self.data(), self.size(), 0);
  const auto relay =
      members.begin() + static_cast<std::ptrdiff_t>(turn % kRelaysInTurn);
  std::nth_element(members.begin(), relay, members.end(),
                   [&](const MemberRecord* it, const MemberRecord* other) {
                     return RelayRank(context, *it) <
                            RelayRank(context, *other);
                   });
  return (*relay)->incarnation;
}

// Offers may go to the member again: it is at work, though it has sent nothing
// to this instance.
void NoteHeardOf(Context& context, const std::string& member) {
  if (context.state.unresponsive_members.unresponsive.erase(member) > 0) {
    ++context.state.unresponsive_members.version;
    context.state.placement_due = true;
  }
}

}  // namespace

DigestReceivers ReceiversOf(const Context& context) {
  DigestReceivers receivers;
  std::map<std::string, Members> others;
  for (const auto& [incarnation, it] : context.state.members.present) {
    const std::string& domain = it.record.domain;
    if (incarnation == context.self()) {
      continue;
    }
    if (domain == context.state.options.self.domain ||
        !KnowsRelays(incarnation)) {
      receivers.direct.push_back(incarnation);
    } else {
      others[domain].push_back(&it.record);
    }
  }
  for (auto& [domain, members] : others) {
    if (members.size() > kMaxDirectReceivers) {
      receivers.relays.push_back(RelayOf(context, members));
      continue;
    }
    for (const MemberRecord* it : members) {
      receivers.direct.push_back(it->incarnation);
    }
  }
  return receivers;
}

void KeepForOthers(Context& context,
                   const std::string& from,
                   const RoomDigest& digest) {
  DigestRelayState& relay = context.state.digest_relay;
  const bool repairs = digest.whole && relay.repairs.erase(from) > 0;
  if (!digest.pass_on && !repairs) {
    return;
  }
  if (relay.waiting.empty()) {
    relay.waiting_since = context.now;
  }
  relay.waiting.push_back({.from = from, .digest = digest});
  relay.waiting.back().digest.pass_on = false;
}

void PassOnDigests(Context& context, bool sent_own) {
  DigestRelayState& relay = context.state.digest_relay;
  const bool due =
      sent_own || HasPassed(context.now, relay.waiting_since, kRelayDelay);
  if (relay.waiting.empty() || !due) {
    return;
  }
  const RelayedDigests message{.digests = std::exchange(relay.waiting, {})};
  for (const auto& [incarnation, it] : context.state.members.present) {
    if (incarnation != context.self() && KnowsRelays(incarnation) &&
        it.record.domain == context.state.options.self.domain) {
      Send(context, incarnation, message);
    }
  }
}

void OnRelayedDigests(Context& context, const RelayedDigests& relayed) {
  for (const RelayedDigest& it : relayed.digests) {
    if (it.from != context.self() &&
        FindMember(context.state, it.from) != nullptr) {
      NoteHeardOf(context, it.from);
      OnRoomDigest(context, it.from, it.digest, DigestRoute::kRelayed);
    }
  }
}

}  // namespace burdockrock::engine
