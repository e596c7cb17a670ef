#include "cli/submit_flags.h"

#include <array>
#include <cstdint>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <json/value.h>

#include "cli/flag_parser.h"
#include "config/json_text.h"
#include "engine/records/job_codec.h"
#include "model/resources.h"
#include "model/work.h"
#include "net/json.h"

DEFINE_string(kind, "request", "What kind of work it is");
DEFINE_string(service, "", "The service whose minions take the request");
DEFINE_string(
    team,
    "",
    "The team whose share it counts to; the policy's default team when "
    "not given");
DEFINE_string(urgency, "normal", "What goes first when there is no room");
DEFINE_int64(
    deadline_ms,
    0,
    "For a request the time to its answer, at most 3600000, and 10000 "
    "when not given; for a job the time to the start of its last task");
DEFINE_int64(count, 1, "The number of tasks of a job");
DEFINE_int64(processors_milli,
             0,
             "Thousandths of a processor for each task of a job");
DEFINE_int64(memory_mb, 0, "MiB of memory for each task of a job");
DEFINE_int64(accelerators, 0, "Accelerators for each task of a job");
DEFINE_int64(run_time_ms,
             0,
             "How long a task of a job is expected to run; 0: not known");
DEFINE_bool(idempotent, true, "Whether running it twice does no harm");
DEFINE_string(key,
              "",
              "Under which the same work is run once at most; required with "
              "--noidempotent");
DEFINE_string(payload, "", "What to run");
DEFINE_string(id, "", "The id of a request, to cancel it by; default: made");
DEFINE_string(file,
              "",
              "A job of steps: a JSON file with id, queue, payload and steps; "
              "no other flag describes it");
DEFINE_bool(wait, false, "Wait for the end of a job");

namespace burdockrock {

namespace {

constexpr std::int64_t kMaxRequestDeadlineMs = 3'600'000;
constexpr std::int64_t kMaxJobTimeMs = 31LL * 24 * 3'600'000;
constexpr std::int64_t kDefaultRequestDeadlineMs = 10'000;

// Beyond the deadline, for an answer that says it has passed.
constexpr std::chrono::seconds kAnswerMargin(5);

// For a job the answer comes once it is recorded.
constexpr std::chrono::seconds kAcceptTimeout(15);

constexpr std::array kRequestOnlyFlags = {"service", "id"};
constexpr std::array kJobOnlyFlags = {"count",       "processors_milli",
                                      "memory_mb",   "accelerators",
                                      "run_time_ms", "wait"};

bool IsJob() {
  return FLAGS_kind != "request";
}

std::optional<std::string> FindForeignFlag(const auto& names) {
  for (const char* name : names) {
    if (IsFlagGiven(name)) {
      return fmt::format("--{}: has no meaning with --kind {}; leave it out",
                         name, FLAGS_kind);
    }
  }
  return std::nullopt;
}

// A file describes the job whole.
std::optional<std::string> FindFlagBesideFile() {
  for (const FlagRule& it : SubmitFlags()) {
    if (it.name != "file" && it.name != "wait" && IsFlagGiven(it.name)) {
      return fmt::format("--{}: has no meaning with --file; leave it out",
                         it.name);
    }
  }
  return std::nullopt;
}

std::optional<std::string> CheckPayload(const std::string& value) {
  if (value.size() > kMaxPayloadBytes) {
    return fmt::format("{} bytes are too many", value.size());
  }
  return std::nullopt;
}

std::optional<std::string> CheckName(const std::string& value) {
  if (value.empty()) {
    return "the value is empty";
  }
  if (value.size() > kMaxNameBytes) {
    return fmt::format("{} bytes are too many", value.size());
  }
  return std::nullopt;
}

FlagRule NameRule(const char* name) {
  return {.name = name,
          .value = "NAME",
          .check = CheckName,
          .allowed = fmt::format("1 to {} bytes", kMaxNameBytes)};
}

FlagRule AmountRule(const char* name) {
  return {.name = name, .value = "N", .min = 0, .max = kMaxAmount};
}

void AddCommonMembers(Json::Value& body) {
  if (!FLAGS_team.empty()) {
    body["team"] = FLAGS_team;
  }
  body["urgency"] = FLAGS_urgency;
  body["idempotent"] = FLAGS_idempotent;
  body["payload"] = FLAGS_payload;
  if (!FLAGS_key.empty()) {
    body["key"] = FLAGS_key;
  }
  if (FLAGS_deadline_ms > 0) {
    body["deadline_ms"] = Json::Int64(FLAGS_deadline_ms);
  }
}

std::string RequestBody() {
  Json::Value body(Json::objectValue);
  AddCommonMembers(body);
  body["service"] = FLAGS_service;
  if (!FLAGS_id.empty()) {
    body["id"] = FLAGS_id;
  }
  return WriteJson(body);
}

std::string JobBody() {
  Json::Value body(Json::objectValue);
  AddCommonMembers(body);
  body["kind"] = FLAGS_kind;
  body["count"] = Json::Int64(FLAGS_count);
  Json::Value& resources = body["resources"];
  resources["processors_milli"] = Json::Int64(FLAGS_processors_milli);
  resources["memory_mb"] = Json::Int64(FLAGS_memory_mb);
  resources["accelerators"] = Json::Int64(FLAGS_accelerators);
  if (FLAGS_run_time_ms > 0) {
    body["run_time_ms"] = Json::Int64(FLAGS_run_time_ms);
  }
  return WriteJson(body);
}

Duration RequestTimeout() {
  const std::int64_t deadline_ms =
      FLAGS_deadline_ms > 0 ? FLAGS_deadline_ms : kDefaultRequestDeadlineMs;
  return std::chrono::milliseconds(deadline_ms) + kAnswerMargin;
}

}  // namespace

std::vector<FlagRule> SubmitFlags() {
  return {
      {.name = "kind",
       .value = "request|service|batch|gang",
       .choices = {"request", "service", "batch", "gang"}},
      NameRule("service"),
      NameRule("team"),
      {.name = "urgency",
       .value = "urgent|normal|batch",
       .choices = {"urgent", "normal", "batch"}},
      {.name = "deadline_ms", .value = "N", .min = 1, .max = kMaxJobTimeMs},
      {.name = "count", .value = "N", .min = 1, .max = kMaxTasks},
      AmountRule("processors_milli"),
      AmountRule("memory_mb"),
      AmountRule("accelerators"),
      {.name = "run_time_ms", .value = "N", .min = 0, .max = kMaxJobTimeMs},
      {.name = "idempotent"},
      NameRule("key"),
      {.name = "payload",
       .value = "TEXT",
       .check = CheckPayload,
       .allowed = fmt::format("at most {} bytes", kMaxPayloadBytes)},
      NameRule("id"),
      {.name = "file", .value = "FILE"},
      {.name = "wait"},
  };
}

std::optional<std::string> FindSubmitFault() {
  if (!FLAGS_file.empty()) {
    return FindFlagBesideFile();
  }
  if (!FLAGS_idempotent && FLAGS_key.empty()) {
    return "--key is missing; it is required with --noidempotent";
  }
  if (IsJob()) {
    return FindForeignFlag(kRequestOnlyFlags);
  }
  if (FLAGS_service.empty()) {
    return "--service is missing; it is required with --kind request";
  }
  if (FLAGS_deadline_ms > kMaxRequestDeadlineMs) {
    return fmt::format(
        "--deadline_ms: {} is out of range; allowed: 1 to {} with --kind "
        "request",
        FLAGS_deadline_ms, kMaxRequestDeadlineMs);
  }
  return FindForeignFlag(kJobOnlyFlags);
}

std::variant<Submission, SettingErrors> SubmissionFromFile() {
  auto content = ReadSettingsFile(FLAGS_file);
  if (auto* errors = std::get_if<SettingErrors>(&content)) {
    return std::move(*errors);
  }
  const std::string body = WriteJson(std::get<Json::Value>(content));
  const auto read = engine::ReadSubmission(body);
  if (const auto* error = std::get_if<DecodeError>(&read)) {
    return SettingErrors{
        {FLAGS_file, error->path, error->problem, error->allowed}};
  }
  const auto& job = std::get<engine::CallerRequest>(read);
  if (const auto fault = engine::CheckSpec(job.spec)) {
    return SettingErrors{
        {FLAGS_file, "$." + fault->path, fault->problem, fault->allowed}};
  }
  // Repeating it finds the first by its id.
  return Submission{
      .request = {.method = "POST", .path = "/v1/jobs", .body = body},
      .is_job = true,
      .idempotent = true,
      .wait = FLAGS_wait,
      .timeout = kAcceptTimeout};
}

bool IsFromFile() {
  return !FLAGS_file.empty();
}

Submission SubmissionFromFlags() {
  const bool is_job = IsJob();
  return {.request = {.method = "POST",
                      .path = is_job ? "/v1/jobs" : "/v1/requests",
                      .body = is_job ? JobBody() : RequestBody()},
          .is_job = is_job,
          .idempotent = FLAGS_idempotent,
          .wait = FLAGS_wait,
          .timeout = is_job ? Duration(kAcceptTimeout) : RequestTimeout()};
}

}  // namespace burdockrock
