#include "scheduler/membership.h"

#include <algorithm>
#include <utility>

#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"
#include "scheduler/journal_check.h"
#include "scheduler/request_admission.h"
#include "scheduler/worker_restarts.h"

namespace burdockrock {

namespace {

// Up to this many peers, all members of the other domains get digests. Beyond
// that, only one member of each other domain does, in rotation, so that the
// number of digests grows with the members of a domain plus the number of
// domains, not with their product.
constexpr std::size_t kFullMeshPeers = 8;

// Other domains get only the digests whose sequence number is a multiple of
// this: they use them only for forwarding, not for the ownership of workers.
constexpr std::uint64_t kFarDigestInterval = 2;
// In units of membership.peer_silent.
constexpr std::int64_t kMinFarTimeoutFactor = 2;

// If the watcher had no answer from the platform for longer, another member
// that still reaches the platform takes over.
constexpr Duration kMaxWatcherPlatformAge = std::chrono::seconds(5);

// Minimum interval between two PullDocuments messages to the same peer.
constexpr Duration kPullInterval = std::chrono::milliseconds(300);

// Incarnations are derived from the clock and encoded so that their order by
// length, then by text, is chronological.
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
  digest.platform_age = state.platform_ever_answered
                            ? context.now() - state.platform_last_answer
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
  if (digest.serving && state.membership.announced_at == Time(0)) {
    state.membership.announced_at = context.now();
  }
  const bool full = state.membership.peers.size() <= kFullMeshPeers;
  std::map<std::string, std::vector<std::string>> others;
  const bool far = digest.sequence % kFarDigestInterval == 0;
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
      context.Send(ids[digest.sequence / kFarDigestInterval % ids.size()],
                   digest);
    }
  }
}

// The peer's process is lost: the work that it was given may or may not be
// running.
void OnPeerLost(Context& context, const std::string& id) {
  // Its share of the teams' quotas goes to the others.
  context.state().tasks.pass_needed = true;
  FailForwarded(context, id);
  for (auto& [job_id, job] : context.state().jobs.jobs) {
    for (std::uint32_t it = 0; it < job.tasks.size(); ++it) {
      const Task& task = job.tasks[it];
      // This includes a task that is being stopped: the stop may be lost with
      // the peer, and the job would wait forever for the task's end.
      if (IsOutstanding(task) && task.owner == id) {
        OrphanTask(context, job, it);
      }
    }
  }
  if (context.state().membership.peers.at(id).domain ==
      context.state().self.domain) {
    context.ScheduleAt(context.now(), TimerKind::kOrphanScan);
  }
}

// Declares unresponsive peers lost, and reassigns the owners of workers if the
// members of the domain changed.
void CheckPeers(Context& context) {
  State& state = context.state();
  const Duration limit = context.policy().membership.peer_silent;
  const std::int64_t rotation = FarDigestRotation(context);
  for (auto& [id, peer] : state.membership.peers) {
    const bool is_far = peer.domain != state.self.domain;
    const Duration timeout =
        is_far ? limit * std::max(rotation, kMinFarTimeoutFactor) : limit;
    if (peer.alive && context.now() - peer.last_received > timeout) {
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
  context.ScheduleAt(context.now(), TimerKind::kWatch);
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
  // The list may lag behind the restart that an answer told of.
  if (info.born != 0 && info.born < worker.born) {
    return;
  }
  const bool is_new = info.born > worker.born;
  if (is_new) {
    OnProcessListed(context, worker, info.born);
  }
  const bool was_leaving = worker.info.leaving;
  const bool resized = worker.info.capacity != info.capacity;
  worker.info = info;
  if (resized) {
    ResizeWorker(context, worker, info.capacity);
  }
  // `leaving` is never reset: a list with a higher revision may come from a
  // part of the platform that doesn't know of the leaving yet, and must not
  // cause new work to be sent to a backend server that has left.
  worker.info.leaving = info.leaving || was_leaving;
  if (worker.removed) {
    worker.removed = false;
    ownership.pending_checks.insert(info.id);
    // The renewals stopped with the removal.
    context.ScheduleAt(context.now(), TimerKind::kRenew, info.id);
  }
  if (worker.reclaiming && is_new) {
    Reclaim(context, worker);
  }
  UpdateOpen(context, worker);
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
    context.ScheduleAfter(kListLag + lease.task_lease + lease.drift,
                          TimerKind::kLeaseBound, id);
  }
}

}  // namespace

void StartMembership(Context& context) {
  State& state = context.state();
  for (const PeerAddress& it : state.self.peers) {
    AddPeer(context, it.id, it.domain, it.address);
  }
  context.ScheduleAt(context.now(), TimerKind::kDigest);
  context.ScheduleAt(context.now(), TimerKind::kWatch);
}

void OnDigestTimer(Context& context) {
  State& state = context.state();
  const MembershipPolicy& policy = context.policy().membership;
  if (context.now() - state.started >= policy.peer_silent) {
    state.membership.startup_wait_over = true;
  }
  CheckPeers(context);
  RefuseUnservable(context);
  SendDigests(context);
  CheckOwnership(context);
  context.ScheduleAfter(policy.digest, TimerKind::kDigest);
}

bool NotePeerMessage(Context& context, const PeerMessageReceived& received) {
  State& state = context.state();
  if (received.from == state.self.instance) {
    return false;
  }
  AddPeer(context, received.from, received.domain, "");
  Peer& peer = state.membership.peers[received.from];
  if (peer.incarnation != received.incarnation) {
    if (peer.alive && IsOlder(received.incarnation, peer.incarnation)) {
      return false;
    }
    const bool replaced = !peer.incarnation.empty();
    peer.incarnation = received.incarnation;
    peer.digest = {};
    peer.offer_sequence = 0;
    peer.accepted_sequence = 0;
    peer.forwarded_requests.clear();
    if (replaced) {
      OnPeerLost(context, received.from);
    }
  }
  peer.last_received = context.now();
  if (!peer.alive) {
    peer.alive = true;
    context.Log(EventNumber::kPeerUp, {{"peer", received.from},
                                       {"incarnation", received.incarnation}});
  }
  return true;
}

void OnDigest(Context& context,
              const PeerMessageReceived& received,
              const Digest& digest) {
  State& state = context.state();
  Peer& peer = state.membership.peers[received.from];
  if (digest.sequence <= peer.digest.sequence) {
    return;  // late or duplicate: a newer digest is known
  }
  if (digest.draining && !peer.digest.draining) {
    context.Log(EventNumber::kPeerLeaving, {{"peer", received.from}});
  }
  const bool role_changed = digest.draining != peer.digest.draining ||
                            digest.serving != peer.digest.serving;
  peer.digest = digest;
  peer.digest_at = context.now();
  peer.forwarded_requests.clear();
  peer.offered_resources = {};
  peer.refused_sizes.clear();
  peer.refused_work = false;
  YieldJournals(context, received.from, digest.logs);
  if (role_changed) {
    CheckPeers(context);
    CheckOwnership(context);
  }
  const bool is_behind =
      digest.config_revision > state.config.latest_revision ||
      digest.instances_revision > state.membership.instances.revision;
  if (is_behind && context.now() - peer.pulled_at >= kPullInterval) {
    peer.pulled_at = context.now();
    context.Send(received.from,
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
  CheckOwnership(context);
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
         state.membership.startup_wait_over;
}

std::int64_t FarDigestRotation(const Context& context) {
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
  const bool is_announced = state.membership.announced_at != Time(0) &&
                            context.now() - state.membership.announced_at >=
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

std::int64_t PlacesAt(const Peer& peer, const Resources& need) {
  const bool is_refused =
      std::any_of(peer.refused_sizes.begin(), peer.refused_sizes.end(),
                  [&](const Resources& it) { return Fits(it, need); });
  return is_refused
             ? 0
             : CountFitting(need, peer.digest.free - peer.offered_resources);
}

bool IsWatcher(const Context& context) {
  const State& state = context.state();
  const std::uint64_t own = StableHash("watcher", state.self.instance);
  const bool own_reaches =
      !state.platform_ever_answered || state.platform_ok ||
      context.now() - state.platform_last_answer < kMaxWatcherPlatformAge;
  for (const auto& [id, peer] : state.membership.peers) {
    if (!IsDomainPeer(context, peer) || peer.digest.draining) {
      continue;
    }
    const bool peer_reaches = peer.digest.platform_age < kMaxWatcherPlatformAge;
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
