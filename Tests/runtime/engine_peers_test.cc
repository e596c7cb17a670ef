// Messages between engines, on the loopback interface.
#include "runtime/engine_peers.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <boost/asio/io_context.hpp>

#include "engine/members/peer_codec.h"
#include "net/http_server.h"
#include "net/json.h"
#include "runtime/clock.h"
#include "runtime/run_until.h"

namespace burdockrock {

namespace {

engine::RoomDigest SomeRoom() {
  return {.sequence = 3,
          .workers = {{.worker = "w1",
                       .fence = 7,
                       .version = 2,
                       .free = {.processors_milli = 4000},
                       .accepting = true}}};
}

// Nothing listens there.
std::string UnusedAddress(boost::asio::io_context& io) {
  HttpServer server(io, {},
                    [](const HttpRequest&, const HttpServer::Responder&) {});
  return fmt::format("127.0.0.1:{}", std::get<std::uint16_t>(server.Listen()));
}

}  // namespace

// The metrics of a site that was short of processor time told only that 700
// messages a second were exchanged, and not of which kind.
TEST_CASE("Messages between engines are counted by kind on both sides") {
  boost::asio::io_context io;
  std::vector<engine::PeerMessageReceived> said;
  EnginePeerServer receiver(
      {.on_message =
           [&](engine::PeerMessageReceived it) {
             said.push_back(std::move(it));
           },
       .log = [](const LogLine&) { FAIL("a message was refused"); }});
  HttpServer server(
      io, {},
      [&](const HttpRequest& request, const HttpServer::Responder& responder) {
        receiver.HandleBody(request.body);
        responder({});
      });
  const auto port = std::get<std::uint16_t>(server.Listen());
  EnginePeerClient sender(io, "n1-5");
  const std::vector<engine::PeerMessage> messages = {
      SomeRoom(), SomeRoom(), engine::DigestRequest(), SomeRoom()};
  for (const engine::PeerMessage& it : messages) {
    sender.Send({.to = "n2-4",
                 .address = fmt::format("127.0.0.1:{}", port),
                 .message = it});
  }
  while (said.size() < messages.size()) {
    io.run_one();
  }
  for (std::size_t it = 0; it < messages.size(); ++it) {
    CHECK(said[it].from == "n1-5");
    CHECK(said[it].message == messages[it]);
  }
  const std::size_t size =
      WriteJson(engine::EncodePeerNotification("n1-5", messages[0])).size();
  CHECK(sender.kinds().at("room_digest") ==
        EdgeTraffic{.messages = 3, .bytes = 3 * size});
  CHECK(sender.kinds().at("digest_ask").messages == 1);
  CHECK(receiver.kinds().at("room_digest").messages == 3);
  CHECK(receiver.kinds().at("digest_ask").messages == 1);
  CHECK(receiver.kinds().size() == 2);
}

// Guards against messages that are lost without a trace.
TEST_CASE("Messages of a failed request are counted and logged by kind") {
  boost::asio::io_context io;
  std::vector<LogLine> lines;
  EnginePeerClient sender(io, "n1-5",
                          [&](const LogLine& it) { lines.push_back(it); });
  const std::string address = UnusedAddress(io);
  const auto send = [&](engine::PeerMessage it) {
    sender.Send({.to = "n2-4", .address = address, .message = std::move(it)});
  };
  send(SomeRoom());
  send(engine::AdviceReply{.call = 1});
  send(engine::AdviceReply{.call = 2});
  RunUntil(io, [&] { return sender.losses().dropped().size() == 2; });
  CHECK(sender.losses().dropped() ==
        PeerLosses::Counts{{"advice_reply", 2}, {"room_digest", 1}});
  CHECK(sender.losses().failed_batches().at("not_connected") >= 1);
  sender.LogLosses();
  send(engine::AdviceReply{.call = 3});
  RunUntil(io,
           [&] { return sender.losses().dropped().at("advice_reply") == 3; });
  sender.LogLosses();
  // The later loss is part of the next line.
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].number == EventNumber::kPeerMessagesLost);
  CHECK(lines[0].fields[0].value == address);
  CHECK(lines[0].fields[1].value == "advice_reply:2,room_digest:1");
}

// Guards against messages that are lost with a request that got no answer, and
// against peers that take them twice.
TEST_CASE("Messages without an answer are sent again and taken once") {
  boost::asio::io_context io;
  std::vector<engine::PeerMessage> said;
  EnginePeerServer receiver(
      {.incarnation = "n2-4",
       .on_message =
           [&](engine::PeerMessageReceived it) {
             said.push_back(std::move(it.message));
           },
       .log = [](const LogLine&) { FAIL("a message was refused"); }});
  // Whether the first request is lost or only its answer.
  bool taken = false;
  SUBCASE("The request is lost") {}
  SUBCASE("The answer is lost") {
    taken = true;
  }
  std::vector<HttpServer::Responder> unanswered;
  std::size_t requests = 0;
  HttpServer server(
      io, {},
      [&](const HttpRequest& request, const HttpServer::Responder& responder) {
        if (++requests == 1) {
          unanswered.push_back(responder);
          if (taken) {
            receiver.HandleRequest(request, SteadyNow());
          }
          return;
        }
        responder(receiver.HandleRequest(request, SteadyNow()));
      });
  const std::string address =
      fmt::format("127.0.0.1:{}", std::get<std::uint16_t>(server.Listen()));
  EnginePeerClient sender(io, "n1-5");
  const auto send = [&](engine::PeerMessage it) {
    sender.Send({.to = "n2-4", .address = address, .message = std::move(it)});
  };
  const std::vector<engine::PeerMessage> messages = {
      engine::TaskStops{{{.task = "t1"}}}, engine::TaskStops{{{.task = "t2"}}},
      engine::TaskStops{{{.task = "t3"}}}};
  send(messages[0]);
  send(messages[1]);
  RunUntil(io, [&] { return requests > 0; });
  send(messages[2]);
  RunUntil(io, [&] { return requests == 3; });
  CHECK(said == messages);
  CHECK(requests == 3);
  CHECK(sender.losses().failed_batches() ==
        PeerLosses::Counts{{"no_answer", 1}});
  CHECK(sender.losses().resent() == PeerLosses::Counts{{"task_stops", 2}});
  CHECK(sender.losses().dropped().empty());
}

// Guards against messages that are lost because the peer's process starts a
// moment later, and against connects as fast as they are refused.
TEST_CASE("An address without a process is tried again at growing intervals") {
  boost::asio::io_context io;
  const std::string address = UnusedAddress(io);
  EnginePeerClient sender(io, "n1-5");
  sender.Send({.to = "n2-4",
               .address = address,
               .message = engine::TaskStops{{{.task = "t1"}}}});
  RunUntil(io, [&] { return !sender.losses().dropped().empty(); });
  CHECK(sender.losses().dropped().at("task_stops") == 1);
  const auto failed = sender.losses().failed_batches().at("not_connected");
  CHECK(failed >= 3);
  CHECK(failed <= 10);
}

// Guards against batches of messages that a peer without processor time gets
// again and again, and against messages that are lost with a probe.
TEST_CASE("A peer that does not answer is probed without messages") {
  boost::asio::io_context io;
  std::vector<engine::PeerMessage> said;
  EnginePeerServer receiver(
      {.incarnation = "n2-4",
       .on_message =
           [&](engine::PeerMessageReceived it) {
             said.push_back(std::move(it.message));
           },
       .log = [](const LogLine&) { FAIL("a message was refused"); }});
  std::vector<std::string> bodies;
  HttpServer server(
      io, {},
      [&](const HttpRequest& request, const HttpServer::Responder& responder) {
        bodies.push_back(request.body);
        if (bodies.size() <= 4) {
          return responder({.status = 503});
        }
        responder(receiver.HandleRequest(request, SteadyNow()));
      });
  EnginePeerClient sender(io, "n1-5");
  const engine::PeerMessage stop = engine::TaskStops{{{.task = "t1"}}};
  sender.Send({.to = "n2-4",
               .address = fmt::format("127.0.0.1:{}",
                                      std::get<std::uint16_t>(server.Listen())),
               .message = stop});
  RunUntil(io, [&] { return bodies.size() == 4; });
  CHECK(sender.probed_peers() == 1);
  RunUntil(io, [&] { return !said.empty(); });
  REQUIRE(bodies.size() == 6);
  CHECK(bodies[0] == bodies[1]);
  CHECK(bodies[2] == "[]");
  CHECK(bodies[3] == "[]");
  CHECK(bodies[4] == "[]");
  CHECK(bodies[5] == bodies[0]);
  CHECK(said == std::vector<engine::PeerMessage>{stop});
  RunUntil(io, [&] { return sender.probed_peers() == 0; });
}

// Guards against peers that are tried all the time while they can't be reached,
// and against long pauses after a cut between them has ended.
TEST_CASE("Pauses grow until the peer is heard") {
  boost::asio::io_context io;
  const std::string address = UnusedAddress(io);
  EnginePeerClient sender(io, "n1-5");
  const auto failed = [&] {
    const auto& counts = sender.losses().failed_batches();
    const auto it = counts.find("not_connected");
    return it == counts.end() ? 0 : it->second;
  };
  const auto run_for = [&](Duration span) {
    const Time end = SteadyNow() + span;
    while (SteadyNow() < end) {
      sender.Send({.to = "n2-4",
                   .address = address,
                   .message = engine::TaskStops{{{.task = "t1"}}}});
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
  };
  RunUntil(io, [&] {
    run_for(std::chrono::milliseconds(20));
    return failed() >= 6;
  });
  const auto before = failed();
  run_for(std::chrono::milliseconds(2400));
  CHECK(failed() - before >= 1);
  CHECK(failed() - before <= 4);
  // The pause that follows a failure now takes at least 800 ms.
  RunUntil(io, [&, last = failed()] {
    run_for(std::chrono::milliseconds(20));
    return failed() > last;
  });
  const auto at_pause = failed();
  sender.NoteHeard("n2-4");
  run_for(std::chrono::milliseconds(600));
  CHECK(failed() > at_pause);
}

// Guards against replies to the calls of a process that has ended which its
// successor at the same address takes for replies to its own.
TEST_CASE("Messages to the process before at an address are not taken") {
  boost::asio::io_context io;
  std::vector<engine::PeerMessage> said;
  EnginePeerServer receiver(
      {.incarnation = "n2-5",
       .on_message =
           [&](engine::PeerMessageReceived it) {
             said.push_back(std::move(it.message));
           },
       .log = [](const LogLine&) { FAIL("a message was refused"); }});
  HttpServer server(
      io, {},
      [&](const HttpRequest& request, const HttpServer::Responder& responder) {
        responder(receiver.HandleRequest(request, SteadyNow()));
      });
  const std::string address =
      fmt::format("127.0.0.1:{}", std::get<std::uint16_t>(server.Listen()));
  EnginePeerClient sender(io, "n1-5");
  sender.Send({.to = "n2-4",
               .address = address,
               .message = engine::JobReply{.call = 1}});
  sender.Send({.to = "n2-5",
               .address = address,
               .message = engine::JobReply{.call = 2}});
  RunUntil(io, [&] { return !said.empty(); });
  CHECK(said == std::vector<engine::PeerMessage>{engine::JobReply{.call = 2}});
  CHECK(sender.losses().dropped() == PeerLosses::Counts{{"job_reply", 1}});
}

}  // namespace burdockrock
