#include "engine/jobs/candidates.h"

#include <cstdint>
#include <map>

#include <xxhash.h>

#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// Interval of counts of the services' room and of their speed, which look at
// all workers.
constexpr Duration kCountInterval = milliseconds(100);

// Upper bound of the preference for another owner's worker.
constexpr double kMaxForeignPreference = 0.5;

double PreferenceFor(const Context& context,
                     ListedWorker& listed,
                     const std::string& owner) {
  if (owner == context.self()) {
    return 1;
  }
  if (!listed.foreign_preference) {
    const std::string& worker = listed.info.id;
    const XXH64_hash_t seed =
        XXH64(context.self().data(), context.self().size(), 0);
    const XXH64_hash_t hash = XXH64(worker.data(), worker.size(), seed);
    listed.foreign_preference =
        kMaxForeignPreference * static_cast<double>(hash >> 11U) / 0x1p53;
  }
  return *listed.foreign_preference;
}

// Estimates are wrong by a similar factor for all workers, so only differences
// between workers count. A worker without data counts as average.
double RelativeSlowness(const RoomView& view, double mean) {
  return view.slowness > 0 && mean > 0
             ? static_cast<double>(view.slowness) / mean
             : 1;
}

void CountRooms(State& state) {
  auto& services = state.service_rooms.services;
  services.clear();
  for (auto& [id, listed] : state.workers) {
    if (const RoomView* view = UsableView(state, id, listed)) {
      ServiceRoom& service = services[listed.info.service];
      service.free += view->free.processors_milli;
      service.all += listed.info.capacity.processors_milli;
    }
  }
}

void CountSpeeds(State& state) {
  auto& services = state.service_speeds.services;
  services.clear();
  std::map<std::string, double> rated;  // workers whose slowness is known
  for (auto& [id, listed] : state.workers) {
    const RoomView* view = UsableView(state, id, listed);
    if (view != nullptr && view->slowness > 0) {
      services[listed.info.service] += static_cast<double>(view->slowness);
      rated[listed.info.service] += 1;
    }
  }
  for (auto& [name, slowness] : services) {
    slowness /= rated[name];
  }
}

// The mean slowness of the service's workers; 0 if it is known of none.
double SlownessOf(const Context& context, const std::string& service) {
  ServiceSpeeds& speeds = context.state.service_speeds;
  if (HasPassed(context.now, speeds.counted_at, kCountInterval)) {
    speeds.counted_at = context.now;
    CountSpeeds(context.state);
  }
  const auto it = speeds.services.find(service);
  return it == speeds.services.end() ? 0 : it->second;
}

Candidate MakeCandidate(const Context& context,
                        ListedWorker& listed,
                        const RoomView& view,
                        double mean_slowness) {
  return {.worker = &listed.info,
          .free = view.free,
          .preemptible = view.yielding,
          .own_domain = listed.info.domain == context.state.options.self.domain,
          .preference = PreferenceFor(context, listed, view.owner),
          .slowness = RelativeSlowness(view, mean_slowness)};
}

}  // namespace

// Caches the view and whether its owner is a member, because each placement
// round needs them for all workers.
const RoomView* UsableView(State& state,
                           const std::string& id,
                           ListedWorker& listed) {
  if (!listed.listed || listed.info.draining) {
    return nullptr;
  }
  if (listed.view == nullptr) {
    const auto it = state.view.find(id);
    listed.view = it == state.view.end() ? nullptr : &it->second;
  }
  RoomView* view = listed.view;
  if (view == nullptr || !view->accepting || view->lost) {
    return nullptr;
  }
  if (view->checked_version != state.members.version) {
    view->checked_version = state.members.version;
    view->owner_is_member = FindMember(state, view->owner) != nullptr;
  }
  if (!view->owner_is_member ||
      state.unresponsive_members.unresponsive.contains(view->owner)) {
    return nullptr;
  }
  return view;
}

std::vector<Candidate> CandidatesOf(const Context& context,
                                    const std::string& service) {
  State& state = context.state;
  const double slowness = SlownessOf(context, service);
  std::vector<Candidate> candidates;
  candidates.reserve(state.workers.size());
  for (auto& [id, listed] : state.workers) {
    if (listed.info.service != service) {
      continue;
    }
    if (const RoomView* view = UsableView(state, id, listed)) {
      candidates.push_back(MakeCandidate(context, listed, *view, slowness));
    }
  }
  return candidates;
}

std::optional<Candidate> CandidateAt(const Context& context,
                                     const std::string& worker) {
  const auto listed = context.state.workers.find(worker);
  if (listed == context.state.workers.end()) {
    return std::nullopt;
  }
  const RoomView* view = UsableView(context.state, worker, listed->second);
  if (view == nullptr) {
    return std::nullopt;
  }
  const std::string& service = listed->second.info.service;
  return MakeCandidate(context, listed->second, *view,
                       SlownessOf(context, service));
}

ServiceRoom RoomOfService(const Context& context, const std::string& service) {
  ServiceRooms& rooms = context.state.service_rooms;
  if (HasPassed(context.now, rooms.counted_at, kCountInterval)) {
    rooms.counted_at = context.now;
    CountRooms(context.state);
  }
  const auto it = rooms.services.find(service);
  return it == rooms.services.end() ? ServiceRoom() : it->second;
}

bool IsHalfFreeBeside(const Context& context,
                      const std::string& service,
                      std::int64_t processors_milli) {
  const ServiceRoom room = RoomOfService(context, service);
  return 2 * (room.free - processors_milli) > room.all;
}

}  // namespace burdockrock::engine
