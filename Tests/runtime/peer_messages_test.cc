#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <boost/asio/io_context.hpp>

#include "net/http_server.h"
#include "net/json.h"
#include "runtime/peer_client.h"
#include "runtime/test_instance.h"
#include "wire/peer_codec.h"

namespace burdockrock {

namespace {

const PeerSender kPeer = {.from = "neihu-a.e2",
                          .incarnation = "k7",
                          .domain = "neihu-a"};

std::string DigestText(std::uint64_t sequence) {
  Digest digest;
  digest.sequence = sequence;
  return WriteJson(EncodePeerNotification(kPeer, digest));
}

bool KnowsPeer(TestInstance& instance) {
  return instance.Dump()["peers"][kPeer.from]["alive"].asBool();
}

ProcessSettings SettingsWithPeer() {
  ProcessSettings settings = TestSettings();
  settings.peers = {{.id = kPeer.from,
                     .domain = kPeer.domain,
                     .address = "127.0.0.1:1",
                     .callers = ""}};
  return settings;
}

}  // namespace

TEST_CASE("a batch of a peer's messages reaches the reducer") {
  TestInstance instance(SettingsWithPeer());
  CHECK_FALSE(KnowsPeer(instance));
  const HttpResponse response =
      instance.CallPeers("[" + DigestText(1) + "," + DigestText(2) + "]");
  CHECK(response.status == 200);
  CHECK(response.body.empty());
  CHECK(KnowsPeer(instance));
  CHECK_FALSE(instance.HasLogged(EventNumber::kPeerMalformed));
}

TEST_CASE("garbage of one peer disturbs nothing else") {
  // Symptom: one faulty instance made its peers drop good messages or stop.
  // Sequence: it sent texts that are not JSON, nested without end, of unknown
  // methods or with damaged members, some of them beside good ones in a batch.
  // Cause: trust in what peers send.
  TestInstance instance(SettingsWithPeer());
  Json::Value damaged = EncodePeerNotification(kPeer, Digest());
  damaged["params"]["message"]["owned"] = -1;
  const std::vector<std::string> bodies = {
      "",
      "{",
      "7",
      "[]",
      "[1]",
      std::string(5'000, '['),
      R"({"jsonrpc":"2.0","method":"no_such_method","params":{}})",
      R"({"jsonrpc":"2.0","method":"digest"})",
      R"({"jsonrpc":"2.0","method":"digest","params":[1]})",
      WriteJson(damaged),
  };
  for (const std::string& it : bodies) {
    CAPTURE(it.substr(0, 80));
    const HttpResponse response = instance.CallPeers(it);
    CHECK(response.status == 400);
    CHECK_FALSE(response.body.empty());
  }
  CHECK(instance.HasLogged(EventNumber::kPeerMalformed));
  CHECK_FALSE(KnowsPeer(instance));

  const HttpResponse mixed =
      instance.CallPeers("[" + WriteJson(damaged) + "," + DigestText(1) + "]");
  CHECK(mixed.status == 400);
  CHECK(mixed.body.find("$.message.owned: -1 is negative") !=
        std::string::npos);
  CHECK(KnowsPeer(instance));
}

TEST_CASE("the messages of one step go in one request, in order") {
  boost::asio::io_context io;
  std::vector<std::string> bodies;
  HttpServer server(io, {},
                    [&bodies](const HttpRequest& request,
                              const HttpServer::Responder& responder) {
                      bodies.push_back(request.body);
                      responder({});
                    });
  const auto port = std::get<std::uint16_t>(server.Listen());
  PeerClient client(io, {.sender = kPeer,
                         .on_not_reached = [](const PeerMessageUndelivered&) {
                           FAIL("a message counts as not received");
                         }});
  for (const char* id : {"a", "b", "c"}) {
    client.Send({.peer = "e2",
                 .address = fmt::format("127.0.0.1:{}", port),
                 .message = CancelForward{id}});
  }
  while (!client.idle()) {
    io.run_one();
  }
  REQUIRE(bodies.size() == 1);
  const auto batch = std::get<Json::Value>(ParseJson(bodies[0]));
  REQUIRE(batch.size() == 3);
  CHECK(batch[0]["params"]["message"]["id"] == "a");
  CHECK(batch[2]["params"]["message"]["id"] == "c");
}

TEST_CASE("messages to a peer that takes no connection are given back") {
  boost::asio::io_context io;
  std::vector<PeerMessageUndelivered> missed;
  PeerClient client(
      io,
      {.sender = kPeer, .on_not_reached = [&missed](PeerMessageUndelivered it) {
         missed.push_back(std::move(it));
       }});
  const std::vector<PeerMessage> messages = {CancelForward{"a"},
                                             TaskGo{{.job = "j"}}};
  for (const PeerMessage& it : messages) {
    client.Send({.peer = "e2", .address = "127.0.0.1:1", .message = it});
  }
  while (!client.idle()) {
    io.run_one();
  }
  REQUIRE(missed.size() == 2);
  CHECK(missed[0] ==
        PeerMessageUndelivered{.peer = "e2", .message = messages[0]});
  CHECK(missed[1] ==
        PeerMessageUndelivered{.peer = "e2", .message = messages[1]});
}

TEST_CASE("a message that a peer may have is not given back") {
  // Symptom: a forwarded request ran twice.
  // Sequence: the peer took the bytes and closed without an answer; its sender
  // counted them as not received and ran the request itself.
  // Cause: "no answer" taken for "not received".
  boost::asio::io_context io;
  std::optional<HttpServer> server;
  bool taken = false;
  server.emplace(io, HttpServerOptions{},
                 [&taken](const HttpRequest&, const HttpServer::Responder&) {
                   taken = true;
                 });
  const auto port = std::get<std::uint16_t>(server->Listen());
  std::vector<PeerMessageUndelivered> missed;
  PeerClient client(
      io,
      {.sender = kPeer, .on_not_reached = [&missed](PeerMessageUndelivered it) {
         missed.push_back(std::move(it));
       }});
  client.Send({.peer = "e2",
               .address = fmt::format("127.0.0.1:{}", port),
               .message = CancelForward{"a"}});
  while (!taken) {
    io.run_one();
  }
  server->Close();
  while (!client.idle()) {
    io.run_one();
  }
  CHECK(missed.empty());
}

}  // namespace burdockrock
