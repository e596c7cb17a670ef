#include "fake_platform.h"

#include <variant>

namespace burdockrock {

PlatformResult FakePlatform::Execute(const PlatformOperation& operation) {
  if (const auto* put = std::get_if<KvPut>(&operation)) {
    return Put(*put);
  }
  if (const auto* erase = std::get_if<KvDelete>(&operation)) {
    return Delete(*erase);
  }
  if (const auto* get = std::get_if<KvGet>(&operation)) {
    return Get(*get);
  }
  if (const auto* range = std::get_if<KvRange>(&operation)) {
    return Range(*range);
  }
  return PlatformUnavailable{.may_have_taken_effect = false,
                             .message = "not in this fake"};
}

PlatformResult FakePlatform::Put(const KvPut& put) {
  ++writes_;
  if (put.value.size() > kMaxPlatformValueBytes) {
    return KvTooLarge{};
  }
  const Revision current = RevisionOf(put.key);
  if (put.expect && *put.expect != current) {
    return KvConflict{.revision = current};
  }
  written_bytes_ += put.value.size();
  items_[put.key] =
      KvItem{.key = put.key, .value = put.value, .revision = ++revision_};
  return KvDone{.revision = revision_};
}

PlatformResult FakePlatform::Delete(const KvDelete& erase) {
  ++writes_;
  const Revision current = RevisionOf(erase.key);
  if (current == 0) {
    return KvMissing{};
  }
  if (erase.expect && *erase.expect != current) {
    return KvConflict{.revision = current};
  }
  items_.erase(erase.key);
  return KvDone{.revision = ++revision_};
}

PlatformResult FakePlatform::Get(const KvGet& get) {
  ++reads_;
  const auto it = items_.find(get.key);
  if (it == items_.end()) {
    return KvMissing{};
  }
  return KvItems{.revision = revision_, .items = {it->second}};
}

PlatformResult FakePlatform::Range(const KvRange& range) {
  ++reads_;
  KvItems found{.revision = revision_, .items = {}};
  for (const auto& [key, item] : items_) {
    if (key.starts_with(range.prefix)) {
      found.items.push_back(item);
    }
  }
  return found;
}

Revision FakePlatform::RevisionOf(const std::string& key) const {
  const auto it = items_.find(key);
  return it == items_.end() ? 0 : it->second.revision;
}

}  // namespace burdockrock
