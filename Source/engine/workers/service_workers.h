// The workers of each service that accept tasks, with their room and speed.
// Kept up to date with each change of a worker, of its room or of its owner, as
// placement needs them far more often than they change.
#ifndef BURDOCKROCK_ENGINE_WORKERS_SERVICE_WORKERS_H_
#define BURDOCKROCK_ENGINE_WORKERS_SERVICE_WORKERS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "engine/state.h"

namespace burdockrock::engine {

// To be called when the worker's entry of State::workers was added or changed.
void OnWorkerEntryChanged(State& state, const std::string& id);

// Removes the worker from State::workers.
void EraseWorker(State& state, const std::string& id);

// Replaces what is known of the worker's room. `view` is its entry of
// State::view.
void SetRoom(State& state,
             const std::string& id,
             RoomView& view,
             RoomView room);

// To be called when the view's free room, or whether its worker accepts tasks,
// was changed in place.
void OnRoomChanged(RoomView& view);

// Takes over changes of the members and of which of them are unresponsive.
void UpdateOwners(State& state);

// Whether a member announces the worker of the view as its own.
bool IsOwnerMember(const State& state, const RoomView& view);

// Null if none was ever counted.
const ServiceWorkers* FindServiceWorkers(State& state,
                                         const std::string& service);

// The class of workers with so many free processors, in thousandths.
std::size_t RoomClassOf(std::int64_t free_milli);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_SERVICE_WORKERS_H_
