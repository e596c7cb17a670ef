// Compact JSON encoding of worker rooms, which make up most of the bytes
// between entry instances.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_ROOM_CODEC_H_
#define BURDOCKROCK_ENGINE_MEMBERS_ROOM_CODEC_H_

#include <string>
#include <vector>

#include <json/value.h>

#include "engine/members/peer_message.h"
#include "net/json_dom.h"
#include "wire/json_place.h"

namespace burdockrock::engine {

// The encoding is an array of numbers and rows. A number is the owner's fence
// of the rows after it. A row is an array of the worker, the version, the state
// (0, 1: accepting, 2: lost), free processors (thousandths) and memory (MB),
// the slowness, free accelerators, and the preemptible room as processors,
// memory and accelerators. Zeros at the end of a row are omitted.
Json::Value WriteValue(const std::vector<WorkerRoom>& rooms);
void ReadValue(const JsonPlace& place, std::vector<WorkerRoom>& out);
// See wire/text_writer.h and wire/dom_reader.h.
void WriteText(const std::vector<WorkerRoom>& rooms, std::string& out);
bool ReadDom(const JsonElement& value, std::vector<WorkerRoom>& out);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_ROOM_CODEC_H_
