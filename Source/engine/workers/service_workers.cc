#include "engine/workers/service_workers.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

constexpr std::int64_t kClassMilli = 1000;

OwnerStatus StatusOf(const State& state, const std::string& owner) {
  return {
      .is_member = FindMember(state, owner) != nullptr,
      .unresponsive = state.unresponsive_members.unresponsive.contains(owner)};
}

const OwnerStatus* OwnerStatusOf(State& state, const std::string& owner) {
  if (owner.empty()) {
    return nullptr;
  }
  const auto [it, is_new] = state.service_index.owners.try_emplace(owner);
  if (is_new) {
    it->second = StatusOf(state, owner);
  }
  return &it->second;
}

bool IsUsable(const RoomView& view) {
  const ViewLinks& links = view.links;
  return view.accepting && !view.lost && links.listed != nullptr &&
         links.listed->listed && !links.listed->info.draining &&
         links.owner != nullptr && links.owner->is_member &&
         !links.owner->unresponsive;
}

void Remove(RoomView& view) {
  const CountedWorker& counted = view.counted;
  ServiceWorkers& service = *counted.service;
  service.room.free -= counted.free_milli;
  service.room.all -= counted.all_milli;
  service.slowness -= counted.slowness;
  service.rated -= counted.slowness > 0 ? 1 : 0;
  auto& others = service.by_room.at(RoomClassOf(counted.free_milli));
  others.back()->counted.position = counted.position;
  others[counted.position] = others.back();
  others.pop_back();
  view.counted = {};
}

void Add(RoomView& view, const CountedWorker& counted) {
  ServiceWorkers& service = *counted.service;
  service.room.free += counted.free_milli;
  service.room.all += counted.all_milli;
  service.slowness += counted.slowness;
  service.rated += counted.slowness > 0 ? 1 : 0;
  auto& others = service.by_room.at(RoomClassOf(counted.free_milli));
  view.counted = counted;
  view.counted.position = others.size();
  others.push_back(&view);
}

// Where only the counts change, the worker keeps its place.
bool UpdateInPlace(RoomView& view, const CountedWorker& counted) {
  CountedWorker& before = view.counted;
  if (before.service != counted.service ||
      RoomClassOf(before.free_milli) != RoomClassOf(counted.free_milli)) {
    return false;
  }
  ServiceWorkers& service = *counted.service;
  service.room.free += counted.free_milli - before.free_milli;
  service.room.all += counted.all_milli - before.all_milli;
  service.slowness += std::int64_t{counted.slowness} - before.slowness;
  service.rated +=
      (counted.slowness > 0 ? 1 : 0) - (before.slowness > 0 ? 1 : 0);
  const std::size_t position = before.position;
  before = counted;
  before.position = position;
  return true;
}

void Link(State& state, ListedWorker& listed, RoomView& view) {
  view.links.listed = &listed;
  view.links.service = &state.service_index.services[listed.info.service];
}

}  // namespace

void OnWorkerEntryChanged(State& state, const std::string& id) {
  ++state.workers_version;
  const auto view = state.view.find(id);
  const auto listed = state.workers.find(id);
  if (view != state.view.end() && listed != state.workers.end()) {
    Link(state, listed->second, view->second);
    OnRoomChanged(view->second);
  }
}

void EraseWorker(State& state, const std::string& id) {
  const auto view = state.view.find(id);
  if (view != state.view.end()) {
    view->second.links.listed = nullptr;
    OnRoomChanged(view->second);
  }
  state.workers.erase(id);
}

void SetRoom(State& state,
             const std::string& id,
             RoomView& view,
             RoomView room) {
  room.links = view.links;
  room.counted = view.counted;
  if (room.owner != view.owner || room.links.owner == nullptr) {
    room.links.owner = OwnerStatusOf(state, room.owner);
  }
  view = std::move(room);
  if (view.links.listed == nullptr) {
    const auto listed = state.workers.find(id);
    if (listed != state.workers.end()) {
      Link(state, listed->second, view);
    }
  }
  OnRoomChanged(view);
}

void OnRoomChanged(RoomView& view) {
  if (!IsUsable(view)) {
    if (view.counted.service != nullptr) {
      Remove(view);
    }
    return;
  }
  const CountedWorker counted{
      .service = view.links.service,
      .free_milli = view.free.processors_milli,
      .all_milli = view.links.listed->info.capacity.processors_milli,
      .slowness = view.slowness};
  if (view.counted.service == nullptr) {
    Add(view, counted);
  } else if (!UpdateInPlace(view, counted)) {
    Remove(view);
    Add(view, counted);
  }
}

void UpdateOwners(State& state) {
  ServiceIndex& index = state.service_index;
  const std::uint64_t unresponsive = state.unresponsive_members.version;
  if (index.members_version == state.members.version &&
      index.unresponsive_version == unresponsive) {
    return;
  }
  index.members_version = state.members.version;
  index.unresponsive_version = unresponsive;
  bool changed = false;
  for (auto& [owner, status] : index.owners) {
    changed |= status != StatusOf(state, owner);
    status = StatusOf(state, owner);
  }
  if (!changed) {
    return;
  }
  for (auto& [id, view] : state.view) {
    OnRoomChanged(view);
  }
}

bool IsOwnerMember(const State& state, const RoomView& view) {
  const bool current =
      state.service_index.members_version == state.members.version;
  return current && view.links.owner != nullptr
             ? view.links.owner->is_member
             : FindMember(state, view.owner) != nullptr;
}

const ServiceWorkers* FindServiceWorkers(State& state,
                                         const std::string& service) {
  UpdateOwners(state);
  const auto it = state.service_index.services.find(service);
  return it == state.service_index.services.end() ? nullptr : &it->second;
}

std::size_t RoomClassOf(std::int64_t free_milli) {
  constexpr auto kLast = static_cast<std::int64_t>(kRoomClasses - 1);
  return static_cast<std::size_t>(
      std::clamp<std::int64_t>(free_milli / kClassMilli, 0, kLast));
}

}  // namespace burdockrock::engine
