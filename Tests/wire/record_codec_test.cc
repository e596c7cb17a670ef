#include "wire/record_codec.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace burdockrock {

namespace {

DecodeError ErrorOf(const std::string& text) {
  const auto decoded = DecodeJobSpec(text);
  const auto* error = std::get_if<DecodeError>(&decoded);
  return error == nullptr ? DecodeError{} : *error;
}

}  // namespace

TEST_CASE("records come back as they were written") {
  const JobSpec spec{.kind = JobKind::kGang,
                     .count = 100'000,
                     .resources = {.processors_milli = 500, .memory_mb = 64},
                     .team = "trails",
                     .urgency = Urgency::kUrgent,
                     .run_time = std::chrono::seconds(60),
                     .deadline = std::chrono::hours(2),
                     .idempotent = false,
                     .key = "permit 7 \"\\ \xE5\x9F\xBA",
                     .payload = std::string("a\0b\n", 4)};
  CHECK(std::get<JobSpec>(DecodeJobSpec(EncodeJobSpec(spec))) == spec);
  CHECK(std::get<JobSpec>(DecodeJobSpec(EncodeJobSpec({}))) == JobSpec());

  const Request request{.id = "neihu-a.e1-17.4",
                        .service = "grantdesk",
                        .team = "lanyu",
                        .urgency = Urgency::kBatch,
                        .deadline = std::chrono::milliseconds(1500),
                        .idempotent = false,
                        .key = "k",
                        .payload = "p"};
  CHECK(std::get<Request>(DecodeRequest(EncodeRequest(request))) == request);

  const AttemptReport report{
      .attempt = {.job = "a/b", .task = 4'294'967'295, .number = ~0ULL},
      .resources = {.slots = 1},
      .state = AttemptState::kEnded,
      .outcome = Outcome::kLeaseLapsed,
      .answer = "partial"};
  CHECK(std::get<AttemptReport>(
            DecodeAttemptReport(EncodeAttemptReport(report))) == report);
}

TEST_CASE("a damaged record is refused with the path of the fault") {
  struct Case {
    std::string text;
    std::string path;
    std::string problem;
  };
  const std::vector<Case> cases = {
      {"", "$", "is not JSON"},
      {"[]", "$", "is not an object"},
      {R"({"kind":"batch","kind":"gang","resources":{}})", "$", "is not JSON"},
      {R"({"resources":{}})", "$.kind", "is missing"},
      {R"({"kind":"batches","resources":{}})", "$.kind", "is unknown"},
      {R"({"kind":"batch","resources":{"gpus":1}})", "$.resources.gpus",
       "is unknown"},
      {R"({"kind":"batch","resources":{"memory_mb":-1}})",
       "$.resources.memory_mb", "-1 is negative"},
      {R"({"kind":"batch","resources":{"memory_mb":1000000001}})",
       "$.resources.memory_mb", "1000000001 is too large"},
      {R"({"kind":"batch","resources":{},"count":4294967296})", "$.count",
       "4294967296 is too large"},
      {R"({"kind":"batch","resources":{},"count":99999999999999999999})",
       "$.count", "is too large"},
      {R"({"kind":"batch","resources":{},"count":1.5})", "$.count",
       "1.5 is not a whole number"},
      {R"({"kind":"batch","resources":{},"count":"1"})", "$.count",
       "is not a whole number"},
      {R"({"kind":"batch","resources":{},"run_time_ms":1000000000001})",
       "$.run_time_ms", "is too large"},
      {R"({"kind":"batch","resources":{},"idempotent":1})", "$.idempotent",
       "is not a boolean"},
      {R"({"kind":"batch","resources":{},"team":"a\nb"})", "$.team",
       "has control characters"},
      {R"({"kind":"batch","resources":{},"team":")" + std::string(129, 'x') +
           "\"}",
       "$.team", "has 129 bytes"},
  };
  for (const Case& it : cases) {
    CAPTURE(it.text);
    const DecodeError error = ErrorOf(it.text);
    CHECK(error.path == it.path);
    CHECK(error.problem.find(it.problem) != std::string::npos);
  }
}

}  // namespace burdockrock
