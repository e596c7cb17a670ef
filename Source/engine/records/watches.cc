#include "engine/records/watches.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "engine/jobs/unseen_workers.h"
#include "engine/members/membership.h"
#include "engine/members/node_records.h"
#include "engine/records/record.h"
#include "engine/records/store_calls.h"
#include "engine/workers/upkeep.h"
#include "engine/workers/worker_list.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

std::string PrefixOf(const State& state, WatchedList list) {
  switch (list) {
    case WatchedList::kMembers:
      return std::string(kMemberPrefix);
    case WatchedList::kWorkers:
      return state.options.documents.worker_prefix;
    case WatchedList::kOperators:
      break;
  }
  return state.options.documents.operator_prefix;
}

// Shortest interval between two reads of the members beside their watch, which
// answers late when nothing has changed.
constexpr Duration kMembersReadInterval = milliseconds(200);

Duration PauseOf(WatchedList list) {
  return list == WatchedList::kWorkers ? kWorkerWatchInterval : Duration(0);
}

void OnConfigurationItem(Context& context, const StoreItem& item) {
  const StoreDocuments& documents = context.state.options.documents;
  auto decoded = documents.decode_configuration(item.value);
  if (const auto* fault = std::get_if<DocumentFault>(&decoded)) {
    context.Log(EventNumber::kConfigurationInvalid,
                {{"problem", fault->problem}});
    return;
  }
  auto& configuration = std::get<Configuration>(decoded);
  // A page that was read before a change can arrive after the change's event.
  if (configuration.version <= context.state.configuration.version) {
    return;
  }
  context.Log(EventNumber::kConfigurationApplied,
              {{"version", std::to_string(configuration.version)},
               {"revision", std::to_string(item.revision)},
               {"queues", std::to_string(configuration.queues.size())}});
  const bool new_limits =
      configuration.limits &&
      configuration.limits != context.state.configuration.limits;
  if (new_limits) {
    context.Emit(ApplyLimits{.limits = *configuration.limits});
  }
  context.state.configuration = std::move(configuration);
  context.state.placement_due = true;
}

void OnOperatorItem(Context& context, const StoreItem& item) {
  const StoreDocuments& documents = context.state.options.documents;
  if (item.key == documents.configuration_key) {
    OnConfigurationItem(context, item);
  } else if (item.key.starts_with(documents.wave_prefix)) {
    OnWaveItem(context, item);
  }
}

// Whether only the heartbeat of the worker's entry has changed, as most changes
// are. Comparing it with the previous entry is much cheaper than parsing it. A
// worker that was declared lost or has left the list must be listed again.
bool IsHeartbeat(const Context& context, const StoreItem& item) {
  const StoreDocuments& documents = context.state.options.documents;
  const auto last = context.state.worker_entries.find(item.key);
  if (last == context.state.worker_entries.end() || !documents.is_heartbeat) {
    return false;
  }
  const ListedWorker* worker = FindWorker(context.state, last->second.worker);
  return worker != nullptr && worker->listed &&
         documents.is_heartbeat(last->second.text, item.value);
}

void OnWorkerEntry(Context& context, const StoreItem& item) {
  if (IsHeartbeat(context, item)) {
    return;
  }
  OnWorkerItem(context, item);
  const std::string& prefix = context.state.options.documents.worker_prefix;
  context.state.worker_entries[item.key] = {
      .text = item.value,
      .worker =
          ListedIncarnation(context.state, item.key.substr(prefix.size()))};
}

void OnItem(Context& context, WatchedList list, const StoreItem& item) {
  switch (list) {
    case WatchedList::kMembers:
      return OnMemberItem(context, item);
    case WatchedList::kWorkers:
      return OnWorkerEntry(context, item);
    case WatchedList::kOperators:
      return OnOperatorItem(context, item);
  }
}

void OnRemoved(Context& context,
               WatchedList list,
               const std::string& key,
               std::uint64_t revision) {
  switch (list) {
    case WatchedList::kMembers:
      return OnMemberRemoved(context, key, revision);
    case WatchedList::kWorkers:
      context.state.worker_entries.erase(key);
      return OnWorkerRemoved(context, key);
    case WatchedList::kOperators:
      return;  // the last configuration remains in force
  }
}

// Removes known entries whose keys the listing did not return.
void RemoveUnseen(Context& context,
                  WatchedList list,
                  const std::set<std::string>& seen,
                  std::uint64_t revision) {
  std::vector<std::string> missing;
  if (list == WatchedList::kMembers) {
    for (const auto& [incarnation, member] : context.state.members.present) {
      missing.push_back(MemberKey(incarnation));
    }
  } else if (list == WatchedList::kWorkers) {
    for (const auto& [id, worker] : context.state.workers) {
      if (worker.listed) {
        missing.push_back(context.state.options.documents.worker_prefix +
                          std::string(WorkerIdOf(id)));
      }
    }
  }
  std::erase_if(missing,
                [&](const std::string& key) { return seen.contains(key); });
  for (const std::string& it : missing) {
    OnRemoved(context, list, it, revision);
  }
}

// Whether a complete read has told of the change, or of a later one.
bool IsOutdated(const Context& context,
                WatchedList list,
                std::uint64_t revision) {
  return list == WatchedList::kMembers &&
         revision <= context.state.members_check.revision;
}

void OnPage(Context& context, WatchedList list, const StoreDone& page) {
  Watch& watch = context.state.watches.at(static_cast<std::size_t>(list));
  if (watch.after.empty()) {
    watch.read_revision = page.revision;
  }
  for (const StoreItem& it : page.items) {
    watch.seen.insert(it.key);
    OnItem(context, list, it);
  }
  if (page.more && !page.items.empty()) {
    watch.after = page.items.back().key;
    return;
  }
  watch.reading = false;
  const bool missed_changes = std::exchange(watch.complete, true);
  if (missed_changes && list == WatchedList::kMembers) {
    NoteUnseenMembers(context);
  } else if (missed_changes && list == WatchedList::kWorkers &&
             MayHaveMissedWorkers(context)) {
    NoteUnseenWorkers(context);
  }
  watch.after.clear();
  watch.revision = watch.read_revision;
  watch.followed_to = watch.sent_at;
  RemoveUnseen(context, list, std::exchange(watch.seen, {}), watch.revision);
}

void OnChanges(Context& context, WatchedList list, const StoreDone& changes) {
  Watch& watch = context.state.watches.at(static_cast<std::size_t>(list));
  watch.revision = std::max(watch.revision, changes.revision);
  // Only the last change of a key counts; revisions order an item and a
  // removal.
  std::map<std::string, std::uint64_t> removed;
  for (const StoreRemoval& it : changes.removed) {
    removed[it.key] = it.revision;
  }
  for (const StoreItem& it : changes.items) {
    if (!IsOutdated(context, list, it.revision)) {
      OnItem(context, list, it);
    }
    const auto removal = removed.find(it.key);
    if (removal != removed.end() && removal->second < it.revision) {
      removed.erase(removal);
    }
  }
  for (const auto& [key, revision] : removed) {
    OnRemoved(context, list, key, revision);
  }
}

void StartRead(Context& context, WatchedList list, Watch& watch) {
  watch.in_flight = true;
  watch.sent_at = context.now;
  SendStoreRequest(
      context,
      StoreRange{.prefix = PrefixOf(context.state, list), .after = watch.after},
      ForWatch{.list = list});
}

void StartWatch(Context& context, WatchedList list, Watch& watch) {
  watch.in_flight = true;
  watch.sent_at = context.now;
  SendStoreRequest(context,
                   StoreWatch{.prefix = PrefixOf(context.state, list),
                              .after = watch.revision,
                              .wait = kWatchWait},
                   ForWatch{.list = list}, kWatchWait + kWatchSlack);
}

// Restarts the read of the list, because the store no longer has the history
// since the last revision or the read is stale: the changes since then can only
// be learned from a complete read.
void ReadAgain(Watch& watch) {
  watch.reading = true;
  watch.after.clear();
  watch.seen.clear();
}

// Removes the members that were gone when the list was read. A watch that was
// sent before a cut tells of them only after its timeout.
void RemoveMembersNotIn(Context& context, const StoreDone& page) {
  std::set<std::string> listed;
  for (const StoreItem& it : page.items) {
    listed.insert(it.key);
  }
  std::vector<std::string> removed;
  for (const auto& [incarnation, it] : context.state.members.present) {
    const std::string key = MemberKey(incarnation);
    const bool is_self = incarnation == context.self();
    if (!is_self && it.fence <= page.revision && !listed.contains(key)) {
      removed.push_back(key);
    }
  }
  for (const std::string& it : removed) {
    OnMemberRemoved(context, it, page.revision);
  }
}

}  // namespace

void DriveWatches(Context& context) {
  for (std::size_t it = 0; it < kWatchedLists; ++it) {
    Watch& watch = context.state.watches.at(it);
    const auto list = static_cast<WatchedList>(it);
    if (watch.in_flight || context.now < watch.retry_at) {
      continue;
    }
    if (watch.reading) {
      StartRead(context, list, watch);
    } else {
      StartWatch(context, list, watch);
    }
  }
}

void OnWatchAnswer(Context& context,
                   WatchedList list,
                   const StoreAnswer& answer) {
  Watch& watch = context.state.watches.at(static_cast<std::size_t>(list));
  watch.in_flight = false;
  if (const auto* done = std::get_if<StoreDone>(&answer)) {
    if (watch.reading) {
      OnPage(context, list, *done);
    } else {
      OnChanges(context, list, *done);
      watch.known_to = std::max(watch.known_to, watch.sent_at);
      watch.followed_to = watch.sent_at;
      watch.retry_at = context.now + PauseOf(list);
    }
  } else if (std::holds_alternative<StoreAbsent>(answer)) {
    ReadAgain(watch);
  } else {
    watch.retry_at = context.now + kStoreRetryDelay;
  }
  DriveWatches(context);
}

void RequestMembers(Context& context) {
  MembersCheck& check = context.state.members_check;
  if (check.in_flight ||
      !HasPassed(context.now, check.sent_at, kMembersReadInterval)) {
    return;
  }
  check.in_flight = true;
  check.sent_at = context.now;
  SendStoreRequest(context, StoreRange{.prefix = std::string(kMemberPrefix)},
                   ForMembersCheck{});
}

void OnMembersRead(Context& context, const StoreAnswer& answer) {
  MembersCheck& check = context.state.members_check;
  check.in_flight = false;
  const auto* page = std::get_if<StoreDone>(&answer);
  if (page == nullptr) {
    return;  // what needs it requests it again
  }
  Watch& watch =
      context.state.watches[static_cast<std::size_t>(WatchedList::kMembers)];
  if (page->revision < watch.revision) {
    return;  // the watch has told of later changes, perhaps of removals
  }
  for (const StoreItem& it : page->items) {
    OnMemberItem(context, it);
  }
  if (!page->more) {
    check.revision = page->revision;
    RemoveMembersNotIn(context, *page);
  }
  // If one page does not hold all members, only the watch can be relied on. So
  // it is after a longer interruption of the watch, in which a member could
  // have registered and left.
  const bool is_continuous =
      !HasPassed(check.sent_at, watch.followed_to, kMemberTtl);
  if (!page->more && is_continuous) {
    watch.known_to = std::max(watch.known_to, check.sent_at);
  }
}

bool ListsAreRead(const State& state) {
  return std::all_of(state.watches.begin(), state.watches.end(),
                     [](const Watch& watch) { return watch.complete; });
}

}  // namespace burdockrock::engine
