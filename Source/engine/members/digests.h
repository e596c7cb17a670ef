// Digests: keep each member's view of all workers' room up to date.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_DIGESTS_H_
#define BURDOCKROCK_ENGINE_MEMBERS_DIGESTS_H_

#include <optional>
#include <string>

#include "engine/context.h"
#include "engine/members/digest_gaps.h"

namespace burdockrock::engine {

// Does what is due by now: sends local changes to the other members, sends
// whole digests that were requested, and requests those that were missed.
void DriveDigests(Context& context);

// `from` sent the digest, on the way `route`.
void OnRoomDigest(Context& context,
                  const std::string& from,
                  const RoomDigest& digest,
                  DigestRoute route);

// Room of a worker that this instance owns or has declared lost; nothing for
// any other worker.
std::optional<WorkerRoom> RoomOfWorker(Context& context, const std::string& id);

// Takes over the room that `from` reported for its worker. Ignored when it is
// older than what is known.
void OnRoom(Context& context, const std::string& from, const WorkerRoom& room);

// `from` requests a whole digest.
void OnDigestRequest(Context& context, const std::string& from);

// Requests a whole digest from the worker's owner, for example after a lost
// offer: the known room may be wrong, and without a change there no digest
// would correct it.
void RequestRoomUpdate(Context& context, const std::string& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_DIGESTS_H_
