// Commands to workers and minions as HTTP, and their answers.
#ifndef BURDOCKROCK_WIRE_WORKER_CODEC_H_
#define BURDOCKROCK_WIRE_WORKER_CODEC_H_

#include <variant>

#include "model/worker_message.h"
#include "net/http_message.h"
#include "wire/decode_error.h"

namespace burdockrock {

// In the order of WorkerCommand's alternatives.
enum class WorkerCommandKind { kClaim, kStart, kRun, kRenew, kStop };

WorkerCommandKind KindOf(const WorkerCommand& command);

HttpRequest EncodeWorkerCommand(const WorkerCommand& command);

std::variant<WorkerCommand, DecodeError> DecodeWorkerCommand(
    const HttpRequest& request);

// What a worker answers to a command of `kind`. A refused start or run names
// the epoch and owner `in_force` too.
HttpResponse EncodeWorkerAnswer(WorkerCommandKind kind,
                                const WorkerResult& result,
                                const StaleEpoch& in_force);

// The answer to a command of `kind`. One that can't be read, and any status
// that the protocol does not name, is WorkerUnreachable with `garbage` set:
// the command may have taken effect.
WorkerResult DecodeWorkerAnswer(WorkerCommandKind kind,
                                const HttpResponse& response);

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_WORKER_CODEC_H_
