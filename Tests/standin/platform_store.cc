#include "standin/platform_store.h"

#include <algorithm>
#include <utility>

namespace burdockrock::standin {

namespace {

constexpr CallKind kKindOfOperation[] = {
    CallKind::kGet,   CallKind::kPut,   CallKind::kDelete,
    CallKind::kRange, CallKind::kWatch, CallKind::kInstances};

static_assert(std::size(kKindOfOperation) ==
              std::variant_size_v<PlatformOperation>);

PlatformUnavailable Refused(std::string message) {
  return {.may_have_taken_effect = false, .message = std::move(message)};
}

PlatformUnavailable Unanswered(std::string message) {
  return {.may_have_taken_effect = true, .message = std::move(message)};
}

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

Duration WaitOf(const PlatformOperation& operation) {
  if (const auto* watch = std::get_if<KvWatch>(&operation)) {
    return watch->wait;
  }
  if (const auto* watch = std::get_if<InstancesWatch>(&operation)) {
    return watch->wait;
  }
  return Duration(0);
}

PlatformStore::PlatformStore(PlatformStoreOptions options)
    : options_(options), instances_(options.instances_lag) {}

PlatformResult PlatformStore::Apply(const PlatformOperation& operation,
                                    Time now) {
  if (auto failure = Admit(kKindOfOperation[operation.index()], now)) {
    return *failure;
  }
  return std::visit(
      Overloaded{
          [&](const KvGet& it) { return Get(it); },
          [&](const KvPut& it) { return AnswerWrite(Put(it, 0)); },
          [&](const KvDelete& it) { return AnswerWrite(Delete(it)); },
          [&](const KvRange& it) -> PlatformResult { return Range(it.prefix); },
          [&](const KvWatch& it) {
            return Changes(it).value_or(EmptyAnswer(operation));
          },
          [&](const InstancesWatch&) -> PlatformResult {
            return instances_.Visible();
          },
      },
      operation);
}

PlatformResult PlatformStore::PutWithLease(const KvPut& put,
                                           LeaseId lease,
                                           Time now) {
  if (auto failure = Admit(CallKind::kPut, now)) {
    return *failure;
  }
  if (!leases_.contains(lease)) {
    return KvMissing{};
  }
  return AnswerWrite(Put(put, lease));
}

PlatformResult PlatformStore::GrantLease(Duration ttl, Time now) {
  if (auto failure = Admit(CallKind::kLease, now)) {
    return *failure;
  }
  const LeaseId id = ++last_lease_;
  leases_[id] = Lease{.ttl = ttl, .expires_at = now + ttl, .keys = {}};
  return AnswerWrite(KvDone{.revision = id});
}

PlatformResult PlatformStore::RenewLease(LeaseId lease, Time now) {
  if (auto failure = Admit(CallKind::kLease, now)) {
    return *failure;
  }
  const auto it = leases_.find(lease);
  if (it == leases_.end()) {
    return KvMissing{};
  }
  it->second.expires_at = now + it->second.ttl;
  return AnswerWrite(KvDone{.revision = lease});
}

std::optional<PlatformResult> PlatformStore::Changes(
    const KvWatch& watch) const {
  if (watch.after >= revision_) {
    return std::nullopt;
  }
  if (watch.after < compacted_) {
    return Range(watch.prefix);
  }
  const auto first = std::upper_bound(
      history_.begin(), history_.end(), watch.after,
      [](Revision after, const Change& it) { return after < it.revision; });
  std::map<std::string, Revision> changed;
  for (auto it = first; it != history_.end(); ++it) {
    if (it->key.starts_with(watch.prefix)) {
      changed[it->key] = it->revision;
    }
  }
  if (changed.empty()) {
    return std::nullopt;
  }
  KvItems answer{.revision = revision_, .items = {}};
  for (const auto& [key, revision] : changed) {
    const auto it = entries_.find(key);
    const bool deleted = it == entries_.end();
    answer.items.push_back({.key = key,
                            .value = deleted ? "" : it->second.value,
                            .revision = revision,
                            .deleted = deleted});
  }
  return answer;
}

std::optional<PlatformResult> PlatformStore::TryWatch(
    const PlatformOperation& watch) const {
  if (const auto* it = std::get_if<KvWatch>(&watch)) {
    return Changes(*it);
  }
  if (std::get<InstancesWatch>(watch).after >= instances_.revision()) {
    return std::nullopt;
  }
  return instances_.Visible();
}

bool PlatformStore::IsEmptyWatch(const PlatformOperation& operation,
                                 const PlatformResult& result) const {
  return WaitOf(operation) > Duration(0) &&
         !std::holds_alternative<PlatformUnavailable>(result) &&
         !TryWatch(operation);
}

PlatformResult PlatformStore::EmptyAnswer(
    const PlatformOperation& watch) const {
  if (std::holds_alternative<KvWatch>(watch)) {
    return KvItems{.revision = revision_, .items = {}};
  }
  return instances_.Visible();
}

void PlatformStore::Advance(Time now) {
  instances_.Advance(now);
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.expires_at > now) {
      ++it;
      continue;
    }
    const std::set<std::string> keys = std::move(it->second.keys);
    it = leases_.erase(it);
    for (const std::string& key : keys) {
      Erase(key);
    }
  }
}

Time PlatformStore::NextEventTime() const {
  Time next = instances_.NextEventTime();
  for (const auto& [id, lease] : leases_) {
    next = std::min(next, lease.expires_at);
  }
  return next;
}

std::optional<PlatformUnavailable> PlatformStore::Admit(CallKind kind,
                                                        Time now) {
  Advance(now);
  calls_.Add(kind, now);
  if (faults_.down) {
    return Unanswered("the platform is down");
  }
  if (faults_.refuse) {
    return Refused("the platform refuses calls");
  }
  const bool write = IsWrite(kind);
  const std::uint32_t limit =
      write ? faults_.max_writes_per_second : faults_.max_reads_per_second;
  if (limit != 0 && calls_.OfGroup(write).this_second > limit) {
    return Refused("over the platform's rate limit");
  }
  return std::nullopt;
}

PlatformResult PlatformStore::AnswerWrite(PlatformResult result) {
  if (faults_.lose_answers > 0 && std::holds_alternative<KvDone>(result)) {
    --faults_.lose_answers;
    return Unanswered("the answer was lost");
  }
  return result;
}

PlatformResult PlatformStore::Put(const KvPut& put, LeaseId lease) {
  if (put.value.size() > kMaxPlatformValueBytes) {
    return KvTooLarge{};
  }
  const auto it = entries_.find(put.key);
  const Revision found = it == entries_.end() ? 0 : it->second.revision;
  if (put.expect && *put.expect != found) {
    return KvConflict{.revision = found};
  }
  if (it != entries_.end()) {
    DetachLease(put.key, it->second.lease);
  }
  Record(put.key);
  entries_[put.key] =
      Entry{.value = put.value, .revision = revision_, .lease = lease};
  if (lease != 0) {
    leases_[lease].keys.insert(put.key);
  }
  return KvDone{.revision = revision_};
}

PlatformResult PlatformStore::Delete(const KvDelete& call) {
  const auto it = entries_.find(call.key);
  if (it == entries_.end()) {
    return KvMissing{};
  }
  if (call.expect && *call.expect != it->second.revision) {
    return KvConflict{.revision = it->second.revision};
  }
  Erase(call.key);
  return KvDone{.revision = revision_};
}

PlatformResult PlatformStore::Get(const KvGet& call) const {
  const auto it = entries_.find(call.key);
  if (it == entries_.end()) {
    return KvMissing{};
  }
  KvItems answer{.revision = revision_, .items = {}};
  answer.items.push_back({.key = call.key,
                          .value = it->second.value,
                          .revision = it->second.revision});
  return answer;
}

KvItems PlatformStore::Range(const std::string& prefix) const {
  KvItems answer{.revision = revision_, .items = {}};
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && it->first.starts_with(prefix); ++it) {
    answer.items.push_back({.key = it->first,
                            .value = it->second.value,
                            .revision = it->second.revision});
  }
  return answer;
}

void PlatformStore::Erase(const std::string& key) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    return;
  }
  DetachLease(key, it->second.lease);
  entries_.erase(it);
  Record(key);
}

void PlatformStore::Record(const std::string& key) {
  ++revision_;
  history_.push_back({.revision = revision_, .key = key});
  if (history_.size() > options_.max_history) {
    compacted_ = history_.front().revision;
    history_.pop_front();
  }
}

void PlatformStore::DetachLease(const std::string& key, LeaseId lease) {
  const auto it = leases_.find(lease);
  if (it != leases_.end()) {
    it->second.keys.erase(key);
  }
}

}  // namespace burdockrock::standin
