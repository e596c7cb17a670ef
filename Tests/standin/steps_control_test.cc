// Faults of the stand-ins of jobs of steps, and what they tell of runs.
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <boost/asio/io_context.hpp>

#include "engine/call_codec.h"
#include "net/json.h"
#include "net/loopback.h"
#include "standin/standin_cluster.h"
#include "standin/standin_control.h"
#include "standin/steps_cluster.h"

namespace burdockrock::standin {

namespace {

using std::chrono::milliseconds;
using testing::RunUntil;

constexpr const char* kWorker = "w1";

StandinSettings Settings() {
  StandinSettings settings;
  settings.steps.store = "127.0.0.1:1";
  settings.steps.workers.push_back(
      {.info = {.id = kWorker, .address = "127.0.0.1:2"}});
  return settings;
}

// Neither side listens: the tests hand over what a client would send.
class Cell {
 public:
  int Post(const std::string& body) {
    return control_.Handle({.method = "POST", .path = "/control", .body = body})
        .status;
  }

  // The worker's answer; nothing while there is none.
  std::optional<HttpResponse> Ask(const engine::WorkerRequest& request) {
    return AskLife(kWorker, request);
  }

  std::optional<HttpResponse> AskLife(const std::string& life,
                                      const engine::WorkerRequest& request) {
    auto answer = std::make_shared<std::optional<HttpResponse>>();
    worker().OnRequest(
        engine::EncodeWorkerCall(life, request),
        [answer](const HttpResponse& response) { *answer = response; });
    return *answer;
  }

  static engine::StartRun Start(const std::string& task) {
    return {.task = task,
            .run = 1,
            .payload = "sleep_ms=0",
            .fence = 2,
            .lease_until_ms =
                ToMilliseconds(MonotonicNow() + std::chrono::minutes(1))};
  }

  Json::Value Runs() {
    const HttpResponse response =
        control_.Handle({.path = "/control/steps/runs"});
    return std::get<Json::Value>(ParseJson(response.body));
  }

  boost::asio::io_context& io() { return io_; }
  StepsWorkerServer& worker() { return *steps_.FindWorker(kWorker); }
  StepsStoreServer& store_server() { return steps_.store(); }
  engine::FakeStore& store() { return store_server().store(); }

 private:
  boost::asio::io_context io_;
  StandinCluster cluster_{io_, Settings()};
  StepsCluster steps_{io_, Settings().steps, OwnStepsWire()};
  StandinControl control_{cluster_, &steps_};
};

}  // namespace

TEST_CASE("The runs are told with their ends and acknowledgements") {
  Cell cell;
  CHECK(cell.Ask(Cell::Start("a.0.0.0")));
  cell.Ask(engine::PollWorker{.fence = 2, .acknowledged = 1});
  cell.Ask(engine::PollWorker{.fence = 1});
  engine::StartRun endless = Cell::Start("b.0.0.0");
  endless.payload = "sleep_ms=60000";
  cell.Ask(endless);

  const Json::Value body = cell.Runs();
  const Json::Value& ended = body["runs"][0];
  CHECK(ended["task"] == "a.0.0.0");
  CHECK(ended["run"] == 1);
  CHECK(ended["worker"] == kWorker);
  CHECK(ended["machine"] == kWorker);
  CHECK(ended["payload"] == "sleep_ms=0");
  CHECK(ended["how"] == "done");
  CHECK(ended["ended_ms"] == ended["began_ms"]);
  CHECK(ended["acknowledged_ms"].asInt64() <= body["now_ms"].asInt64());
  CHECK(ended["acknowledged_ms"].asInt64() >= ended["ended_ms"].asInt64());
  const Json::Value& live = body["runs"][1];
  CHECK(live["ended_ms"].isNull());
  CHECK(live["how"].isNull());
  CHECK(live["acknowledged_ms"].isNull());
  CHECK(body["refused_fences"] == 1);
}

TEST_CASE("All that a failing worker starts fails until it is mended") {
  Cell cell;
  CHECK(cell.Post(R"({"steps":{"worker":"w1","fail":true}})") == 200);
  cell.Ask(Cell::Start("a.0.0.0"));
  CHECK(cell.Post(R"({"steps":{"worker":"w1","fail":false}})") == 200);
  cell.Ask(Cell::Start("b.0.0.0"));
  const Json::Value body = cell.Runs();
  CHECK(body["runs"][0]["how"] == "failed");
  CHECK(body["runs"][1]["how"] == "done");
}

TEST_CASE("Late orders are carried out without an answer") {
  Cell cell;
  CHECK(cell.Post(R"({"steps":{"worker":"w1","late_ms":30}})") == 200);
  const Time sent = MonotonicNow();
  CHECK_FALSE(cell.Ask(Cell::Start("a.0.0.0")));
  CHECK(cell.Runs()["runs"].empty());
  CHECK(cell.Ask(engine::PollWorker{.fence = 2}));
  REQUIRE(RunUntil(cell.io(), [&] { return !cell.Runs()["runs"].empty(); }));
  CHECK(cell.Runs()["runs"][0]["began_ms"].asInt64() >=
        ToMilliseconds(sent + milliseconds(30)));
}

TEST_CASE("A worker that is gone comes back as another life") {
  Cell cell;
  CHECK(cell.Post(R"({"steps":{"worker":"w1","back":true}})") == 200);
  CHECK(cell.worker().worker().info().id == kWorker);

  engine::StartRun endless = Cell::Start("a.0.0.0");
  endless.payload = "sleep_ms=60000";
  cell.Ask(endless);
  CHECK(cell.Post(R"({"steps":{"worker":"w1","gone":true}})") == 200);
  CHECK(cell.Post(R"({"steps":{"worker":"w1","draining":true}})") == 200);
  CHECK(cell.store().Keys("worker/").empty());
  CHECK_FALSE(cell.Ask(endless));
  CHECK_FALSE(cell.Runs()["runs"][0]["ended_ms"].isNull());

  CHECK(cell.Post(R"({"steps":{"worker":"w1","back":true}})") == 200);
  const std::string life = cell.worker().worker().info().id;
  CHECK(life != kWorker);
  CHECK(cell.store().Keys("worker/") ==
        std::vector<std::string>{"worker/" + life});
  cell.Ask(Cell::Start("b.0.0.0"));
  CHECK(cell.Runs()["runs"].size() == 1);
  cell.AskLife(life, Cell::Start("b.0.0.0"));
  const Json::Value body = cell.Runs();
  REQUIRE(body["runs"].size() == 2);
  CHECK(body["runs"][1]["worker"] == life);
  CHECK(body["runs"][1]["machine"] == kWorker);
}

TEST_CASE("The store forgets its history and revokes keys when told") {
  Cell cell;
  cell.store().Put("member/n1", "x");
  cell.store().Put("member/n2", "x");
  CHECK(cell.Post(R"({"steps":{"revoke":"member/n1"}})") == 200);
  CHECK(cell.store().Keys("member/") == std::vector<std::string>{"member/n2"});

  const engine::StoreWatch watch{.prefix = "member/", .after = 100};
  const auto with_history = cell.store().Handle(MonotonicNow(), watch);
  REQUIRE(with_history);
  CHECK(std::holds_alternative<engine::StoreDone>(*with_history));
  CHECK(cell.Post(R"({"steps":{"forget_history":true}})") == 200);
  const auto without = cell.store().Handle(MonotonicNow(), watch);
  REQUIRE(without);
  CHECK(std::holds_alternative<engine::StoreAbsent>(*without));
}

TEST_CASE("The store gets slow and quick again when told") {
  Cell cell;
  CHECK(cell.Post(R"({"steps":{"slow_ms":30}})") == 200);
  CHECK(cell.store_server().faults().slow == milliseconds(30));
  CHECK(cell.Post(R"({"steps":{"slow_ms":0}})") == 200);
  CHECK(cell.store_server().faults().slow == Duration(0));
}

TEST_CASE("A control of jobs of steps names what it does not know") {
  Cell cell;
  CHECK(cell.Post(R"({"steps":{"worker":"w9","fail":true}})") == 400);
  CHECK(cell.Post(R"({"steps":{"worker":"w1","unknown":true}})") == 400);
}

}  // namespace burdockrock::standin
