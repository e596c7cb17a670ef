#include "engine/members/node_records.h"

#include <algorithm>

#include "engine/members/membership.h"
#include "engine/records/store_calls.h"
#include "engine/records/watches.h"
#include "engine/workers/worker_owner.h"

namespace burdockrock::engine {

namespace {

// Well above the time for which a process renews worker leases without the
// store.
constexpr Duration kRecordLifetime = milliseconds(60'000);
// Operations of one transaction, two for each record. A round reads only the
// first page; the next round removes more of it.
constexpr std::size_t kMaxRemovalOperations = 30;

// Between two reads of the records because of members that were not seen.
constexpr Duration kUnseenReadInterval = milliseconds(2000);

constexpr const char* kRemovalKey = "node records";

bool IsPresent(const State& state, const std::string& node) {
  return std::any_of(
      state.members.present.begin(), state.members.present.end(),
      [&](const auto& it) { return it.second.record.node == node; });
}

void ReadPage(Context& context, bool forget) {
  NodesState& nodes = context.state.members.nodes;
  nodes.in_flight = true;
  nodes.read_at = context.now;
  SendStoreRequest(context,
                   StoreRange{.prefix = std::string(kNodePrefix),
                              .after = nodes.after,
                              .may_be_stale = forget},
                   ForNodeRecords{.remove = forget});
}

void AddNode(Context& context, const std::string& node) {
  NodesState& nodes = context.state.members.nodes;
  if (!nodes.listed.contains(node)) {
    nodes.replaced_at.emplace(
        node, IsPresent(context.state, node) ? context.now : kForever);
  }
}

bool IsExpired(const Context& context, const std::string& node) {
  const MembersState& members = context.state.members;
  if (IsPresent(context.state, node) ||
      !HasPassed(context.now, members.unseen.left_at, kRecordLifetime) ||
      !HasPassed(context.now, members.known_since, kRecordLifetime)) {
    return false;
  }
  return std::all_of(
      members.departed.begin(), members.departed.end(), [&](const auto& it) {
        return it.second.member.record.node != node ||
               HasPassed(context.now, it.second.unlisted_at, kRecordLifetime);
      });
}

void RemoveExpired(Context& context, const std::vector<StoreItem>& items) {
  StoreTransaction transaction;
  for (const StoreItem& it : items) {
    const std::string node = it.key.substr(kNodePrefix.size());
    if (IsExpired(context, node) &&
        transaction.removes.size() < kMaxRemovalOperations / 2) {
      transaction.conditions.push_back(
          {.key = it.key, .revision = it.revision});
      transaction.removes.push_back(it.key);
    }
  }
  if (!transaction.removes.empty()) {
    SendStoreRequest(context, std::move(transaction), ForNothing{});
  }
}

void ReadUnseenPage(Context& context) {
  UnseenMembers& unseen = context.state.members.unseen;
  unseen.in_flight = true;
  unseen.read_at = context.now;
  if (unseen.after.empty()) {
    unseen.checked_from = context.now;
    unseen.found = false;
  }
  SendStoreRequest(
      context,
      StoreRange{.prefix = std::string(kNodePrefix), .after = unseen.after},
      ForUnseenMembers{});
}

void DriveUnseenMembers(Context& context) {
  UnseenMembers& unseen = context.state.members.unseen;
  if (!unseen.check_due || unseen.in_flight || !IsRegistered(context.state)) {
    return;
  }
  if (HasPassed(context.now, unseen.left_at, kRecordLifetime)) {
    unseen.check_due = false;  // all leases have ended
  } else if (HasPassed(context.now, unseen.read_at, kUnseenReadInterval)) {
    ReadUnseenPage(context);
  }
}

// Whether the process with this incarnation is or was a member that this
// instance has seen.
bool IsKnownMember(const MembersState& members,
                   const std::string& incarnation) {
  return members.present.contains(incarnation) ||
         members.departed.contains(incarnation);
}

}  // namespace

void DriveNodes(Context& context) {
  MembersState& members = context.state.members;
  NodesState& nodes = members.nodes;
  if (members.known_since == kForever) {
    const Watch& watch =
        context.state.watches[static_cast<std::size_t>(WatchedList::kMembers)];
    if (!watch.complete) {
      return;
    }
    members.known_since = context.now;
    for (const auto& [incarnation, it] : members.present) {
      nodes.listed.insert(it.record.node);
    }
  }
  DriveUnseenMembers(context);
  if (nodes.in_flight || !IsRegistered(context.state)) {
    return;
  }
  if (!nodes.read) {
    if (HasPassed(context.now, nodes.read_at, kStoreRetryDelay)) {
      ReadPage(context, false);
    }
  } else if (HasPassed(context.now, nodes.read_at, kRecordLifetime)) {
    nodes.read_at = context.now;
    if (ChooseMember(context.state, kRemovalKey, {}) == context.self()) {
      ReadPage(context, true);
    }
  }
}

void OnNodePage(Context& context, bool forget, const StoreAnswer& answer) {
  NodesState& nodes = context.state.members.nodes;
  nodes.in_flight = false;
  const auto* page = std::get_if<StoreDone>(&answer);
  if (page == nullptr) {
    return;  // the same page is read again
  }
  if (forget) {
    return RemoveExpired(context, page->items);
  }
  for (const StoreItem& it : page->items) {
    AddNode(context, it.key.substr(kNodePrefix.size()));
  }
  if (page->more && !page->items.empty()) {
    nodes.after = page->items.back().key;
    return ReadPage(context, false);
  }
  nodes.after.clear();
  nodes.read = true;
}

void NoteUnseenMembers(Context& context) {
  UnseenMembers& unseen = context.state.members.unseen;
  unseen.left_at = context.now;
  unseen.replaced_at = kForever;
  unseen.check_due = true;
  unseen.read_at = Time::min();
  // One of them may have claimed any worker of this instance.
  MarkWorkersUnverified(context);
  ExtendUnverifiedLeases(context);
}

void OnUnseenMembersPage(Context& context, const StoreAnswer& answer) {
  MembersState& members = context.state.members;
  UnseenMembers& unseen = members.unseen;
  unseen.in_flight = false;
  const auto* page = std::get_if<StoreDone>(&answer);
  if (page == nullptr) {
    return;  // the same page is read again
  }
  if (unseen.checked_from < unseen.left_at) {
    unseen.after.clear();
    return;  // others may have left since
  }
  for (const StoreItem& it : page->items) {
    unseen.found = unseen.found || !IsKnownMember(members, it.value);
  }
  if (page->more && !page->items.empty()) {
    unseen.after = page->items.back().key;
    return ReadUnseenPage(context);
  }
  unseen.after.clear();
  if (!unseen.found) {
    unseen.replaced_at = context.now;
    unseen.check_due = false;
  }
}

void OnNodeSeen(Context& context, const std::string& node) {
  NodesState& nodes = context.state.members.nodes;
  const auto it = nodes.replaced_at.find(node);
  if (it != nodes.replaced_at.end()) {
    it->second = std::min(it->second, context.now);
  }
}

}  // namespace burdockrock::engine
