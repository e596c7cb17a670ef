// Commands to workers and minions as HTTP, and their answers.
#ifndef BURDOCKROCK_WIRE_WORKER_CODEC_H_
#define BURDOCKROCK_WIRE_WORKER_CODEC_H_

#include "model/worker_message.h"
#include "net/http_message.h"

namespace burdockrock {

// In the order of WorkerCommand's alternatives.
enum class WorkerCommandKind { kClaim, kStart, kRun, kRenew, kStop };

WorkerCommandKind KindOf(const WorkerCommand& command);

HttpRequest EncodeWorkerCommand(const WorkerCommand& command);

// The answer to a command of `kind`. One that can't be read, and any status
// that the protocol does not name, is WorkerUnreachable with `garbage` set:
// the command may have taken effect.
WorkerResult DecodeWorkerAnswer(WorkerCommandKind kind,
                                const HttpResponse& response);

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_WORKER_CODEC_H_
