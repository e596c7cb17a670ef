#include "wire/worker_codec.h"

#include <vector>

#include <doctest/doctest.h>

namespace burdockrock {

namespace {

constexpr WorkerCommandKind kAllKinds[] = {
    WorkerCommandKind::kClaim, WorkerCommandKind::kStart,
    WorkerCommandKind::kRun, WorkerCommandKind::kRenew,
    WorkerCommandKind::kStop};

WorkerResult Decode(WorkerCommandKind kind, int status, std::string body) {
  return DecodeWorkerAnswer(kind, {.status = status, .body = std::move(body)});
}

bool IsGarbage(const WorkerResult& result) {
  const auto* failure = std::get_if<WorkerUnreachable>(&result);
  return failure != nullptr && failure->garbage &&
         failure->may_have_been_received;
}

}  // namespace

TEST_CASE("commands take the form that the protocol gives") {
  const AttemptId attempt{.job = "j", .task = 1, .number = 2};
  const auto lease = std::chrono::seconds(15);
  struct Case {
    WorkerCommand command;
    std::string path;
    std::string body;
  };
  const std::vector<Case> cases = {
      {ClaimCommand{.epoch = 3, .owner = "e1", .incarnation = "k"}, "/v1/claim",
       R"({"epoch":3,"incarnation":"k","owner":"e1"})"},
      {StartCommand{.epoch = 3,
                    .attempt = attempt,
                    .resources = {.memory_mb = 64},
                    .payload = "p",
                    .lease = lease,
                    .hold = true},
       "/v1/start",
       R"({"attempt":"j/1/2","epoch":3,"hold":true,"lease_ms":15000,)"
       R"("payload":"p","resources":{"memory_mb":64}})"},
      {RunCommand{.epoch = 3,
                  .attempt = attempt,
                  .resources = {.slots = 1},
                  .payload = "p",
                  .lease = lease},
       "/v1/run",
       R"({"attempt":"j/1/2","epoch":3,"lease_ms":15000,"payload":"p",)"
       R"("resources":{"slots":1}})"},
      {RenewCommand{.epoch = 3,
                    .lease = lease,
                    .wait = std::chrono::seconds(5),
                    .version = 9,
                    .acknowledge = {attempt},
                    .go = {}},
       "/v1/renew",
       R"({"acknowledge":["j/1/2"],"epoch":3,"go":[],"lease_ms":15000,)"
       R"("version":9,"wait_ms":5000})"},
      {StopCommand{.epoch = 3, .attempts = {attempt}}, "/v1/stop",
       R"({"attempts":["j/1/2"],"epoch":3})"},
  };
  for (const Case& it : cases) {
    const HttpRequest request = EncodeWorkerCommand(it.command);
    CHECK(request.method == "POST");
    CHECK(request.path == it.path);
    CHECK(request.body == it.body);
    const auto read = DecodeWorkerCommand(request);
    REQUIRE(std::holds_alternative<WorkerCommand>(read));
    CHECK(std::get<WorkerCommand>(read) == it.command);
    CHECK(KindOf(it.command) == KindOf(std::get<WorkerCommand>(read)));
  }
}

TEST_CASE("answers of workers take the form that the protocol gives") {
  const std::string report =
      R"("answer":"ok","attempt":"j/1/2","outcome":"done",)"
      R"("resources":{"memory_mb":64},"state":"ended"})";
  const AttemptReport expected{.attempt = {.job = "j", .task = 1, .number = 2},
                               .resources = {.memory_mb = 64},
                               .state = AttemptState::kEnded,
                               .outcome = Outcome::kDone,
                               .answer = "ok"};
  const StaleEpoch stale{.epoch = 8, .owner = "e2"};
  const std::string reason =
      R"({"epoch":8,"owner":"e2","reason":"stale_epoch"})";
  using Kind = WorkerCommandKind;
  struct Case {
    Kind kind;
    WorkerResult result;
    std::string body;
    int status = 200;
  };
  const std::vector<Case> cases = {
      {Kind::kClaim,
       ClaimAccepted{
           .epoch = 3, .capacity = {.memory_mb = 128}, .attempts = {expected}},
       R"({"accepted":true,"attempts":[{)" + report +
           R"(],"capacity":{"memory_mb":128},"epoch":3})"},
      {Kind::kStart, StartDone(), R"({"started":true})"},
      {Kind::kRun, RunEnded{.outcome = Outcome::kFailed, .answer = "why"},
       R"({"answer":"why","outcome":"failed"})"},
      {Kind::kRenew,
       RenewDone{
           .version = 4, .attempts = {expected}, .usage = {.memory_mb = 60}},
       R"({"attempts":[{)" + report +
           R"(],"usage":{"memory_mb":60},"version":4})"},
      {Kind::kStop, StopDone{.stopped = {expected.attempt}},
       R"({"stopped":["j/1/2"]})"},
      {Kind::kClaim, stale, R"({"accepted":false,"epoch":8,"owner":"e2"})",
       409},
      {Kind::kStart, stale, reason, 409},
      {Kind::kRun, stale, reason, 409},
      {Kind::kRenew, stale, reason, 409},
      {Kind::kStop, stale, reason, 409},
      {Kind::kStart, StartRefused{.reason = "no_room"},
       R"({"epoch":8,"owner":"e2","reason":"no_room"})", 409},
  };
  for (const Case& it : cases) {
    CAPTURE(it.body);
    CHECK(Decode(it.kind, it.status, it.body) == it.result);
    const HttpResponse written = EncodeWorkerAnswer(it.kind, it.result, stale);
    CHECK(written.status == it.status);
    CHECK(written.body == it.body);
  }
  // The age of a report may be there and is not read.
  CHECK(Decode(Kind::kRenew, 200,
               R"({"attempts":[{"age_ms":12,)" + report +
                   R"(],"usage":{"memory_mb":60},"version":4})") ==
        cases[3].result);
}

TEST_CASE("what is no command is refused") {
  for (const HttpRequest& it : std::vector<HttpRequest>{
           {.method = "GET", .path = "/v1/stop"},
           {.method = "POST", .path = "/v1/none", .body = "{}"},
           {.method = "POST", .path = "/v1/stop", .body = "{"},
           {.method = "POST", .path = "/v1/stop", .body = R"({"epoch":1})"}}) {
    CHECK(std::holds_alternative<DecodeError>(DecodeWorkerCommand(it)));
  }
}

TEST_CASE("what can't be read may have taken effect") {
  for (const WorkerCommandKind kind : kAllKinds) {
    for (const int status : {200, 409}) {
      CHECK(IsGarbage(Decode(kind, status, "")));
      CHECK(IsGarbage(Decode(kind, status, "{")));
      CHECK(IsGarbage(Decode(kind, status, "[1]")));
      CHECK(IsGarbage(Decode(kind, status, "{}")));
    }
    CHECK(IsGarbage(Decode(kind, 500, "{}")));
  }
  CHECK(IsGarbage(
      Decode(WorkerCommandKind::kStart, 200, R"({"started":false})")));
  CHECK(IsGarbage(
      Decode(WorkerCommandKind::kStart, 200, R"({"started":true,"epoch":1})")));
  CHECK(IsGarbage(Decode(WorkerCommandKind::kRun, 200,
                         R"({"outcome":"none","answer":""})")));
  CHECK(IsGarbage(Decode(WorkerCommandKind::kRenew, 200,
                         R"({"version":-1,"attempts":[],"usage":{}})")));
}

}  // namespace burdockrock
