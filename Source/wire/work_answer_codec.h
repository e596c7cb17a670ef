// Answers to requests and to the submission of jobs, for callers and peers.
#ifndef BURDOCKROCK_WIRE_WORK_ANSWER_CODEC_H_
#define BURDOCKROCK_WIRE_WORK_ANSWER_CODEC_H_

#include <json/value.h>

#include "model/caller_message.h"
#include "wire/json_place.h"

namespace burdockrock {

// {"verdict":"ran","id","answer","failed","waited_ms"}, and by verdict
// "reason", "detail" and "retry_after_ms", which is rounded up: 0 would say
// that asking again won't help.
Json::Value WriteValue(const WorkAnswer& answer);

void ReadValue(const JsonPlace& place, WorkAnswer& out);

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_WORK_ANSWER_CODEC_H_
