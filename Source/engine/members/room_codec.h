// Rooms of workers in JSON, as short as they can be: most bytes between entry
// instances are theirs.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_ROOM_CODEC_H_
#define BURDOCKROCK_ENGINE_MEMBERS_ROOM_CODEC_H_

#include <vector>

#include <json/value.h>

#include "engine/members/peer_message.h"
#include "wire/json_place.h"

namespace burdockrock::engine {

// An array. A number in it is the owner's fence for the rows behind it; a row
// is an array of the worker, the version, 0, 1 (accepting) or 2 (gone), free
// processors and memory, the slowness, free accelerators, and what yields in
// the order processors, memory, accelerators. Zeros at a row's end are left
// out.
Json::Value WriteValue(const std::vector<WorkerRoom>& rooms);
void ReadValue(const JsonPlace& place, std::vector<WorkerRoom>& out);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_ROOM_CODEC_H_
