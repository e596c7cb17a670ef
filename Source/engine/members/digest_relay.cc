#include "engine/members/digest_relay.h"

#include <algorithm>
#include <map>
#include <utility>

#include <fmt/format.h>

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
// Draws for a second relay that differs from the first one.
constexpr std::uint64_t kMaxDraws = 8;
// Longest wait for a digest of the relay's own.
constexpr Duration kRelayDelay = milliseconds(1000);

bool IsNews(const State& state, const WorkerRoom& room) {
  const auto view = state.view.find(room.worker);
  return view == state.view.end() || view->second.fence != room.fence ||
         view->second.accepting != room.accepting ||
         view->second.lost != room.lost;
}

// The relay whose turn it is; another one than that of the other turn if the
// hashing gives one.
std::string RelayOf(const Context& context, const std::string& domain) {
  const auto choose = [&](std::uint64_t draw) {
    return ChooseMember(context.state,
                        fmt::format("relay/{}/{}", draw, context.self()),
                        domain);
  };
  std::string first = choose(0);
  if (context.state.digest_relay.sent % kRelaysInTurn == 0) {
    return first;
  }
  std::string second = first;
  for (std::uint64_t draw = 1; draw < kMaxDraws && second == first; ++draw) {
    second = choose(draw);
  }
  return second;
}

// Offers may go to the member again: it is at work, though it has sent nothing
// to this instance.
void NoteHeardOf(Context& context, const std::string& member) {
  if (context.state.unresponsive_members.unresponsive.erase(member) > 0) {
    context.state.placement_due = true;
  }
}

}  // namespace

DigestReceivers ReceiversOf(const Context& context) {
  DigestReceivers receivers;
  std::map<std::string, std::vector<std::string>> others;
  for (const auto& [incarnation, it] : context.state.members.present) {
    const std::string& domain = it.record.domain;
    if (incarnation == context.self()) {
      continue;
    }
    if (domain == context.state.options.self.domain ||
        !KnowsRelays(incarnation)) {
      receivers.direct.push_back(incarnation);
    } else {
      others[domain].push_back(incarnation);
    }
  }
  for (auto& [domain, members] : others) {
    std::string relay;
    if (members.size() > kMaxDirectReceivers) {
      relay = RelayOf(context, domain);
    }
    if (std::find(members.begin(), members.end(), relay) != members.end()) {
      receivers.relays.push_back(std::move(relay));
    } else {
      receivers.direct.insert(receivers.direct.end(), members.begin(),
                              members.end());
    }
  }
  return receivers;
}

void KeepForOthers(Context& context,
                   const std::string& from,
                   const RoomDigest& digest) {
  DigestRelayState& relay = context.state.digest_relay;
  if (relay.waiting.empty()) {
    relay.waiting_since = context.now;
  }
  // What teams send is counted in windows that a late digest would miss.
  relay.urgent = relay.urgent || digest.load ||
                 std::any_of(digest.workers.begin(), digest.workers.end(),
                             [&](const WorkerRoom& it) {
                               return IsNews(context.state, it);
                             });
  relay.waiting.push_back({.from = from, .digest = digest});
  relay.waiting.back().digest.pass_on = false;
}

void PassOnDigests(Context& context, bool sent_own) {
  DigestRelayState& relay = context.state.digest_relay;
  const bool urgent = relay.urgent && HasPassed(context.now, relay.passed_on_at,
                                                kDigestInterval);
  const bool overdue = !relay.waiting.empty() &&
                       HasPassed(context.now, relay.waiting_since, kRelayDelay);
  if (relay.waiting.empty() || (!sent_own && !urgent && !overdue)) {
    return;
  }
  relay.passed_on_at = context.now;
  relay.urgent = false;
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
      OnRoomDigest(context, it.from, it.digest);
    }
  }
}

}  // namespace burdockrock::engine
