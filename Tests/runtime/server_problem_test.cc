// Connections that end say nothing about what a peer has sent.
#include "runtime/server_problem.h"

#include <doctest/doctest.h>

namespace burdockrock {
namespace {

using Kind = HttpServerProblemKind;

// 202 connections that ended with lost machines and a cut network were logged
// as errors, as messages of peers that can't be parsed.
TEST_CASE("Connections that end are told apart from what can't be parsed") {
  CHECK(EventOf(Kind::kCutOff) == EventNumber::kRequestCutOff);
  CHECK(PeerEventOf(Kind::kCutOff) == EventNumber::kRequestCutOff);
  CHECK(PeerEventOf(Kind::kSlowRequest) == EventNumber::kSlowClientCut);
  CHECK(PeerEventOf(Kind::kSlowReader) == EventNumber::kSlowClientCut);
  CHECK(PeerEventOf(Kind::kTooManyConnections) ==
        EventNumber::kTooManyConnections);
  CHECK(PeerEventOf(Kind::kAcceptFailed) == EventNumber::kTooManyConnections);
}

TEST_CASE("What a peer sends and can't be read stays an error of the peer") {
  CHECK(PeerEventOf(Kind::kMalformed) == EventNumber::kPeerMalformed);
  CHECK(PeerEventOf(Kind::kHeaderTooLarge) == EventNumber::kPeerMalformed);
  CHECK(PeerEventOf(Kind::kBodyTooLarge) == EventNumber::kPeerMalformed);
  CHECK(EventOf(Kind::kMalformed) == EventNumber::kMalformedRequest);
  CHECK(EventOf(Kind::kBodyTooLarge) == EventNumber::kRequestTooLarge);
}

}  // namespace
}  // namespace burdockrock
