#include "scheduler/forwarding.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "scheduler/context.h"
#include "scheduler/request_admission.h"

namespace burdockrock {

namespace {

// A request with less time left than a round trip to a peer is not forwarded.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(5);

std::int64_t FreeSlots(const Peer& peer, const std::string& service) {
  const auto sent = peer.forwarded_requests.find(service);
  const std::int64_t forwarded =
      sent == peer.forwarded_requests.end() ? 0 : sent->second;
  for (const ServiceRoom& it : peer.digest.services) {
    if (it.service == service) {
      return it.waiting > 0 ? 0 : it.free_slots - forwarded;
    }
  }
  return 0;
}

// The peer did not run the request: admits it here again, unless the refusal is
// final.
void OnForwardRefused(Context& context,
                      RequestEntry& entry,
                      const NotRun& refusal) {
  entry.state = RequestState::kQueued;
  entry.peer.clear();
  const bool is_final = refusal.reason == Reason::kInvalid ||
                        refusal.reason == Reason::kCancelled ||
                        refusal.reason == Reason::kDeadline;
  if (is_final) {
    RefuseRequest(context, entry.request.id, refusal);
    return;
  }
  ++context.state().counters.forwards_refused;
  AdmitRequest(context, entry);
}

}  // namespace

bool IsUsable(const Context& context, const Peer& peer) {
  const ForwardingPolicy& policy = context.policy().forwarding;
  if (!peer.alive || !peer.digest.serving || peer.digest.draining ||
      peer.leaving) {
    return false;
  }
  const Duration age = context.now() - peer.digest_at;
  const bool is_far = peer.domain != context.state().self.domain;
  const Duration oldest = context.policy().membership.digest_max_age *
                          (is_far ? FarDigestRotation(context) : 1);
  if (policy.gate && age > oldest) {
    return false;
  }
  return !policy.one_strike || !peer.refused_work;
}

std::string ChoosePeerForRequest(Context& context, const std::string& service) {
  std::vector<const Peer*> candidates;
  for (const auto& [id, peer] : context.state().membership.peers) {
    if (IsUsable(context, peer) && FreeSlots(peer, service) > 0) {
      candidates.push_back(&peer);
    }
  }
  if (candidates.empty()) {
    return "";
  }
  const auto pick = [&] {
    const auto at = static_cast<std::size_t>(
        context.Random() * static_cast<double>(candidates.size()));
    return candidates[std::min(at, candidates.size() - 1)];
  };
  const Peer* first = pick();
  const Peer* second = pick();
  return FreeSlots(*second, service) > FreeSlots(*first, service) ? second->id
                                                                  : first->id;
}

bool ForwardToPeer(Context& context,
                   RequestEntry& entry,
                   const std::string& peer) {
  const Duration left = entry.deadline - context.now();
  if (entry.forwarded_once || left < kMinTimeLeft) {
    return false;
  }
  entry.state = RequestState::kForwarded;
  entry.forwarded_once = true;
  entry.peer = peer;
  ++context.state()
        .membership.peers.at(peer)
        .forwarded_requests[entry.request.service];
  ++context.state().counters.forwards;
  Request request = entry.request;
  request.deadline = left;
  context.Send(peer, ForwardRequest{.request = std::move(request)});
  return true;
}

void OnForwardAnswer(Context& context,
                     const std::string& from,
                     const ForwardAnswer& answer) {
  State& state = context.state();
  const auto it = state.requests.entries.find(answer.answer.id);
  if (it == state.requests.entries.end() ||
      it->second.state != RequestState::kForwarded || it->second.peer != from) {
    return;  // late or duplicate
  }
  RequestEntry& entry = it->second;
  if (const auto* refusal = std::get_if<NotRun>(&answer.answer.verdict)) {
    state.membership.peers.at(from).refused_work = true;
    OnForwardRefused(context, entry, *refusal);
    return;
  }
  entry.dispatched = true;
  entry.started = std::min(entry.arrived + answer.answer.waited, context.now());
  FinishRequest(context, answer.answer.id, answer.answer.verdict);
}

void OnForwardUndelivered(Context& context, const ForwardRequest& forward) {
  State& state = context.state();
  const auto it = state.requests.entries.find(forward.request.id);
  if (it == state.requests.entries.end() ||
      it->second.state != RequestState::kForwarded) {
    return;
  }
  const auto peer = state.membership.peers.find(it->second.peer);
  if (peer != state.membership.peers.end()) {
    peer->second.refused_work = true;
  }
  OnForwardRefused(
      context, it->second,
      {.reason = Reason::kOverloaded, .detail = "peer not reached"});
}

void FailForwarded(Context& context, const std::string& peer) {
  std::vector<std::string> ids;
  for (const auto& [id, entry] : context.state().requests.entries) {
    if (entry.state == RequestState::kForwarded && entry.peer == peer) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  for (const std::string& it : ids) {
    FinishRequest(context, it,
                  MayHaveRun{.reason = Reason::kOwnerLost,
                             .detail = "the entry instance that ran it died"});
  }
}

}  // namespace burdockrock
