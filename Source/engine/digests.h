// The peers' view of all workers' room, kept up by digests.
#ifndef BURDOCKROCK_ENGINE_DIGESTS_H_
#define BURDOCKROCK_ENGINE_DIGESTS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

void DriveDigests(Context& context);

void OnRoomDigest(Context& context,
                  const std::string& from,
                  const RoomDigest& digest);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_DIGESTS_H_
