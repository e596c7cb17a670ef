// How much of a message is the callers' own: payloads and answers. The metric
// of control bytes leaves it out.
#ifndef BURDOCKROCK_RUNTIME_PAYLOAD_BYTES_H_
#define BURDOCKROCK_RUNTIME_PAYLOAD_BYTES_H_

#include <cstddef>

#include "model/caller_message.h"
#include "model/peer_message.h"
#include "model/worker_message.h"

namespace burdockrock {

std::size_t PayloadBytes(const WorkerCommand& command);
std::size_t PayloadBytes(const WorkerResult& result);
std::size_t PayloadBytes(const PeerMessage& message);
std::size_t PayloadBytes(const CallerAnswer& answer);

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_PAYLOAD_BYTES_H_
