// The log events of what an HTTP server deals with itself.
#ifndef BURDOCKROCK_RUNTIME_SERVER_PROBLEM_H_
#define BURDOCKROCK_RUNTIME_SERVER_PROBLEM_H_

#include "net/http_server_options.h"
#include "observe/event_number.h"

namespace burdockrock {

EventNumber EventOf(HttpServerProblemKind kind);

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_SERVER_PROBLEM_H_
