// The peers' view of all workers' room, kept up by digests.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_DIGESTS_H_
#define BURDOCKROCK_ENGINE_MEMBERS_DIGESTS_H_

#include <optional>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Tells the members what has changed here, and asks them for what was missed.
void DriveDigests(Context& context);

void OnRoomDigest(Context& context,
                  const std::string& from,
                  const RoomDigest& digest);

// Free room of an own worker, or that it is gone; nothing of any other.
std::optional<WorkerRoom> RoomOfWorker(Context& context, const std::string& id);

// `from` has said so. Older than what is known, it counts for nothing.
void OnRoom(Context& context, const std::string& from, const WorkerRoom& room);

void OnDigestRequest(Context& context, const std::string& from);

// Asks the worker's owner for its room, as after an offer that never arrived:
// what is known of it may be wrong, and no digest would correct it.
void RequestRoomUpdate(Context& context, const std::string& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_DIGESTS_H_
