#include "standin/lagging_instances.h"

namespace burdockrock::standin {

void LaggingInstances::Set(const std::vector<InstanceInfo>& instances) {
  actual_.clear();
  pending_.clear();
  for (const InstanceInfo& it : instances) {
    actual_.insert_or_assign(it.id, it);
  }
  visible_ = actual_;
  ++revision_;
}

void LaggingInstances::Upsert(const InstanceInfo& instance, Time now) {
  actual_.insert_or_assign(instance.id, instance);
  pending_.emplace(now + lag_, Change{.id = instance.id, .instance = instance});
}

void LaggingInstances::MarkLeaving(const std::string& id,
                                   bool leaving,
                                   Time now) {
  const auto it = actual_.find(id);
  if (it == actual_.end()) {
    return;
  }
  InstanceInfo instance = it->second;
  instance.leaving = leaving;
  Upsert(instance, now);
}

void LaggingInstances::SetCapacity(const std::string& id,
                                   const Resources& capacity,
                                   Time now) {
  const auto it = actual_.find(id);
  if (it != actual_.end()) {
    InstanceInfo instance = it->second;
    instance.capacity = capacity;
    Upsert(instance, now);
  }
}

void LaggingInstances::Remove(const std::string& id, Time now) {
  actual_.erase(id);
  pending_.emplace(now + lag_, Change{.id = id, .instance = std::nullopt});
}

bool LaggingInstances::Advance(Time now) {
  bool changed = false;
  while (!pending_.empty() && pending_.begin()->first <= now) {
    const Change& change = pending_.begin()->second;
    if (change.instance) {
      visible_.insert_or_assign(change.id, *change.instance);
    } else {
      visible_.erase(change.id);
    }
    pending_.erase(pending_.begin());
    ++revision_;
    changed = true;
  }
  return changed;
}

Time LaggingInstances::NextEventTime() const {
  return pending_.empty() ? kForever : pending_.begin()->first;
}

InstanceList LaggingInstances::Visible() const {
  InstanceList list{.revision = revision_, .instances = {}};
  list.instances.reserve(visible_.size());
  for (const auto& [id, instance] : visible_) {
    list.instances.push_back(instance);
  }
  return list;
}

}  // namespace burdockrock::standin
