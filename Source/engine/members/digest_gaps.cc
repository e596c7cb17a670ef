#include "engine/members/digest_gaps.h"

#include <algorithm>
#include <cstdint>

#include "engine/members/digest_relay.h"
#include "engine/members/membership.h"
#include "engine/members/query_pacing.h"

namespace burdockrock::engine {

namespace {

// Longer than a digest waits at a relay, so that one that only comes late is
// not requested.
constexpr Duration kReorderDelay = milliseconds(250);
// Longer than a relay takes to request the missing digest and to pass it on.
// Otherwise the loss of a relay would have each member of its failure domain
// request a digest of each member of the others.
constexpr Duration kRepairDelay = milliseconds(600);

static_assert(kReorderDelay > kRelayDelay);
static_assert(kRepairDelay > kReorderDelay + kRelayDelay);

Duration DelayOf(DigestRoute route) {
  switch (route) {
    case DigestRoute::kDirect:
      return Duration(0);
    case DigestRoute::kToRelay:
      return kReorderDelay;
    case DigestRoute::kRelayed:
      return kRepairDelay;
  }
  return Duration(0);
}

// A digest without changes repeats the sequence of the last one with changes.
// Counting it as that one would hide that a single digest was missed.
bool HasChanges(const RoomDigest& digest) {
  return !digest.workers.empty() || !digest.waiting.empty();
}

void NoteGap(Context& context,
             const std::string& from,
             const RoomDigest& digest,
             DigestRoute route) {
  if (context.state.digest.full_requested_at.contains(from)) {
    return;
  }
  DigestGap& gap = context.state.digest_relay.gaps[from];
  gap.up_to = std::max(gap.up_to, digest.sequence);
  if (HasChanges(digest)) {
    gap.received.insert(digest.sequence);
  }
  for (const QueueWaiting& it : digest.waiting) {
    std::uint64_t& told = gap.queues[it.queue];
    told = std::max(told, digest.sequence);
  }
  gap.request_at = std::min(gap.request_at, context.now + DelayOf(route));
  gap.pass_on = gap.pass_on || route == DigestRoute::kToRelay;
}

// Counts the digests that came before `last` did.
void CloseGap(DigestRelayState& relay,
              const std::string& from,
              std::uint64_t& last) {
  const auto it = relay.gaps.find(from);
  if (it == relay.gaps.end()) {
    return;
  }
  while (it->second.received.contains(last + 1)) {
    ++last;
  }
  if (last >= it->second.up_to) {
    relay.gaps.erase(it);
  }
}

void RequestDueGaps(Context& context) {
  DigestRelayState& relay = context.state.digest_relay;
  for (auto it = relay.gaps.begin(); it != relay.gaps.end();) {
    if (it->second.request_at > context.now) {
      ++it;
      continue;
    }
    context.state.digest.full_requested_at.try_emplace(it->first, Time::min());
    if (it->second.pass_on) {
      relay.repairs.insert(it->first);
    }
    it = relay.gaps.erase(it);
  }
}

}  // namespace

std::uint64_t LatestSequence(const State& state, const std::string& from) {
  const auto last = state.digest.received_up_to.find(from);
  const auto gap = state.digest_relay.gaps.find(from);
  return std::max(last == state.digest.received_up_to.end() ? 0 : last->second,
                  gap == state.digest_relay.gaps.end() ? 0 : gap->second.up_to);
}

bool IsLatestOfQueue(const State& state,
                     const std::string& from,
                     const RoomDigest& digest,
                     const std::string& queue) {
  const auto gap = state.digest_relay.gaps.find(from);
  if (gap == state.digest_relay.gaps.end()) {
    return true;
  }
  const auto told = gap->second.queues.find(queue);
  return told == gap->second.queues.end() || told->second <= digest.sequence;
}

void NoteSequence(Context& context,
                  const std::string& from,
                  const RoomDigest& digest,
                  DigestRoute route) {
  DigestState& state = context.state.digest;
  std::uint64_t& last = state.received_up_to[from];
  if (digest.whole) {
    last = std::max(last, digest.sequence);
    state.full_requested_at.erase(from);
    NoteAnswered(context, from, RepeatedQuery::kDigest);
  } else if (HasChanges(digest) && digest.sequence == last + 1) {
    last = digest.sequence;
  } else if (digest.sequence > last) {
    return NoteGap(context, from, digest, route);
  }
  CloseGap(context.state.digest_relay, from, last);
}

void RequestMissedDigests(Context& context) {
  RequestDueGaps(context);
  const auto has_left = [&](const std::string& member) {
    return FindMember(context.state, member) == nullptr;
  };
  auto& requested = context.state.digest.full_requested_at;
  for (auto& [member, asked] : requested) {
    if (HasPassed(context.now, asked,
                  kFullDigestRetryDelay + DelayWhenLate(context.state)) &&
        MayRepeat(context, member, RepeatedQuery::kDigest)) {
      NoteQueried(context, member, RepeatedQuery::kDigest);
      asked = context.now;
      Send(context, member, DigestRequest());
    }
  }
  std::erase_if(requested, [&](const auto& it) { return has_left(it.first); });
  std::erase_if(context.state.digest_relay.repairs, has_left);
}

}  // namespace burdockrock::engine
