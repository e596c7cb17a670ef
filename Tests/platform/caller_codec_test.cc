// Callers' requests and answers against texts written by hand.
#include <chrono>

#include <doctest/doctest.h>

#include "platform/caller_codec.h"
#include "platform/documents.h"
#include "platform/settings.h"

namespace burdockrock::platform {

namespace {

using namespace engine;
using std::chrono::milliseconds;

HttpRequest Post(std::string body) {
  return {.method = "POST",
          .path = "/q/5c0e",
          .headers = {{"host", "nony24.example:80"}},
          .body = std::move(body)};
}

std::string Refusal(std::string body) {
  const auto decoded = DecodeCallerRequest(Post(std::move(body)));
  REQUIRE(std::holds_alternative<HttpResponse>(decoded));
  CHECK(std::get<HttpResponse>(decoded).status == 400);
  return std::get<HttpResponse>(decoded).body;
}

TEST_CASE("A submission is read whole") {
  const auto decoded = DecodeCallerRequest(Post(
      R"({"spec":"some text","repetitions":2,"start_at_ms":5,"interval_ms":7,)"
      R"("steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,)"
      R"("affinity":"r1-3","requirements":"b","anti_affinity":2,)"
      R"("concurrent":true},{"count":20,"gpu":1,"after":[0],)"
      R"("checkpointing":true,"gang":true,"same_rack":true},)"
      R"({"long_running":true,"image":"i","target_ms":40,"may_miss":1,)"
      R"("fills":true,"unknown":{}}]})"));
  REQUIRE(std::holds_alternative<CallerRequest>(decoded));
  const auto& request = std::get<CallerRequest>(decoded);
  CHECK(request.query == CallerQuery::kSubmit);
  CHECK(request.host == "nony24.example");
  CHECK(request.path == "/q/5c0e");
  CHECK(request.spec ==
        JobSpec{.payload = "some text",
                .steps = {{.count = 4,
                           .each = {.processors_milli = 500, .memory_mb = 256},
                           .estimate = milliseconds(900),
                           .label = "b",
                           .rack = "r1-3",
                           .spread = 2,
                           .concurrent = true},
                          {.count = 20,
                           .each = {.accelerators = 1},
                           .after = {0},
                           .checkpointing = true,
                           .gang = true,
                           .same_rack = true},
                          {.lasting = true,
                           .filling = true,
                           .image = "i",
                           .tail_target = milliseconds(40),
                           .may_miss = 1}},
                .repetitions = 2,
                .first_due_ms = 5,
                .interval_ms = 7});
}

TEST_CASE("A wrong submission is refused with its field") {
  CHECK(Refusal("").find("body") != std::string::npos);
  CHECK(Refusal("[]").find("object") != std::string::npos);
  CHECK(Refusal(std::string(200, '[')).find("body") != std::string::npos);
  CHECK(Refusal(R"({"steps":5})").find("steps") != std::string::npos);
  CHECK(Refusal(R"({"steps":[{"cpu":-1}]})").find("steps[0].cpu") !=
        std::string::npos);
  CHECK(
      Refusal(R"({"steps":[{},{"after":["x"]}]})").find("steps[1].after[0]") !=
      std::string::npos);
  CHECK(Refusal(R"({"steps":[{"count":99999999}]})").find("steps[0].count") !=
        std::string::npos);
  CHECK(Refusal(R"({"spec":{}})").find("spec") != std::string::npos);
}

TEST_CASE("Questions are told apart by method and path") {
  const auto question = [](const char* method, const char* path) {
    return std::get<CallerRequest>(
               DecodeCallerRequest({.method = method, .path = path}))
        .query;
  };
  CHECK(question("GET", "/q/5c0e") == CallerQuery::kState);
  CHECK(question("GET", "/q/") == CallerQuery::kWaiting);
  CHECK(question("DELETE", "/q/5c0e") == CallerQuery::kCancel);
  CHECK(std::get<HttpResponse>(DecodeCallerRequest({.method = "PUT"})).status ==
        405);
}

TEST_CASE("Answers say what is known and when to come back") {
  CHECK(EncodeCallerAnswer(JobAccepted{}).status == 200);
  CHECK(EncodeCallerAnswer(JobStateFound{.state = JobState::kRunning}).body ==
        R"({"state":"running"})");
  CHECK(EncodeCallerAnswer(WaitingCount{.jobs = 12}).body ==
        R"({"waiting":12})");
  CHECK(EncodeCallerAnswer(NoSuchQueue{}).status == 404);
  CHECK(EncodeCallerAnswer(NoSuchJob{}).status == 410);
  CHECK(EncodeCallerAnswer(BadRequest{}).status == 400);
  CHECK(EncodeCallerAnswer(OutcomeUnknown{}).status == 504);
  const HttpResponse later =
      EncodeCallerAnswer(Unavailable{.retry_after = milliseconds(1200)});
  CHECK(later.status == 503);
  CHECK(later.retry_after == std::chrono::seconds(2));
  CHECK(EncodeCallerAnswer(Unavailable{.cause = RefusalCause::kOverloaded})
            .status == 429);
}

TEST_CASE("The configuration and the list of workers") {
  const auto configuration = DecodeConfigurationDocument(
      R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/q/",)"
      R"("kind":"unsafe","target_latency_ms":250,"priority":2,"service":"s",)"
      R"("max_attempts":4,"stretch":1.5,"advice":{"decision_ms":23.5,)"
      R"("period_ms":0.32,"valid_ms":2500}}],"services":[{"name":"s",)"
      R"("rejects_overload":true,"standby":false}],"limits":{"max_body_bytes":1000,"header_timeout_ms":3000}})");
  REQUIRE(std::holds_alternative<Configuration>(configuration));
  const auto& it = std::get<Configuration>(configuration);
  CHECK(it.version == 7);
  REQUIRE(it.queues.size() == 1);
  CHECK(it.queues[0].stretch == 1.5);
  CHECK(it.queues[0].latency == milliseconds(250));
  CHECK(it.queues[0].max_attempts == 4);
  REQUIRE(it.queues[0].advice);
  CHECK(it.queues[0].advice->each == Duration(320));
  CHECK(it.services[0].guards_room);
  REQUIRE(it.limits);
  CHECK(it.limits->max_body_bytes == 1000);
  CHECK(it.limits->max_header_bytes == 0);
  CHECK(it.limits->read_timeout == milliseconds(3000));
  CHECK(std::holds_alternative<DocumentFault>(
      DecodeConfigurationDocument(R"({"version":-1})")));
  const auto worker = DecodeWorkerDocument(
      "i-1",
      R"({"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1",)"
      R"("state":"draining","capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
      R"("labels":["a","r1-3"],"clock_ms":1,"sequence":4})");
  REQUIRE(std::holds_alternative<WorkerInfo>(worker));
  CHECK(std::get<WorkerInfo>(worker) ==
        WorkerInfo{.id = "i-1",
                   .address = "10.0.0.9:8080",
                   .domain = "a",
                   .service = "s",
                   .capacity = {.processors_milli = 16000, .memory_mb = 32768},
                   .labels = {"a", "r1-3"},
                   .draining = true});
}

TEST_CASE("Settings name the file and the field that is wrong") {
  const std::string good =
      R"({"node":"n1","zone":"a","ip":"10.1.0.13","new":1,)"
      R"("internal_ports":[7720,7735],"listen":{"frontend":"10.1.0.13:1",)"
      R"("readiness":"10.1.0.13:2"},"limits":{"cpu_share":0.25,"cores":1,)"
      R"("max_fds":4100},"bounds":{"max_hold_ms":5000,"grace_s":6},)"
      R"("platform":{"address":"10.200.1.7:3","min_ttl_ms":1000,)"
      R"("value_bytes":65536}})";
  const auto settings = ReadSettings(good, "f.json");
  REQUIRE(std::holds_alternative<Settings>(settings));
  const auto& it = std::get<Settings>(settings);
  CHECK(it.self.node == "n1");
  CHECK(it.self.address == "10.1.0.13:7720");
  CHECK(it.self.weight == 25);
  CHECK(it.bounds.max_lease == milliseconds(5000));
  CHECK(it.max_connections == 3200);
  CHECK(it.bounds.max_value_bytes == 65536);
  const auto problem = [](const std::string& text) {
    const auto read = ReadSettings(text, "f.json");
    REQUIRE(std::holds_alternative<SettingError>(read));
    return ToString(std::get<SettingError>(read));
  };
  CHECK(problem("{}").find("f.json: node: is missing") == 0);
  CHECK(problem("{").find("f.json:") == 0);
  std::string wrong = good;
  wrong.replace(wrong.find("5000"), 4, "\"x\"");
  CHECK(problem(wrong).find("bounds.max_hold_ms") != std::string::npos);
}

TEST_CASE("A caller's key is read from the Authorization header") {
  const auto key = [](const std::string& header) {
    HttpRequest request{.path = "/q/5c0e"};
    if (!header.empty()) {
      request.headers["authorization"] = header;
    }
    return std::get<CallerRequest>(DecodeCallerRequest(request)).key;
  };
  CHECK(key("Bearer k1") == DigestOf("k1"));
  CHECK(key("bearer  k1 ") == DigestOf("k1"));
  CHECK_FALSE(key(""));
  CHECK_FALSE(key("k1"));
  CHECK_FALSE(key("Basic k1"));
  CHECK_FALSE(key("Bearer "));
}

TEST_CASE("A refused key is answered 401, and another team's job 403") {
  CHECK(
      EncodeCallerAnswer(KeyRefused{.detail = "the key is not known"}).status ==
      401);
  CHECK(EncodeCallerAnswer(AccessDenied()).status == 403);
}

}  // namespace

}  // namespace burdockrock::platform
