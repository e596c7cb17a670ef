#include "engine/members/membership.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

#include <xxhash.h>

#include "engine/advice/advice_callers.h"
#include "engine/jobs/adoption.h"
#include "engine/jobs/job_progress.h"
#include "engine/members/member_load.h"
#include "engine/members/node_records.h"
#include "engine/records/store_calls.h"
#include "engine/records/watches.h"
#include "engine/teams/quota.h"
#include "engine/workers/lease_bounds.h"
#include "engine/workers/loss_handover.h"
#include "engine/workers/worker_owner.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

// Keys of jobs are chosen for once, those of workers and duties again and
// again.
constexpr std::size_t kMaxChosenOwners = 8192;

// A digest of the domain and the key. Choices are looked up so often that the
// allocation of a longer text would show.
std::string ChoiceKey(std::string_view domain, std::string_view id) {
  constexpr std::size_t kBytes = 15;  // held without an allocation
  const XXH64_hash_t seed = XXH64(domain.data(), domain.size(), 0);
  XXH128_canonical_t digest;
  XXH128_canonicalFromHash(&digest,
                           XXH3_128bits_withSeed(id.data(), id.size(), seed));
  std::string key(kBytes, '\0');
  std::copy_n(std::begin(digest.digest), kBytes, key.begin());
  return key;
}

std::string IncarnationOf(std::string_view key) {
  return std::string(key.substr(kMemberPrefix.size()));
}

bool IsSelf(const Context& context, const std::string& incarnation) {
  return incarnation == context.self();
}

double Score(const ChoosableMember& member, std::string_view key) {
  const XXH64_hash_t hash = XXH64(key.data(), key.size(), member.node_hash);
  // Maps the hash to (0, 1], for weighted rendezvous hashing.
  const double unit = (static_cast<double>(hash >> 11U) + 1) / 0x1p53;
  return -static_cast<double>(member.weight) / std::log(unit);
}

void AddChoosable(MembersState& members, const Member& member) {
  const MemberRecord& record = member.record;
  ChoosableMember& place = members.choosable[record.node];
  if (place.incarnation.empty() || member.fence > place.fence) {
    place = {.incarnation = record.incarnation,
             .domain = record.domain,
             .weight = record.weight,
             .node_hash = XXH64(record.node.data(), record.node.size(), 0),
             .fence = member.fence};
  }
}

// Rebuilds the table from which owners are chosen. Called after each change of
// the members, because choices are far more frequent.
void RebuildChoosableMembers(MembersState& members) {
  ++members.version;
  members.choosable.clear();
  for (const auto& [incarnation, it] : members.present) {
    AddChoosable(members, it);
  }
  for (const auto& [incarnation, it] : members.departed) {
    if (it.lost_at != Time::min()) {
      AddChoosable(members, it.member);
    }
  }
}

// Returns an empty string when the domain has no member.
std::string ChooseAmong(const State& state,
                        std::string_view key,
                        std::string_view domain) {
  const ChoosableMember* best = nullptr;
  double best_score = -std::numeric_limits<double>::infinity();
  for (const auto& [node, it] : state.members.choosable) {
    if (!domain.empty() && it.domain != domain) {
      continue;
    }
    const double score = Score(it, key);
    if (score > best_score) {
      best_score = score;
      best = &it;
    }
  }
  return best == nullptr ? std::string() : best->incarnation;
}

void GrantLease(Context& context) {
  MembersState& members = context.state.members;
  members.granting = true;
  const Duration ttl =
      std::max(kMemberTtl, context.state.options.bounds.min_lease_ttl);
  SendStoreRequest(context, StoreLeaseGrant{.ttl = ttl}, ForLeaseGrant{});
}

// Keys of earlier incarnations on this machine. Their processes have ended, so
// the new registration removes the entries before their leases expire.
std::vector<std::string> EarlierIncarnations(const Context& context) {
  std::vector<std::string> keys;
  for (const auto& [incarnation, member] : context.state.members.present) {
    const bool same_node =
        member.record.node == context.state.options.self.node;
    if (same_node && !IsSelf(context, incarnation)) {
      keys.push_back(MemberKey(incarnation));
    }
  }
  return keys;
}

void Register(Context& context) {
  MembersState& members = context.state.members;
  members.registering = true;
  const std::string key = MemberKey(context.self());
  SendStoreRequest(
      context,
      StoreTransaction{
          .conditions = {{.key = key, .revision = 0}},
          .puts = {{.key = key,
                    .value = EncodeMember(context.state.options.self),
                    .lease = members.lease},
                   {.key = NodeKey(context.state.options.self.node),
                    .value = context.self()}},
          .removes = EarlierIncarnations(context)},
      ForRegistration{.registration = members.registration});
}

void AdvanceFence(Context& context) {
  MembersState& members = context.state.members;
  members.advancing_fence = true;
  members.fence_advance_due = false;
  members.fence_advanced_at = context.now;
  const std::string key = MemberKey(context.self());
  SendStoreRequest(
      context,
      StoreTransaction{
          .conditions = {{.key = key, .revision = members.fence}},
          .puts = {{.key = key,
                    .value = EncodeMember(context.state.options.self),
                    .lease = members.lease}}},
      ForFenceAdvance{.registration = members.registration});
}

// A machine runs one process at a time, so earlier ones on `node` have ended.
void EndEarlierProcesses(Context& context, const std::string& node) {
  OnNodeSeen(context, node);
  for (auto& [id, it] : context.state.members.departed) {
    if (it.member.record.node != node) {
      continue;
    }
    it.stopped_renewing_at =
        std::min(it.stopped_renewing_at, context.now + kMaxCallDelay);
    if (it.lost_at != Time::min()) {
      it.lost_at = context.now;
    }
  }
}

void SetFence(Context& context, std::uint64_t fence) {
  MembersState& members = context.state.members;
  if (members.fence == 0) {
    members.registered_at = context.now;
    members.last_contact = context.now;
    EndEarlierProcesses(context, context.state.options.self.node);
    ExtendUnverifiedLeases(context);
    context.Log(EventNumber::kRegistered, {{"fence", std::to_string(fence)}});
    RequestMembers(context);
  }
  members.fence = std::max(members.fence, fence);
  members.present[context.self()] =
      Member{.record = context.state.options.self, .fence = members.fence};
  RebuildChoosableMembers(members);
  ScheduleOwnershipCheck(context);
}

void DriveRegistration(Context& context) {
  MembersState& members = context.state.members;
  if (members.lease == 0) {
    if (!members.granting && context.now >= members.renew_at) {
      GrantLease(context);
    }
    return;
  }
  const bool members_read =
      context.state.watches[static_cast<std::size_t>(WatchedList::kMembers)]
          .complete;
  if (members.fence == 0 && !members.registering && members_read &&
      context.now >= members.register_after) {
    Register(context);
  }
  if (!members.renewing && context.now >= members.renew_at) {
    members.renewing = true;
    members.renewal_sent = context.now;
    SendStoreRequest(context, StoreLeaseRenew{.lease = members.lease},
                     ForLeaseRenewal{.lease = members.lease});
  }
}

void DeclareMembersLost(Context& context) {
  auto& departed = context.state.members.departed;
  std::vector<std::string> lost;
  for (auto& [incarnation, it] : departed) {
    if (it.lost_at <= context.now && it.lost_at != Time::min()) {
      it.lost_at = Time::min();
      lost.push_back(incarnation);
    }
  }
  for (const std::string& it : lost) {
    context.Log(EventNumber::kPeerSilent, {{"peer", it}});
    ScanOrphansOf(context, it);
  }
  if (!lost.empty()) {
    RebuildChoosableMembers(context.state.members);
    ScheduleOwnershipCheck(context);
    TakeOverLosses(context);
  }
}

// The member may have claimed the workers that are assigned to it and renewed
// their leases. If it came and went in one step, this instance still holds
// them.
void DistrustWorkersOf(Context& context, const std::string& incarnation) {
  for (auto& [id, worker] : context.state.owned) {
    if (ChooseMember(context.state, id, worker.info.domain) == incarnation) {
      worker.unverified = true;
      worker.unverified_since = context.now;
      AssumeForeignLeases(context, worker);
    }
  }
}

}  // namespace

void DriveMembership(Context& context) {
  if (!context.state.stop.released) {
    DriveRegistration(context);
  }
  MembersState& members = context.state.members;
  const bool may_advance =
      members.fence_advance_due && members.fence != 0 &&
      !members.advancing_fence &&
      HasPassed(context.now, members.fence_advanced_at, kFenceAdvanceInterval);
  if (may_advance && !context.state.stop.released) {
    AdvanceFence(context);
  }
  DeclareMembersLost(context);
}

void OnMemberItem(Context& context, const StoreItem& item) {
  auto decoded = DecodeMember(item.value);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    context.Log(EventNumber::kPlatformMalformed,
                {{"key", item.key}, {"problem", ToString(*error)}});
    return;
  }
  const std::string incarnation = IncarnationOf(item.key);
  MembersState& members = context.state.members;
  // A read or a watch may be older than the end of this registration.
  if (IsSelf(context, incarnation) && item.revision <= members.ended_fence) {
    return;
  }
  Member& member = members.present[incarnation];
  const bool is_new = member.fence == 0;
  const Member before = member;
  member.record = std::get<MemberRecord>(std::move(decoded));
  member.fence = std::max(member.fence, item.revision);
  const bool rejoins = members.departed.erase(incarnation) > 0;
  const bool changed =
      rejoins || member.record != before.record || member.fence != before.fence;
  // Reads of the whole list repeat what is known, and with each new version all
  // choices of owners are made anew.
  if (!changed) {
    return;
  }
  RebuildChoosableMembers(members);
  if (IsSelf(context, incarnation)) {
    // The registration took effect although its reply was lost.
    SetFence(context, item.revision);
    return;
  }
  if (!is_new) {
    return;
  }
  context.Log(EventNumber::kPeerUp,
              {{"peer", incarnation}, {"domain", member.record.domain}});
  context.state.digest.full_digest_requests.insert(incarnation);
  EndEarlierProcesses(context, member.record.node);
  ScheduleOwnershipCheck(context);
}

void OnMemberRemoved(Context& context,
                     const std::string& key,
                     std::uint64_t revision) {
  MembersState& members = context.state.members;
  const std::string incarnation = IncarnationOf(key);
  if (!IsSelf(context, incarnation)) {
    DistrustWorkersOf(context, incarnation);
  }
  // Watches and reads overlap: it may have been read as registered again.
  const auto present = members.present.find(incarnation);
  if (present != members.present.end() && present->second.fence > revision) {
    return;
  }
  const auto node = members.present.extract(incarnation);
  if (node.empty()) {
    if (!IsSelf(context, incarnation) &&
        !members.departed.contains(incarnation)) {
      NoteUnseenMembers(context);
    }
    return;
  }
  ++members.departures;
  if (IsSelf(context, node.key())) {
    LoseRegistration(context, "removed");
    return;
  }
  const bool replaced = std::any_of(
      members.present.begin(), members.present.end(), [&](const auto& it) {
        return it.second.record.node == node.mapped().record.node;
      });
  // A member that has announced its stop will not rejoin: its jobs get a new
  // owner at once.
  const bool may_rejoin =
      !replaced && node.mapped().stopped_renewing_at == kForever;
  const Duration grace =
      may_rejoin && StoreIsUnsteady(context) ? kRejoinGrace : Duration(0);
  context.state.digest.waiting.erase(node.key());
  context.state.digest.received_up_to.erase(node.key());
  ForgetAdviceCaller(context, node.key());
  ForgetMemberLoad(context.state, node.key());
  members.departed[node.key()] = DepartedMember{
      .member = node.mapped(),
      .lost_at = context.now + grace,
      .unlisted_at = context.now,
      .stopped_renewing_at = replaced ? context.now + kMaxCallDelay
                                      : node.mapped().stopped_renewing_at};
  RebuildChoosableMembers(members);
}

void OnLeaseGranted(Context& context, const StoreAnswer& answer) {
  MembersState& members = context.state.members;
  members.granting = false;
  if (const auto* done = std::get_if<StoreDone>(&answer)) {
    members.lease = done->lease;
    members.renew_at = context.now + kMemberRenewal;
    return;
  }
  members.renew_at = context.now + kStoreRetryDelay;
}

void OnLeaseRenewed(Context& context,
                    std::uint64_t lease,
                    const StoreAnswer& answer) {
  MembersState& members = context.state.members;
  if (lease != members.lease) {
    return;
  }
  members.renewing = false;
  if (std::holds_alternative<StoreDone>(answer)) {
    members.renew_at = members.renewal_sent + kMemberRenewal;
    members.last_contact = members.renewal_sent;
  } else if (std::holds_alternative<StoreAbsent>(answer)) {
    LoseRegistration(context, "lease ended");
  } else {
    members.renew_at = context.now + kStoreRetryDelay;
  }
}

void OnRegistered(Context& context,
                  std::uint64_t registration,
                  const StoreAnswer& answer) {
  MembersState& members = context.state.members;
  if (registration != members.registration) {
    return;  // the lease of the attempt has ended since
  }
  members.registering = false;
  if (const auto* done = std::get_if<StoreDone>(&answer)) {
    SetFence(context, done->revision);
    return;
  }
  if (const auto* conflict = std::get_if<StoreConflict>(&answer)) {
    // An earlier attempt took effect although its reply was lost.
    for (const StoreItem& it : conflict->items) {
      if (it.key == MemberKey(context.self()) && it.revision != 0) {
        SetFence(context, it.revision);
      }
    }
    return;
  }
  if (std::holds_alternative<StoreAbsent>(answer)) {
    LoseRegistration(context, "lease ended before it was used");
  } else if (std::holds_alternative<StoreRejected>(answer)) {
    members.register_after = context.now + kStoreRetryDelay;
  }
}

void OnFenceAdvanced(Context& context,
                     std::uint64_t registration,
                     const StoreAnswer& answer) {
  MembersState& members = context.state.members;
  if (registration != members.registration) {
    return;  // that registration has ended since
  }
  members.advancing_fence = false;
  if (const auto* done = std::get_if<StoreDone>(&answer)) {
    SetFence(context, done->revision);
    return;
  }
  if (const auto* conflict = std::get_if<StoreConflict>(&answer)) {
    for (const StoreItem& it : conflict->items) {
      if (it.key != MemberKey(context.self())) {
        continue;
      }
      if (it.revision == 0) {
        LoseRegistration(context, "gone");
      } else {
        SetFence(context, it.revision);
      }
    }
    return;
  }
  if (std::holds_alternative<StoreAbsent>(answer)) {
    LoseRegistration(context, "lease ended");
    return;
  }
  members.fence_advance_due = true;
}

void OnStoppedRenewing(Context& context, const std::string& from) {
  MembersState& members = context.state.members;
  const auto present = members.present.find(from);
  if (present != members.present.end()) {
    present->second.stopped_renewing_at = context.now;
  }
  const auto departed = members.departed.find(from);
  if (departed != members.departed.end()) {
    departed->second.stopped_renewing_at =
        std::min(departed->second.stopped_renewing_at, context.now);
    if (departed->second.lost_at != Time::min()) {
      departed->second.lost_at = context.now;
    }
  }
}

void LoseRegistration(Context& context, const char* cause) {
  MembersState& members = context.state.members;
  if (members.lease == 0 && members.fence == 0) {
    return;
  }
  context.Log(EventNumber::kRegistrationLost, {{"cause", cause}});
  members.lease = 0;
  members.ended_fence = std::max(members.ended_fence, members.fence);
  members.fence = 0;
  members.registering = false;
  members.advancing_fence = false;
  ++members.registration;
  members.renewing = false;
  members.renew_at = context.now;
  members.present.erase(context.self());
  RebuildChoosableMembers(members);
  MarkOwnershipUnverified(context);
  MarkWorkersUnverified(context);
  ForgetHoldings(context.state.quota);
}

void RequestFenceAdvance(Context& context) {
  context.state.members.fence_advance_due = true;
}

void Deregister(Context& context) {
  MembersState& members = context.state.members;
  context.state.stop.released = true;
  // Without this message, new owners of a worker that fails now would wait for
  // the end of leases that this instance no longer renews.
  for (const std::string& it : OtherMembers(context)) {
    Send(context, it, StoppedRenewing());
  }
  if (members.lease == 0) {
    return;
  }
  SendStoreRequest(context, StoreLeaseEnd{.lease = members.lease},
                   ForNothing{});
  members.lease = 0;
  members.fence = 0;
  members.present.erase(context.self());
  RebuildChoosableMembers(members);
}

bool IsRegistrationCurrent(const Context& context) {
  return IsRegistered(context.state) &&
         !HasPassed(context.now, context.state.members.last_contact,
                    kMemberTtl);
}

bool IsRegistered(const State& state) {
  return state.members.fence != 0;
}

std::string AddressOf(const State& state, const std::string& incarnation) {
  const auto present = state.members.present.find(incarnation);
  if (present != state.members.present.end()) {
    return present->second.record.address;
  }
  const auto departed = state.members.departed.find(incarnation);
  return departed == state.members.departed.end()
             ? std::string()
             : departed->second.member.record.address;
}

const MemberRecord* FindMember(const State& state,
                               const std::string& incarnation) {
  const auto it = state.members.present.find(incarnation);
  if (it != state.members.present.end()) {
    return &it->second.record;
  }
  const auto departed = state.members.departed.find(incarnation);
  if (departed != state.members.departed.end() &&
      departed->second.lost_at != Time::min()) {
    return &departed->second.member.record;
  }
  return nullptr;
}

std::string ChooseMember(const State& state,
                         std::string_view key,
                         std::string_view domain) {
  // All incarnations of a worker have the same owner.
  const std::string_view id = WorkerIdOf(key);
  ChosenOwners& chosen = state.members.chosen;
  const bool outdated = chosen.version != state.members.version;
  if (outdated || chosen.owners.size() >= kMaxChosenOwners) {
    chosen.owners.clear();
    chosen.version = state.members.version;
  }
  const auto [it, is_new] = chosen.owners.try_emplace(ChoiceKey(domain, id));
  if (is_new) {
    it->second = ChooseAmong(state, id, domain);
    if (it->second.empty() && !domain.empty()) {
      it->second = ChooseAmong(state, id, {});
    }
  }
  return it->second;
}

std::size_t RankOfMember(const State& state,
                         std::string_view key,
                         const std::string& incarnation) {
  const auto& members = state.members.choosable;
  const auto self = std::find_if(
      members.begin(), members.end(),
      [&](const auto& it) { return it.second.incarnation == incarnation; });
  if (self == members.end()) {
    return members.size();
  }
  const double score = Score(self->second, key);
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(),
      [&](const auto& it) { return Score(it.second, key) > score; }));
}

std::vector<std::string> OtherMembers(const Context& context) {
  std::vector<std::string> others;
  for (const auto& [incarnation, it] : context.state.members.present) {
    if (incarnation != context.self()) {
      others.push_back(incarnation);
    }
  }
  return others;
}

}  // namespace burdockrock::engine
