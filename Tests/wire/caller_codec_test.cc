#include "wire/caller_codec.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "net/json.h"

namespace burdockrock {

namespace {

std::vector<std::string> PathsOf(const DecodeErrors& errors) {
  std::vector<std::string> paths;
  for (const DecodeError& it : errors) {
    paths.push_back(it.path);
  }
  return paths;
}

HttpResponse AnswerNotRun(Reason reason, Duration retry_after) {
  return EncodeCallerAnswer(WorkAnswer{
      .id = "r",
      .verdict =
          NotRun{.reason = reason, .detail = "", .retry_after = retry_after}});
}

}  // namespace

TEST_CASE("a request's body is read with its defaults") {
  const auto least =
      std::get<Request>(DecodeRequestBody(R"({"service":"grantdesk"})"));
  Request expected;
  expected.service = "grantdesk";
  CHECK(least == expected);

  const auto full = std::get<Request>(DecodeRequestBody(
      R"({"service":"grantdesk","team":"lanyu","urgency":"urgent",)"
      R"("deadline_ms":1500,"idempotent":false,"key":"k","payload":"p",)"
      R"("id":"mine"})"));
  CHECK(full == Request{.id = "mine",
                        .service = "grantdesk",
                        .team = "lanyu",
                        .urgency = Urgency::kUrgent,
                        .deadline = std::chrono::milliseconds(1500),
                        .idempotent = false,
                        .key = "k",
                        .payload = "p"});
}

TEST_CASE("all errors of a body are told at once") {
  const std::string payload(64 * 1024 + 1, 'x');
  const auto request = std::get<DecodeErrors>(DecodeRequestBody(
      R"({"service":"","deadline_ms":86400001,"idempotent":false,)"
      R"("urgency":"soon","colour":1,"id":"a/b","payload":")" +
      payload + "\"}"));
  CHECK(PathsOf(request) ==
        std::vector<std::string>{"$.urgency", "$.colour", "$.service", "$.id",
                                 "$.deadline_ms", "$.key", "$.payload"});

  const auto job = std::get<DecodeErrors>(DecodeJobBody(
      R"({"kind":"gang","count":-1,"resources":{"memory_mb":-5,"x":1},)"
      R"("run_time_ms":99999999999999999999999})"));
  CHECK(PathsOf(job) ==
        std::vector<std::string>{"$.count", "$.resources.memory_mb",
                                 "$.resources.x", "$.run_time_ms"});
  CHECK(job[0].problem == "-1 is negative");

  const auto none = std::get<DecodeErrors>(
      DecodeJobBody(R"({"kind":"batch","resources":{},"count":100001})"));
  CHECK(PathsOf(none) == std::vector<std::string>{"$.count"});
  CHECK(none[0].allowed == "1 to 100000");
}

TEST_CASE("a configuration's body gives the document to store") {
  const auto proposal = std::get<ConfigProposal>(DecodeConfigBody(
      R"({"expect":4,"author":"mei","base":{"a":1},"overlays":{"taipei":{}}})"));
  CHECK(proposal.expect == 4);
  CHECK(proposal.document ==
        R"({"author":"mei","base":{"a":1},"overlays":{"taipei":{}}})");

  const auto errors = std::get<DecodeErrors>(
      DecodeConfigBody(R"({"expect":-1,"base":[],"extra":0})"));
  CHECK(PathsOf(errors) == std::vector<std::string>{"$.expect", "$.author",
                                                    "$.extra", "$.base",
                                                    "$.overlays"});

  const auto view = EncodeCallerAnswer(
      ConfigView{.revision = 4, .document = proposal.document});
  CHECK(view.body ==
        R"({"base":{"a":1},"overlays":{"taipei":{}},"revision":4})");
}

TEST_CASE("each verdict has its status and hint") {
  const auto ran =
      EncodeCallerAnswer(WorkAnswer{.id = "r",
                                    .verdict = Ran{.answer = "yes"},
                                    .waited = std::chrono::milliseconds(3)});
  CHECK(ran.status == 200);
  CHECK(ran.body ==
        R"({"answer":"yes","id":"r","verdict":"ran","waited_ms":3})");
  CHECK(
      EncodeCallerAnswer(
          WorkAnswer{.id = "r", .verdict = Ran{.failed = true, .answer = "no"}})
          .status == 502);
  CHECK(
      EncodeCallerAnswer(WorkAnswer{.id = "j", .verdict = Accepted()}).status ==
      202);
  CHECK(EncodeCallerAnswer(
            WorkAnswer{.id = "r",
                       .verdict = MayHaveRun{.reason = Reason::kOwnerLost,
                                             .detail = ""}})
            .status == 504);

  const auto full =
      AnswerNotRun(Reason::kOverloaded, std::chrono::milliseconds(1200));
  CHECK(full.status == 503);
  CHECK(full.retry_after == std::chrono::seconds(2));
  const auto body = std::get<Json::Value>(ParseJson(full.body));
  CHECK(body["verdict"] == "not_run");
  CHECK(body["reason"] == "overloaded");
  CHECK(body["retry_after_ms"] == 1200);

  CHECK(AnswerNotRun(Reason::kQuota, std::chrono::seconds(1)).status == 429);
  CHECK(AnswerNotRun(Reason::kNeverFits, {}).status == 422);
  CHECK(AnswerNotRun(Reason::kInvalid, {}).status == 400);
  CHECK(AnswerNotRun(Reason::kUnknownService, {}).status == 404);
  CHECK(AnswerNotRun(Reason::kNotFound, {}).status == 404);
  CHECK(AnswerNotRun(Reason::kDuplicateKey, {}).status == 409);
  CHECK_FALSE(AnswerNotRun(Reason::kNeverFits, {}).retry_after.has_value());
}

TEST_CASE("operators' answers have their status and body") {
  const auto conflict =
      EncodeCallerAnswer(ConfigConflict{.revision = 9, .author = "mei"});
  CHECK(conflict.status == 409);
  CHECK(conflict.body == R"({"author":"mei","revision":9})");
  CHECK(EncodeCallerAnswer(ConfigStored{.revision = 9}).body ==
        R"({"revision":9})");
  CHECK(EncodeCallerAnswer(DrainStarted()).status == 202);
  const auto invalid = EncodeCallerAnswer(InvalidInput{.errors = {"bad"}});
  CHECK(invalid.status == 400);
  CHECK(invalid.body == R"({"errors":[{"problem":"bad"}],"reason":"invalid",)"
                        R"("verdict":"not_run"})");

  WorkStatus cancelled;
  cancelled.is_request = true;
  cancelled.state = WorkState::kCancelled;
  const auto status = EncodeCallerAnswer(cancelled);
  const auto body = std::get<Json::Value>(ParseJson(status.body));
  CHECK(status.status == 200);
  CHECK(body["kind"] == "request");
  CHECK(body["state"] == "cancelled");
}

}  // namespace burdockrock
