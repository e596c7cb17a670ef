// Orders to workers and advice against texts written by hand.
#include <chrono>
#include <string>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "platform/worker_codec.h"

namespace burdockrock::platform {

namespace {

using namespace engine;

WorkerAnswer Decode(int status, std::string body) {
  return DecodeWorkerAnswer(
      HttpResponse{.status = status, .body = std::move(body)});
}

TEST_CASE("Orders carry the fence and the life that they are for") {
  const HttpRequest start =
      EncodeWorkerRequest("i-1", StartRun{.task = "a.0.1.2",
                                          .run = 2,
                                          .payload = "some text",
                                          .ticket = "t",
                                          .checkpoint = "c",
                                          .fence = 7,
                                          .lease_until_ms = 486000});
  CHECK(start.path == "/run-start");
  CHECK(start.headers.at("x-expected-instance") == "i-1");
  CHECK(start.body ==
        R"({"checkpoint":"c","deadline_ms":486000,"fencing_token":7,)"
        R"("run":2,"spec":"some text","task":"a.0.1.2","ticket":"t"})");
  CHECK(EncodeWorkerRequest("i-1", StopRun{.task = "t", .run = 1, .fence = 7})
            .body == R"({"fencing_token":7,"run":1,"task":"t"})");
  CHECK(EncodeWorkerRequest(
            "i-1", PaceRun{.task = "t", .run = 1, .percent = 40, .fence = 7})
            .body == R"({"fencing_token":7,"percent":40,"run":1,"task":"t"})");
  const PollWorker hold{.fence = 7,
                        .acknowledged = 57,
                        .lease_until_ms = 486000,
                        .wait = std::chrono::milliseconds(1000)};
  CHECK(EncodeWorkerRequest("i-1", hold).body ==
        R"({"acknowledged":57,"deadline_ms":486000,"fencing_token":7,)"
        R"("wait_ms":1000})");
  CHECK(EncodeWorkerRequest("i-1", PollWorker{.fence = 7}).body ==
        R"({"acknowledged":0,"fencing_token":7})");
}

TEST_CASE("A listing is read whole") {
  const WorkerAnswer answer =
      Decode(200, R"({"clock_ms":482113,"born":1764785000123,)"
                  R"("running":[["a.0.1.17",2,"c1",41,3.6]],)"
                  R"("finished":[[58,"a.0.1.9",1,"done",""],)"
                  R"([59,"a.0.1.8",3,"lapsed","c2"]]})");
  REQUIRE(std::holds_alternative<WorkerDone>(answer));
  const auto& done = std::get<WorkerDone>(answer);
  CHECK(done.clock_ms == 482113);
  CHECK(done.born == 1764785000123);
  REQUIRE(done.running.size() == 1);
  CHECK(done.running[0] == RunningRow{.task = "a.0.1.17",
                                      .run = 2,
                                      .checkpoint = "c1",
                                      .percent = 41,
                                      .figure = 4});
  REQUIRE(done.ended.size() == 2);
  CHECK(done.ended[0].how == RunEnd::kDone);
  CHECK(done.ended[1] == EndedRow{.sequence = 59,
                                  .task = "a.0.1.8",
                                  .run = 3,
                                  .how = RunEnd::kLapsed,
                                  .checkpoint = "c2"});
}

// Guards against runs that count as lost as their ends come after those listed.
TEST_CASE("A listing with as many ends as fit may lack others") {
  const auto with_ends = [](int n) {
    std::string body = R"({"clock_ms":1,"running":[],"finished":[)";
    for (int it = 1; it <= n; ++it) {
      body += fmt::format("{}[{},\"t.0.0.{}\",1,\"done\",\"\"]",
                          it == 1 ? "" : ",", it, it);
    }
    const auto answer =
        DecodeWorkerAnswer(HttpResponse{.status = 200, .body = body + "]}"});
    return std::get<WorkerDone>(answer);
  };
  CHECK_FALSE(with_ends(499).more_ends);
  CHECK(with_ends(500).more_ends);
  CHECK(with_ends(500).ended.size() == 500);
}

TEST_CASE("Each refusal is told apart") {
  const auto kind = [](int status, const char* body) {
    const WorkerAnswer answer = Decode(status, body);
    REQUIRE(std::holds_alternative<WorkerRefused>(answer));
    return std::get<WorkerRefused>(answer).kind;
  };
  CHECK(kind(409, R"({"reason":"fence"})") == WorkerRefusalKind::kFenced);
  CHECK(kind(409, R"({"reason":"old"})") == WorkerRefusalKind::kOldRun);
  CHECK(kind(409, R"({"reason":"late"})") == WorkerRefusalKind::kLate);
  CHECK(kind(409, R"({"reason":"room"})") == WorkerRefusalKind::kNoRoom);
  CHECK(kind(409, R"({"reason":"ticket"})") == WorkerRefusalKind::kBadTicket);
  CHECK(kind(400, "") == WorkerRefusalKind::kInvalid);
  CHECK(kind(421, "") == WorkerRefusalKind::kReplaced);
  CHECK(kind(429, "") == WorkerRefusalKind::kUnhealthy);
  CHECK(kind(503, "") == WorkerRefusalKind::kUnhealthy);
}

// Symptom: a task whose start got a garbled answer runs twice.
// Cause would be: taking the answer for a refusal.
TEST_CASE("An answer that can't be read may hide a start") {
  for (const char* body : {"", "{", "[]", R"({"running":[[1]]})",
                           R"({"finished":[[1,"a",1,"x"]]})"}) {
    CHECK(std::holds_alternative<WorkerUnreached>(Decode(200, body)));
  }
  CHECK(std::holds_alternative<WorkerUnreached>(
      Decode(409, R"({"reason":"new one"})")));
  CHECK(std::holds_alternative<WorkerUnreached>(Decode(500, "")));
  const WorkerAnswer lost = DecodeWorkerAnswer(HttpFailure{});
  CHECK(std::get<WorkerUnreached>(lost).may_have_run);
}

TEST_CASE("Advice names workers and brings tickets") {
  CHECK(
      EncodeAdviceRequest({.step = "a.0.1", .workers = {"i-1", "i-2"}}).body ==
      R"({"step":"a.0.1","workers":["i-1","i-2"]})");
  const AdviceAnswer given = DecodeAdviceAnswer(
      HttpResponse{.body = R"({"allowed":[["i-1","c81e"]],"valid_ms":3000})"});
  REQUIRE(std::holds_alternative<AdviceGiven>(given));
  CHECK(std::get<AdviceGiven>(given).allowed ==
        std::vector<Allowed>{{.worker = "i-1", .ticket = "c81e"}});
  CHECK(std::holds_alternative<AdviceFailed>(
      DecodeAdviceAnswer(HttpResponse{.status = 429})));
  CHECK(std::holds_alternative<AdviceFailed>(
      DecodeAdviceAnswer(HttpResponse{.body = R"({"allowed":[[1]]})"})));
}

}  // namespace

}  // namespace burdockrock::platform
