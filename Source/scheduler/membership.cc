#include "scheduler/membership.h"

#include <algorithm>
#include <utility>

#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"
#include "scheduler/journal_check.h"
#include "scheduler/request_admission.h"

namespace burdockrock {

namespace {

// Up to so many peers every digest goes to all of them. Beyond, a member of
// another domain hears from this one in turn, so that a deployment's digests
// grow with the members of a domain and the number of domains, not with their
// product.
constexpr std::size_t kFullMeshPeers = 8;

// A member of another domain gets every second digest at most: it is needed
// there to forward by and not to own workers by.
constexpr std::uint64_t kFarDigestEvery = 2;
// In periods of membership.peer_silent.
constexpr std::int64_t kLeastFarPatience = 2;

// A watcher whose platform is silent for longer hands the watch to a member
// that still reaches it.
constexpr Duration kWatcherPlatformAge = std::chrono::seconds(5);

// A peer is asked for documents at most once in this time.
constexpr Duration kPullInterval = std::chrono::milliseconds(300);

// Incarnations are made from the clock, in a notation whose order by length
// and then by text is the order of time.
bool IsOlder(const std::string& left, const std::string& right) {
  if (left.size() != right.size()) {
    return left.size() < right.size();
  }
  return left < right;
}

Digest MakeDigest(Context& context) {
  State& state = context.state();
  Digest digest;
  digest.sequence = ++state.membership.digest_sequence;
  digest.serving = IsServing(context);
  digest.draining = state.drain.draining;
  for (const auto& [service, policy] : state.config.policy.services) {
    const auto it = state.requests.services.find(service);
    const std::size_t waiting =
        it == state.requests.services.end() ? 0 : it->second.size();
    digest.services.push_back(
        {.service = service,
         .free_slots = state.placement.free_slots(service),
         .waiting = static_cast<std::int64_t>(waiting)});
  }
  digest.free = state.placement.total_free();
  digest.waiting_tasks = state.jobs.queued_tasks;
  digest.owned = state.ownership.owned;
  digest.config_revision = state.config.view.revision;
  digest.instances_revision = state.membership.instances.revision;
  digest.platform_age = state.platform_ever
                            ? context.now() - state.platform_seen
                            : Duration(std::chrono::hours(1));
  for (const auto& [name, journal] : state.jobs.journals) {
    if (journal.ready) {
      digest.logs.push_back({.name = name, .generation = journal.generation});
    }
  }
  return digest;
}

void SendDigests(Context& context) {
  State& state = context.state();
  const Digest digest = MakeDigest(context);
  if (digest.serving && state.membership.announced == Time(0)) {
    state.membership.announced = context.now();
  }
  const bool full = state.membership.peers.size() <= kFullMeshPeers;
  std::map<std::string, std::vector<std::string>> others;
  const bool far = digest.sequence % kFarDigestEvery == 0;
  for (const auto& [id, peer] : state.membership.peers) {
    const bool is_near = peer.domain == state.self.domain;
    if (is_near || (full && far)) {
      context.Send(id, digest);
    } else if (!full) {
      others[peer.domain].push_back(id);
    }
  }
  for (const auto& [domain, ids] : others) {
    if (far) {
      context.Send(ids[digest.sequence / kFarDigestEvery % ids.size()], digest);
    }
  }
}

// What was given to the peer's process may or may not be done.
void OnPeerLost(Context& context, const std::string& id) {
  FailForwarded(context, id);
  for (auto& [job_id, job] : context.state().jobs.jobs) {
    for (std::uint32_t it = 0; it < job.tasks.size(); ++it) {
      const Task& task = job.tasks[it];
      // Also one that was told to stop: the word may be lost with the peer, and
      // the job would wait for its end for ever.
      if (IsOutstanding(task) && task.owner == id) {
        OrphanTask(context, job, it);
      }
    }
  }
  if (context.state().membership.peers.at(id).domain ==
      context.state().self.domain) {
    context.At(context.now(), TimerKind::kOrphanScan);
  }
}

void ReviewPeers(Context& context) {
  State& state = context.state();
  const Duration limit = context.policy().membership.peer_silent;
  const std::int64_t turns = FarDigestTurns(context);
  for (auto& [id, peer] : state.membership.peers) {
    const bool is_far = peer.domain != state.self.domain;
    const Duration patience =
        is_far ? limit * std::max(turns, kLeastFarPatience) : limit;
    if (peer.alive && context.now() - peer.last_heard > patience) {
      peer.alive = false;
      context.Log(EventNumber::kPeerSilent, {{"peer", id}});
      OnPeerLost(context, id);
    }
  }
  const std::vector<std::string> members = DomainMembers(context);
  if (members != state.membership.members) {
    state.membership.members = members;
    ReassignOwners(context);
  }
  context.At(context.now(), TimerKind::kWatch);
}

void AddPeer(Context& context,
             const std::string& id,
             const std::string& domain,
             const std::string& address) {
  State& state = context.state();
  if (id == state.self.instance) {
    return;
  }
  Peer& peer = state.membership.peers[id];
  peer.id = id;
  if (!domain.empty()) {
    peer.domain = domain;
  }
  if (!address.empty()) {
    peer.address = address;
  }
}

void ApplyWorkerInfo(Context& context, const InstanceInfo& info) {
  Ownership& ownership = context.state().ownership;
  WorkerRecord& worker = ownership.workers[info.id];
  const bool was_leaving = worker.info.leaving;
  worker.info = info;
  // Signs of leaving are never undone: an older list that comes late must not
  // send new work to a backend that has gone.
  worker.info.leaving = info.leaving || was_leaving;
  if (worker.removed) {
    worker.removed = false;
    ownership.pending.insert(info.id);
  }
  if (worker.info.leaving != was_leaving) {
    UpdateOpen(context, worker);
  }
}

void RemoveMissing(Context& context, const std::vector<InstanceInfo>& list) {
  State& state = context.state();
  std::vector<std::string> present;
  present.reserve(list.size());
  for (const InstanceInfo& it : list) {
    present.push_back(it.id);
  }
  std::sort(present.begin(), present.end());
  for (auto& [id, worker] : state.ownership.workers) {
    if (worker.removed ||
        std::binary_search(present.begin(), present.end(), id)) {
      continue;
    }
    worker.removed = true;
    worker.removed_at = context.now();
    context.Log(EventNumber::kWorkerRemoved, {{"worker", id}});
    UpdateOpen(context, worker);
    const LeasePolicy& lease = context.policy().lease;
    context.After(kListLag + lease.task_lease + lease.drift,
                  TimerKind::kLeaseBound, id);
  }
}

}  // namespace

void StartMembership(Context& context) {
  State& state = context.state();
  for (const PeerAddress& it : state.self.peers) {
    AddPeer(context, it.id, it.domain, it.address);
  }
  context.At(context.now(), TimerKind::kDigest);
  context.At(context.now(), TimerKind::kWatch);
}

void OnDigestTimer(Context& context) {
  State& state = context.state();
  const MembershipPolicy& policy = context.policy().membership;
  if (context.now() - state.started >= policy.peer_silent) {
    state.membership.settled = true;
  }
  ReviewPeers(context);
  RefuseUnservable(context);
  SendDigests(context);
  ReviewOwnership(context);
  context.After(policy.digest, TimerKind::kDigest);
}

bool NotePeer(Context& context, const PeerSaid& said) {
  State& state = context.state();
  if (said.from == state.self.instance) {
    return false;
  }
  AddPeer(context, said.from, said.domain, "");
  Peer& peer = state.membership.peers[said.from];
  if (peer.incarnation != said.incarnation) {
    if (peer.alive && IsOlder(said.incarnation, peer.incarnation)) {
      return false;
    }
    const bool replaced = !peer.incarnation.empty();
    peer.incarnation = said.incarnation;
    peer.digest = {};
    peer.offer_sequence = 0;
    peer.accepted_sequence = 0;
    peer.lent.clear();
    if (replaced) {
      OnPeerLost(context, said.from);
    }
  }
  peer.last_heard = context.now();
  if (!peer.alive) {
    peer.alive = true;
    context.Log(EventNumber::kPeerUp,
                {{"peer", said.from}, {"incarnation", said.incarnation}});
  }
  return true;
}

void OnDigest(Context& context, const PeerSaid& said, const Digest& digest) {
  State& state = context.state();
  Peer& peer = state.membership.peers[said.from];
  if (digest.sequence <= peer.digest.sequence) {
    return;  // late or doubled: a newer one is known
  }
  if (digest.draining && !peer.digest.draining) {
    context.Log(EventNumber::kPeerLeaving, {{"peer", said.from}});
  }
  const bool role_changed = digest.draining != peer.digest.draining ||
                            digest.serving != peer.digest.serving;
  peer.digest = digest;
  peer.digest_at = context.now();
  peer.lent.clear();
  peer.lent_room = {};
  peer.struck = false;
  YieldJournals(context, said.from, digest.logs);
  if (role_changed) {
    ReviewPeers(context);
    ReviewOwnership(context);
  }
  const bool is_behind =
      digest.config_revision > state.config.latest_revision ||
      digest.instances_revision > state.membership.instances.revision;
  if (is_behind && context.now() - peer.pulled_at >= kPullInterval) {
    peer.pulled_at = context.now();
    context.Send(said.from,
                 PullDocuments{.config_revision = state.config.latest_revision,
                               .instances_revision =
                                   state.membership.instances.revision});
  }
  PumpRequests(context);
  if (state.jobs.queued_tasks > 0) {
    state.tasks.pass_needed = true;
  }
}

void ApplyInstances(Context& context, const InstanceList& list) {
  State& state = context.state();
  Membership& membership = state.membership;
  if (membership.has_instances &&
      list.revision <= membership.instances.revision) {
    return;
  }
  membership.instances = list;
  membership.has_instances = true;
  for (const InstanceInfo& it : list.instances) {
    if (it.role == InstanceRole::kEntry) {
      AddPeer(context, it.id, it.domain, it.address);
      if (it.leaving && it.id != state.self.instance) {
        membership.peers[it.id].leaving = true;
      }
    } else if (it.domain == state.self.domain) {
      ApplyWorkerInfo(context, it);
    }
  }
  RemoveMissing(context, list.instances);
  membership.members = DomainMembers(context);
  ReassignOwners(context);
  ReviewOwnership(context);
}

void OnPullDocuments(Context& context,
                     const std::string& from,
                     const PullDocuments& pull) {
  State& state = context.state();
  if (state.config.view.revision > pull.config_revision) {
    context.Send(from, ConfigDocument{.view = state.config.view});
  }
  if (state.membership.instances.revision > pull.instances_revision) {
    context.Send(from, InstancesDocument{.list = state.membership.instances});
  }
}

bool IsServing(const Context& context) {
  const State& state = context.state();
  return state.config.loaded && state.membership.has_instances &&
         state.membership.settled;
}

std::int64_t FarDigestTurns(const Context& context) {
  const State& state = context.state();
  const auto& peers = state.membership.peers;
  if (peers.size() <= kFullMeshPeers) {
    return 1;
  }
  const auto near = std::count_if(
      peers.begin(), peers.end(),
      [&](const auto& it) { return it.second.domain == state.self.domain; });
  return near + 1;
}

bool IsDomainPeer(const Context& context, const Peer& peer) {
  return peer.alive && peer.domain == context.state().self.domain;
}

std::vector<std::string> DomainMembers(const Context& context) {
  const State& state = context.state();
  std::vector<std::string> members;
  const bool is_announced = state.membership.announced != Time(0) &&
                            context.now() - state.membership.announced >=
                                context.policy().membership.digest;
  if (IsServing(context) && is_announced && !state.drain.draining) {
    members.push_back(state.self.instance);
  }
  for (const auto& [id, peer] : state.membership.peers) {
    if (IsDomainPeer(context, peer) && peer.digest.serving &&
        !peer.digest.draining && !peer.leaving) {
      members.push_back(id);
    }
  }
  std::sort(members.begin(), members.end());
  return members;
}

std::size_t CountLivePeers(const Context& context) {
  const auto& peers = context.state().membership.peers;
  const auto live =
      std::count_if(peers.begin(), peers.end(), [](const auto& it) {
        return it.second.alive && it.second.digest.serving;
      });
  return static_cast<std::size_t>(live) + 1;
}

bool IsWatcher(const Context& context) {
  const State& state = context.state();
  const std::uint64_t own = StableHash("watcher", state.self.instance);
  const bool own_reaches =
      !state.platform_ever || state.platform_ok ||
      context.now() - state.platform_seen < kWatcherPlatformAge;
  for (const auto& [id, peer] : state.membership.peers) {
    if (!IsDomainPeer(context, peer) || peer.digest.draining) {
      continue;
    }
    const bool peer_reaches = peer.digest.platform_age < kWatcherPlatformAge;
    if (!peer_reaches) {
      continue;
    }
    if (!own_reaches || StableHash("watcher", id) < own) {
      return false;
    }
  }
  return true;
}

}  // namespace burdockrock
