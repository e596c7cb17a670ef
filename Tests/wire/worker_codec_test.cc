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
  }
}

TEST_CASE("answers of workers are read") {
  const std::string report =
      R"({"attempt":"j/1/2","resources":{"memory_mb":64},"state":"ended",)"
      R"("outcome":"done","answer":"ok","age_ms":12})";
  const AttemptReport expected{.attempt = {.job = "j", .task = 1, .number = 2},
                               .resources = {.memory_mb = 64},
                               .state = AttemptState::kEnded,
                               .outcome = Outcome::kDone,
                               .answer = "ok"};
  CHECK(
      Decode(WorkerCommandKind::kClaim, 200,
             R"({"accepted":true,"epoch":3,"capacity":{"memory_mb":128},)"
             R"("attempts":[)" +
                 report + "]}") ==
      WorkerResult(ClaimAccepted{
          .epoch = 3, .capacity = {.memory_mb = 128}, .attempts = {expected}}));
  CHECK(Decode(WorkerCommandKind::kStart, 200, R"({"started":true})") ==
        WorkerResult(StartDone()));
  CHECK(Decode(WorkerCommandKind::kRun, 200,
               R"({"outcome":"failed","answer":"why"})") ==
        WorkerResult(RunEnded{.outcome = Outcome::kFailed, .answer = "why"}));
  CHECK(Decode(WorkerCommandKind::kRenew, 200,
               R"({"version":4,"attempts":[)" + report +
                   R"(],"usage":{"memory_mb":60}})") ==
        WorkerResult(RenewDone{
            .version = 4, .attempts = {expected}, .usage = {.memory_mb = 60}}));
  CHECK(Decode(WorkerCommandKind::kStop, 200, R"({"stopped":["j/1/2"]})") ==
        WorkerResult(StopDone{.stopped = {expected.attempt}}));
}

TEST_CASE("refusals of workers are read") {
  const WorkerResult stale = StaleEpoch{.epoch = 8, .owner = "e2"};
  const std::string body = R"({"reason":"stale_epoch","epoch":8,"owner":"e2"})";
  CHECK(Decode(WorkerCommandKind::kClaim, 409,
               R"({"accepted":false,"epoch":8,"owner":"e2"})") == stale);
  CHECK(Decode(WorkerCommandKind::kStart, 409, body) == stale);
  CHECK(Decode(WorkerCommandKind::kRun, 409, body) == stale);
  CHECK(Decode(WorkerCommandKind::kRenew, 409, body) == stale);
  CHECK(Decode(WorkerCommandKind::kStop, 409, body) == stale);
  CHECK(Decode(WorkerCommandKind::kStart, 409,
               R"({"reason":"no_room","epoch":8,"owner":"e1"})") ==
        WorkerResult(StartRefused{.reason = "no_room"}));
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
