// The log events of what an HTTP server deals with itself.
#ifndef BURDOCKROCK_RUNTIME_SERVER_PROBLEM_H_
#define BURDOCKROCK_RUNTIME_SERVER_PROBLEM_H_

#include "net/http_server_options.h"
#include "observe/event_number.h"

namespace burdockrock {

// Of a server for callers.
EventNumber EventOf(HttpServerProblemKind kind);

// Of a server for peers. Only what can't be read points to a fault of the peer:
// machines that are lost and networks that are cut end connections at any time.
EventNumber PeerEventOf(HttpServerProblemKind kind);

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_SERVER_PROBLEM_H_
