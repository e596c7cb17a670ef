#include "runtime/server_problem.h"

namespace burdockrock {

EventNumber EventOf(HttpServerProblemKind kind) {
  switch (kind) {
    case HttpServerProblemKind::kMalformed:
      return EventNumber::kMalformedRequest;
    case HttpServerProblemKind::kHeaderTooLarge:
    case HttpServerProblemKind::kBodyTooLarge:
      return EventNumber::kRequestTooLarge;
    case HttpServerProblemKind::kSlowRequest:
    case HttpServerProblemKind::kSlowReader:
      return EventNumber::kSlowClientCut;
    case HttpServerProblemKind::kTooManyConnections:
    case HttpServerProblemKind::kAcceptFailed:
      return EventNumber::kTooManyConnections;
  }
  return EventNumber::kMalformedRequest;
}

}  // namespace burdockrock
