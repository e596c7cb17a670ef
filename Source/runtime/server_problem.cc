#include "runtime/server_problem.h"

namespace burdockrock {

EventNumber EventOf(HttpServerProblemKind kind) {
  switch (kind) {
    case HttpServerProblemKind::kMalformed:
      return EventNumber::kMalformedRequest;
    case HttpServerProblemKind::kCutOff:
      return EventNumber::kRequestCutOff;
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

EventNumber PeerEventOf(HttpServerProblemKind kind) {
  switch (kind) {
    case HttpServerProblemKind::kMalformed:
    case HttpServerProblemKind::kHeaderTooLarge:
    case HttpServerProblemKind::kBodyTooLarge:
      return EventNumber::kPeerMalformed;
    case HttpServerProblemKind::kCutOff:
    case HttpServerProblemKind::kSlowRequest:
    case HttpServerProblemKind::kSlowReader:
    case HttpServerProblemKind::kTooManyConnections:
    case HttpServerProblemKind::kAcceptFailed:
      break;
  }
  return EventOf(kind);
}

}  // namespace burdockrock
