#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "runtime/test_instance.h"

namespace burdockrock {

namespace {

constexpr const char* kRequest =
    R"({"service":"grantdesk","payload":"sleep_ms=1"})";
constexpr const char* kJob =
    R"({"kind":"batch","count":2,"resources":{"memory_mb":64}})";

}  // namespace

TEST_CASE(
    "an instance without a policy sends work away and says when to come") {
  TestInstance instance;
  const std::pair<std::string, std::string> calls[] = {
      {"/v1/requests", kRequest}, {"/v1/jobs", kJob}};
  for (const auto& it : calls) {
    CAPTURE(it.first);
    const HttpResponse response = instance.Call("POST", it.first, it.second);
    CHECK(response.status == 503);
    REQUIRE(response.retry_after.has_value());
    CHECK(*response.retry_after >= std::chrono::seconds(1));
    const Json::Value answer = BodyOf(response);
    CHECK(answer["verdict"] == "not_run");
    CHECK(answer["reason"] == "not_ready");
    CHECK(answer["retry_after_ms"].asInt64() > 0);
  }
  CHECK(BodyOf(instance.Call("GET", "/v1/health"))["state"] == "waiting");
}

TEST_CASE("calls are found by path and method") {
  TestInstance instance;
  const HttpResponse unknown = instance.Call("GET", "/v1/nothing");
  CHECK(unknown.status == 404);
  CHECK(BodyOf(unknown)["errors"][0]["problem"] ==
        "there is no call /v1/nothing");
  CHECK(instance.Call("GET", "/v1/jobs/").status == 404);

  const HttpResponse wrong = instance.Call("PATCH", "/v1/config");
  CHECK(wrong.status == 405);
  CHECK(BodyOf(wrong)["errors"][0]["allowed"] == "GET, PUT");
  CHECK(instance.Call("PUT", "/v1/jobs/x").status == 405);

  CHECK(instance.Call("GET", "/v1/jobs/x").status == 404);
  CHECK(instance.Call("DELETE", "/v1/requests/x").status == 404);
  CHECK(instance.Dump()["instance"] == "neihu-a.e1");
  const HttpResponse metrics = instance.Call("GET", "/metrics");
  CHECK(metrics.content_type.starts_with("text/plain"));
  CHECK(metrics.body.find("burdockrock_owned_workers 0\n") !=
        std::string::npos);
  CHECK(metrics.body.find(R"(burdockrock_answers_total{verdict="ran"} 0)") !=
        std::string::npos);
  CHECK(metrics.body.find("not in the catalogue") == std::string::npos);
}

TEST_CASE("bad bodies are refused with the place of each fault") {
  struct Case {
    std::string path;
    std::string body;
    std::string fault;
  };
  const std::vector<Case> cases = {
      {"/v1/requests", "", "$"},
      {"/v1/requests", "{", "$"},
      {"/v1/requests", "[]", "$"},
      {"/v1/requests", R"({"service":"a","service":"b"})", "$"},
      {"/v1/requests", R"({"service":"a","shade":"b"})", "$.shade"},
      {"/v1/requests", R"({"service":"a","deadline_ms":-1})", "$.deadline_ms"},
      {"/v1/requests", R"({"service":"a","idempotent":false})", "$.key"},
      {"/v1/requests", R"({"service":")" + std::string(129, 'x') + "\"}",
       "$.service"},
      {"/v1/requests",
       R"({"service":"a","payload":")" + std::string(65'537, 'x') + "\"}",
       "$.payload"},
      {"/v1/requests", std::string(100, '[') + std::string(100, ']'), "$"},
      {"/v1/jobs",
       R"({"kind":"batch","resources":{"memory_mb":99999999999999999999}})",
       "$.resources.memory_mb"},
      {"/v1/jobs", R"({"kind":"batch","resources":{},"count":0})", "$.count"},
      {"/v1/drain", R"({"now":true})", "$"},
  };
  TestInstance instance;
  for (const Case& it : cases) {
    CAPTURE(it.fault);
    const HttpResponse response = instance.Call("POST", it.path, it.body);
    CHECK(response.status == 400);
    const Json::Value answer = BodyOf(response);
    CHECK(answer["verdict"] == "not_run");
    CHECK(answer["reason"] == "invalid");
    CHECK(answer["errors"][0]["path"] == it.fault);
  }
  CHECK(instance.Call("PUT", "/v1/config", "{}").status == 400);
  CHECK(instance.HasLogged(EventNumber::kMalformedRequest));
  CHECK(BodyOf(instance.Call("GET", "/v1/health"))["state"] == "waiting");
}

TEST_CASE("oversized, slow and garbled clients are cut off alone") {
  // Symptom: one caller's upload took an instance's memory or its connections.
  // Sequence: a client announced a huge body, or sent half a request and fell
  // silent, or sent no HTTP at all.
  // Cause: a server that waits for whatever a client does.
  ProcessSettings settings = TestSettings();
  settings.limits.transfer_timeout = std::chrono::milliseconds(40);
  TestInstance instance(settings);

  const HttpResponse large =
      instance.Call("POST", "/v1/requests", std::string(200'000, 'x'));
  CHECK(large.status == 413);
  CHECK(instance.HasLogged(EventNumber::kRequestTooLarge));

  const std::string slow = instance.SendRaw(
      "POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{");
  CHECK(slow.starts_with("HTTP/1.1 408 "));
  CHECK(instance.HasLogged(EventNumber::kSlowClientCut));

  const std::string garbled = instance.SendRaw("\x16\x03\x01 hello\r\n\r\n");
  CHECK(garbled.starts_with("HTTP/1.1 400 "));

  CHECK(instance.Call("POST", "/v1/requests", kRequest).status == 503);
}

TEST_CASE("calls above the limit of waiting ones are sent away") {
  ProcessSettings settings = TestSettings();
  settings.limits.max_queued_requests = 0;
  TestInstance instance(settings);
  const HttpResponse response = instance.Call("POST", "/v1/requests", kRequest);
  CHECK(response.status == 503);
  CHECK(response.retry_after.has_value());
  CHECK(BodyOf(response)["reason"] == "overloaded");
}

}  // namespace burdockrock
