#include "engine/fake_store.h"

#include <algorithm>

namespace burdockrock::engine {

std::optional<StoreAnswer> FakeStore::Handle(Time now,
                                             const StoreRequest& request) {
  Expire(now);
  return std::visit([&](const auto& it) { return Answer(now, it); }, request);
}

void FakeStore::Expire(Time now) {
  std::vector<std::uint64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires <= now) {
      ended.push_back(id);
    }
  }
  for (const std::uint64_t it : ended) {
    leases_.erase(it);
    EraseLeased(it);
  }
}

void FakeStore::Put(const std::string& key, const std::string& value) {
  ++revision_;
  Write(key, value, 0);
}

void FakeStore::Remove(const std::string& key) {
  ++revision_;
  Erase(key);
}

void FakeStore::Revoke(const std::string& prefix) {
  for (const std::string& it : Keys(prefix)) {
    leases_.erase(entries_[it].lease);
    Remove(it);
  }
}

std::vector<std::string> FakeStore::Keys(const std::string& prefix) const {
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (key.starts_with(prefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::string FakeStore::ValueOf(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? std::string() : it->second.item.value;
}

std::optional<StoreAnswer> FakeStore::Answer(Time /*now*/,
                                             const StoreRead& it) {
  const auto entry = entries_.find(it.key);
  if (entry == entries_.end()) {
    return StoreAbsent{};
  }
  return StoreDone{.items = {entry->second.item}, .revision = revision_};
}

std::optional<StoreAnswer> FakeStore::Answer(Time /*now*/,
                                             const StoreRange& it) {
  constexpr std::size_t kPageSize = 50;
  StoreDone done{.revision = revision_};
  for (const auto& [key, entry] : entries_) {
    if (!key.starts_with(it.prefix) || key <= it.after) {
      continue;
    }
    if (done.items.size() == kPageSize) {
      done.more = true;
      break;
    }
    done.items.push_back(entry.item);
  }
  return done;
}

std::optional<StoreAnswer> FakeStore::Answer(Time /*now*/,
                                             const StoreWatch& it) {
  if (it.after < oldest_) {
    return StoreAbsent{};
  }
  StoreDone done{.revision = revision_};
  std::map<std::string, Change> last;
  // The history is sorted by revision.
  const auto first = std::upper_bound(
      history_.begin(), history_.end(), it.after,
      [](std::uint64_t after, const Change& c) { return after < c.revision; });
  for (auto change = first; change != history_.end(); ++change) {
    if (change->key.starts_with(it.prefix)) {
      last[change->key] = *change;
    }
  }
  for (const auto& [key, change] : last) {
    if (change.removed) {
      done.removed.push_back({.key = key, .revision = change.revision});
    } else if (const auto entry = entries_.find(key); entry != entries_.end()) {
      done.items.push_back(entry->second.item);
    }
  }
  if (last.empty()) {
    return std::nullopt;
  }
  return done;
}

std::optional<StoreAnswer> FakeStore::Answer(Time /*now*/,
                                             const StoreTransaction& it) {
  ++transactions_;
  if (!Accepts(it)) {
    ++rejected_;
    return StoreRejected{.detail = "status 400"};
  }
  StoreConflict conflict;
  bool holds = true;
  for (const StoreCondition& condition : it.conditions) {
    const auto entry = entries_.find(condition.key);
    StoreItem item{.key = condition.key};
    if (entry != entries_.end()) {
      item = entry->second.item;
    }
    holds = holds && item.revision == condition.revision;
    conflict.items.push_back(item);
  }
  if (!holds) {
    return conflict;
  }
  for (const StorePut& put : it.puts) {
    if (put.lease != 0 && !leases_.contains(put.lease)) {
      return StoreAbsent{};
    }
  }
  ++revision_;
  for (const std::string& key : it.removes) {
    Erase(key);
  }
  for (const StorePut& put : it.puts) {
    Write(put.key, put.value, put.lease);
  }
  return StoreDone{.revision = revision_};
}

std::optional<StoreAnswer> FakeStore::Answer(Time now,
                                             const StoreLeaseGrant& it) {
  leases_[++last_lease_] = Lease{.ttl = it.ttl, .expires = now + it.ttl};
  return StoreDone{.lease = last_lease_};
}

std::optional<StoreAnswer> FakeStore::Answer(Time now,
                                             const StoreLeaseRenew& it) {
  const auto lease = leases_.find(it.lease);
  if (lease == leases_.end()) {
    return StoreAbsent{};
  }
  lease->second.expires = now + lease->second.ttl;
  return StoreDone{};
}

std::optional<StoreAnswer> FakeStore::Answer(Time /*now*/,
                                             const StoreLeaseEnd& it) {
  leases_.erase(it.lease);
  EraseLeased(it.lease);
  return StoreDone{};
}

bool FakeStore::Accepts(const StoreTransaction& it) const {
  const std::size_t entries =
      it.conditions.size() + it.puts.size() + it.removes.size();
  return entries <= kMaxEntries &&
         std::all_of(it.puts.begin(), it.puts.end(), [&](const StorePut& put) {
           return put.key.size() <= kMaxKeyBytes &&
                  put.value.size() <= max_value_bytes && !rejects(put);
         });
}

void FakeStore::Write(const std::string& key,
                      const std::string& value,
                      std::uint64_t lease) {
  entries_[key] =
      Entry{.item = {.key = key, .value = value, .revision = revision_},
            .lease = lease};
  history_.push_back({.revision = revision_, .key = key});
}

void FakeStore::Erase(const std::string& key) {
  if (entries_.erase(key) > 0) {
    history_.push_back({.revision = revision_, .key = key, .removed = true});
  }
}

void FakeStore::EraseLeased(std::uint64_t lease) {
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& it : keys) {
    Remove(it);
  }
}

}  // namespace burdockrock::engine
