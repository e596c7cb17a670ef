#include "engine/members/membership.h"

#include <cmath>
#include <limits>

#include <xxhash.h>

#include "engine/advice/advice_callers.h"
#include "engine/jobs/adoption.h"
#include "engine/jobs/job_progress.h"
#include "engine/members/node_records.h"
#include "engine/records/store_calls.h"
#include "engine/workers/worker_owner.h"

namespace burdockrock::engine {

namespace {

std::string IncarnationOf(std::string_view key) {
  return std::string(key.substr(kMemberPrefix.size()));
}

bool IsSelf(const Context& context, const std::string& incarnation) {
  return incarnation == context.self();
}

double Score(const ChoosableMember& member, std::string_view key) {
  const XXH64_hash_t hash = XXH64(key.data(), key.size(), member.node_hash);
  // To (0, 1]; the weighted form of rendezvous hashing.
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

// Rebuilds the table from which owners are chosen. To be called after each
// change of the members, as choices are far more frequent.
void MembersChanged(MembersState& members) {
  ++members.version;
  members.choosable.clear();
  for (const auto& [incarnation, it] : members.present) {
    AddChoosable(members, it);
  }
  for (const auto& [incarnation, it] : members.departed) {
    if (it.gone_at != Time::min()) {
      AddChoosable(members, it.member);
    }
  }
}

// Empty when there is none in the domain.
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
  AskStore(context, StoreLeaseGrant{.ttl = ttl}, ForLeaseGrant{});
}

// An earlier incarnation of this machine is surely gone: its entry goes with
// the new registration instead of after its lease.
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
  AskStore(context,
           StoreTransaction{
               .conditions = {{.key = key, .revision = 0}},
               .puts = {{.key = key,
                         .value = EncodeMember(context.state.options.self),
                         .lease = members.lease},
                        {.key = NodeKey(context.state.options.self.node),
                         .value = context.self()}},
               .removes = EarlierIncarnations(context)},
           ForRegistration{});
}

void Raise(Context& context) {
  MembersState& members = context.state.members;
  members.raising = true;
  members.raise_wanted = false;
  members.raised_at = context.now;
  const std::string key = MemberKey(context.self());
  AskStore(context,
           StoreTransaction{
               .conditions = {{.key = key, .revision = members.fence}},
               .puts = {{.key = key,
                         .value = EncodeMember(context.state.options.self),
                         .lease = members.lease}}},
           ForRaise{});
}

// The machine runs one process: an earlier one is gone for certain.
void EndEarlierProcesses(Context& context, const std::string& node) {
  OnNodeSeen(context, node);
  for (auto& [id, it] : context.state.members.departed) {
    if (it.member.record.node != node) {
      continue;
    }
    it.replaced_at = std::min(it.replaced_at, context.now);
    if (it.gone_at != Time::min()) {
      it.gone_at = context.now;
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
  }
  members.fence = std::max(members.fence, fence);
  members.present[context.self()] =
      Member{.record = context.state.options.self, .fence = members.fence};
  MembersChanged(members);
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
  if (members.fence == 0 && !members.registering && members_read) {
    Register(context);
  }
  if (!members.renewing && context.now >= members.renew_at) {
    members.renewing = true;
    members.renewal_sent = context.now;
    AskStore(context, StoreLeaseRenew{.lease = members.lease},
             ForLeaseRenewal{.lease = members.lease});
  }
}

void DepartMembers(Context& context) {
  auto& departed = context.state.members.departed;
  std::vector<std::string> gone;
  for (auto& [incarnation, it] : departed) {
    if (it.gone_at <= context.now && it.gone_at != Time::min()) {
      it.gone_at = Time::min();
      gone.push_back(incarnation);
    }
  }
  for (const std::string& it : gone) {
    context.Log(EventNumber::kPeerSilent, {{"peer", it}});
    ScanOrphansOf(context, it);
  }
  if (!gone.empty()) {
    MembersChanged(context.state.members);
    ScheduleOwnershipCheck(context);
  }
}

}  // namespace

void DriveMembership(Context& context) {
  if (!context.state.stop.released) {
    DriveRegistration(context);
  }
  MembersState& members = context.state.members;
  const bool may_raise =
      members.raise_wanted && members.fence != 0 && !members.raising &&
      HasPassed(context.now, members.raised_at, kRaiseInterval);
  if (may_raise && !context.state.stop.released) {
    Raise(context);
  }
  DepartMembers(context);
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
  Member& member = members.present[incarnation];
  const bool is_new = member.fence == 0;
  member.record = std::get<MemberRecord>(std::move(decoded));
  member.fence = std::max(member.fence, item.revision);
  members.departed.erase(incarnation);
  MembersChanged(members);
  if (IsSelf(context, incarnation)) {
    // The answer to the registration was lost, but it took effect.
    SetFence(context, item.revision);
    return;
  }
  if (!is_new) {
    return;
  }
  context.Log(EventNumber::kPeerUp,
              {{"peer", incarnation}, {"domain", member.record.domain}});
  context.state.digest.askers.insert(incarnation);
  EndEarlierProcesses(context, member.record.node);
  ScheduleOwnershipCheck(context);
}

void OnMemberRemoved(Context& context, const std::string& key) {
  MembersState& members = context.state.members;
  const auto node = members.present.extract(IncarnationOf(key));
  if (node.empty()) {
    return;
  }
  if (IsSelf(context, node.key())) {
    LoseRegistration(context, "removed");
    return;
  }
  const bool replaced = std::any_of(
      members.present.begin(), members.present.end(), [&](const auto& it) {
        return it.second.record.node == node.mapped().record.node;
      });
  // A member that has announced its end will not rejoin: its jobs get a new
  // owner at once.
  const bool may_rejoin = !replaced && node.mapped().parted_at == kForever;
  const Duration grace =
      may_rejoin && StoreIsUnsteady(context) ? kRejoinGrace : Duration(0);
  context.state.digest.waiting.erase(node.key());
  context.state.digest.heard.erase(node.key());
  ForgetCaller(context, node.key());
  members.departed[node.key()] = DepartedMember{
      .member = node.mapped(),
      .gone_at = context.now + grace,
      .left_at = context.now,
      .replaced_at = replaced ? context.now : node.mapped().parted_at};
  MembersChanged(members);
}

void OnLeaseGranted(Context& context, const StoreAnswer& answer) {
  MembersState& members = context.state.members;
  members.granting = false;
  if (const auto* done = std::get_if<StoreDone>(&answer)) {
    members.lease = done->lease;
    members.renew_at = context.now + kMemberRenewal;
    return;
  }
  members.renew_at = context.now + kStoreRetry;
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
    members.renew_at = context.now + kStoreRetry;
  }
}

void OnRegistered(Context& context, const StoreAnswer& answer) {
  MembersState& members = context.state.members;
  members.registering = false;
  if (const auto* done = std::get_if<StoreDone>(&answer)) {
    SetFence(context, done->revision);
    return;
  }
  if (const auto* conflict = std::get_if<StoreConflict>(&answer)) {
    // An earlier try whose answer was lost has taken effect.
    for (const StoreItem& it : conflict->items) {
      if (it.key == MemberKey(context.self()) && it.revision != 0) {
        SetFence(context, it.revision);
      }
    }
    return;
  }
  if (std::holds_alternative<StoreAbsent>(answer)) {
    LoseRegistration(context, "lease ended before it was used");
  }
}

void OnRaised(Context& context, const StoreAnswer& answer) {
  MembersState& members = context.state.members;
  members.raising = false;
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
  members.raise_wanted = true;
}

void OnParting(Context& context, const std::string& from) {
  MembersState& members = context.state.members;
  const auto present = members.present.find(from);
  if (present != members.present.end()) {
    present->second.parted_at = context.now;
  }
  const auto departed = members.departed.find(from);
  if (departed != members.departed.end()) {
    departed->second.replaced_at =
        std::min(departed->second.replaced_at, context.now);
    if (departed->second.gone_at != Time::min()) {
      departed->second.gone_at = context.now;
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
  members.fence = 0;
  members.renewing = false;
  members.renew_at = context.now;
  members.present.erase(context.self());
  MembersChanged(members);
  DoubtOwnership(context);
  MarkWorkersUnverified(context);
}

void WantRaise(Context& context) {
  context.state.members.raise_wanted = true;
}

void Deregister(Context& context) {
  MembersState& members = context.state.members;
  context.state.stop.released = true;
  // Spares new owners of a worker that dies now the wait for leases that nobody
  // renews.
  for (const std::string& it : OtherMembers(context)) {
    Send(context, it, Parting());
  }
  if (members.lease == 0) {
    return;
  }
  AskStore(context, StoreLeaseEnd{.lease = members.lease}, ForNothing{});
  members.lease = 0;
  members.fence = 0;
  members.present.erase(context.self());
  MembersChanged(members);
}

bool IsSurelyRegistered(const Context& context) {
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
  const auto gone = state.members.departed.find(incarnation);
  if (gone != state.members.departed.end() &&
      gone->second.gone_at != Time::min()) {
    return &gone->second.member.record;
  }
  return nullptr;
}

std::string ChooseMember(const State& state,
                         std::string_view key,
                         std::string_view domain) {
  std::string chosen = ChooseAmong(state, key, domain);
  if (chosen.empty() && !domain.empty()) {
    chosen = ChooseAmong(state, key, {});
  }
  return chosen;
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
