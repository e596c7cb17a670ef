#include "engine/configuration.h"

#include <algorithm>

namespace burdockrock::engine {

const QueuePolicy* FindQueue(const Configuration& configuration,
                             std::string_view host,
                             std::string_view path) {
  const QueuePolicy* best = nullptr;
  for (const QueuePolicy& it : configuration.queues) {
    const bool longer =
        best == nullptr || it.prefix.size() > best->prefix.size();
    if (longer && it.host == host && path.starts_with(it.prefix)) {
      best = &it;
    }
  }
  return best;
}

const QueuePolicy* FindQueueByName(const Configuration& configuration,
                                   std::string_view name) {
  const auto it = std::find_if(
      configuration.queues.begin(), configuration.queues.end(),
      [name](const QueuePolicy& queue) { return queue.name == name; });
  return it == configuration.queues.end() ? nullptr : &*it;
}

Resources CapOf(const Configuration& configuration, std::string_view team) {
  const TeamPolicy* policy = configuration.teams
                                 ? FindTeamByName(*configuration.teams, team)
                                 : nullptr;
  return policy == nullptr ? Resources() : policy->cap;
}

const std::string& WorkerInfo::rack() const {
  static const std::string kNone;
  return labels.empty() ? kNone : labels.back();
}

bool HasLabel(const WorkerInfo& worker, std::string_view label) {
  return std::find(worker.labels.begin(), worker.labels.end(), label) !=
         worker.labels.end();
}

}  // namespace burdockrock::engine
