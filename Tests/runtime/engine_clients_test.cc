// Calls of an engine to a worker whose process ends and starts again, on the
// loopback interface.
#include "runtime/engine_clients.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <boost/asio/io_context.hpp>

#include "engine/call_codec.h"
#include "net/http_server.h"
#include "runtime/run_until.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kBorn = 1'764'700'000'000;

// One process of a worker: it answers polls, and keeps what they say.
class WorkerProcess {
 public:
  WorkerProcess(boost::asio::io_context& io,
                std::int64_t born,
                std::uint16_t port)
      : born_(born),
        server_(io,
                {.port = port},
                [this](const HttpRequest& request,
                       const HttpServer::Responder& responder) {
                  Handle(request, responder);
                }),
        port_(std::get<std::uint16_t>(server_.Listen())) {}

  std::uint16_t port() const { return port_; }

  // Answers the calls that are held.
  void Release() {
    holds_answers = false;
    for (const auto& it : std::exchange(held_, {})) {
      Answer(it);
    }
  }
  std::size_t held() const { return held_.size(); }

  std::vector<engine::PollWorker> polls;
  bool holds_answers = false;

 private:
  void Handle(const HttpRequest& request,
              const HttpServer::Responder& responder) {
    const auto call = std::get<engine::AddressedWorkerRequest>(
        engine::DecodeWorkerCall(request.body));
    if (const auto* poll = std::get_if<engine::PollWorker>(&call.request)) {
      polls.push_back(*poll);
    }
    if (holds_answers) {
      held_.push_back(responder);
    } else {
      Answer(responder);
    }
  }

  void Answer(const HttpServer::Responder& responder) const {
    responder({.body = engine::EncodeWorkerResult(
                   engine::WorkerDone{.clock_ms = 1, .born = born_})});
  }

  std::int64_t born_;
  HttpServer server_;
  std::uint16_t port_;
  std::vector<HttpServer::Responder> held_;
};

class Deployment {
 public:
  Deployment()
      : clients_(io,
                 {.store = "127.0.0.1:1",
                  .codec = {.encode_worker = engine::EncodeWorkerCall,
                            .decode_worker = engine::DecodeWorkerResult},
                  .on_event = [this](engine::EventBody it) {
                    answers.push_back(
                        std::get<engine::WorkerAnswered>(std::move(it)));
                  }}) {
    StartProcess(kBorn);
  }

  // Another process listens in place of the one before, whose connections end.
  void StartProcess(std::int64_t born) {
    const std::uint16_t port = process ? process->port() : 0;
    process.reset();
    process.emplace(io, born, port);
  }

  void Send(engine::WorkerRequest request,
            Duration timeout = std::chrono::seconds(5)) {
    clients_.CallWorker(
        {.worker = fmt::format("w#{}", kBorn),
         .address = fmt::format("127.0.0.1:{}", process->port()),
         .request = std::move(request),
         .timeout = timeout});
  }

  void Await(engine::WorkerRequest request) {
    const std::size_t n = answers.size();
    Send(std::move(request));
    RunUntil(io, [&] { return answers.size() > n; });
  }

  boost::asio::io_context io;
  std::vector<engine::WorkerAnswered> answers;
  std::optional<WorkerProcess> process;

 private:
  EngineClients clients_;
};

engine::PollWorker Acknowledging(std::uint64_t number) {
  return {.fence = 3, .acknowledged = number, .wait = milliseconds(1000)};
}

}  // namespace

// Guards against ends that a worker drops unread, so that their tasks run
// again: a poll acknowledged ends of the process before to the next one.
TEST_CASE(
    "The next process of a worker gets no acknowledgement of the last's") {
  Deployment cell;
  cell.Await(Acknowledging(0));
  SUBCASE("the connection has ended") {}
  SUBCASE("the poll before was acknowledged") {
    cell.Await(Acknowledging(4));
    CHECK(cell.process->polls.back().acknowledged == 4);
  }
  SUBCASE("a start has connected to the next process") {
    cell.StartProcess(kBorn + 30);
    cell.Await(engine::StartRun{.task = "t", .run = 1});
  }
  cell.StartProcess(kBorn + 40);
  cell.Await(Acknowledging(5));
  REQUIRE(cell.process->polls.size() == 1);
  CHECK(cell.process->polls[0].acknowledged == 0);
  CHECK(cell.process->polls[0].wait == Duration(0));
  CHECK(cell.process->polls[0].fence == 3);
  // The engine is told which process it is, and of what it has asked.
  const engine::WorkerAnswered& last = cell.answers.back();
  CHECK(std::get<engine::WorkerDone>(last.answer).born == kBorn + 40);
  CHECK(std::get<engine::PollWorker>(last.request) == Acknowledging(5));
  cell.Await(Acknowledging(5));
  CHECK(cell.process->polls.back().acknowledged == 0);
}

// Guards against ends that are never acknowledged: a new connection to the same
// process takes the acknowledgement from its second poll on.
TEST_CASE("A new connection to the same process acknowledges from its second") {
  Deployment cell;
  cell.Await(Acknowledging(0));
  cell.process->holds_answers = true;
  cell.Send(Acknowledging(1), milliseconds(100));  // ends its connection
  RunUntil(cell.io, [&] { return cell.answers.size() == 2; });
  cell.process->holds_answers = false;
  cell.Await(Acknowledging(2));
  CHECK(cell.process->polls.back().acknowledged == 0);
  cell.Await(Acknowledging(2));
  CHECK(cell.process->polls.back().acknowledged == 2);
}

// Guards against acknowledgements that wait as starts and polls change
// connections.
TEST_CASE("Polls prefer a connection on which the process has answered") {
  Deployment cell;
  cell.process->holds_answers = true;
  cell.Send(engine::StartRun{.task = "t", .run = 1});
  RunUntil(cell.io, [&] { return cell.process->held() == 1; });
  cell.process->holds_answers = false;
  cell.Await(Acknowledging(0));
  cell.process->Release();
  RunUntil(cell.io, [&] { return cell.answers.size() == 2; });
  // The connection of the start was used last.
  cell.Await(Acknowledging(7));
  CHECK(cell.process->polls.back().acknowledged == 7);
}

}  // namespace burdockrock
