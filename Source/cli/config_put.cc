#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "cli/answer_report.h"
#include "cli/client_flags.h"
#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/entry_client.h"
#include "cli/json_text.h"
#include "cli/policy_files.h"
#include "cli/setting_report.h"
#include "net/json.h"

DEFINE_int64(expect,
             0,
             "The revision that the files were made from; 0: none yet");
DEFINE_string(author, "", "Who puts it, for others to see");

namespace burdockrock {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

std::optional<std::string> FindRevisionFault(const EntryAnswer& answer) {
  const bool has_revision = answer.status == kOk || answer.status == kConflict;
  if (has_revision && !IntegerMember(answer.body, "revision")) {
    return "its answer has no revision";
  }
  return std::nullopt;
}

std::string PutBody(const PolicyDocument& document) {
  Json::Value body(Json::objectValue);
  body["expect"] = Json::Int64(FLAGS_expect);
  body["author"] = FLAGS_author;
  body["base"] = document.base;
  body["overlays"] = OverlaysJson(document);
  return WriteJson(body);
}

ExitCode FailConflict(const Invocation& invocation, const EntryAnswer& answer) {
  return Fail(
      invocation,
      fmt::format("revision {} by '{}' is in force, not the expected {}; see "
                  "'burdockrock config diff' and put again with --expect {}",
                  *IntegerMember(answer.body, "revision"),
                  StringMember(answer.body, "author"), FLAGS_expect,
                  *IntegerMember(answer.body, "revision")));
}

// The write may have taken effect. Sending it again would meet the revision
// that it made itself and report a conflict, so the operator looks first.
ExitCode FailLost(const Invocation& invocation, const NoAnswer& loss) {
  if (!loss.may_have_run) {
    return FailNoAnswer(invocation, loss);
  }
  return Fail(invocation,
              fmt::format("the policy may be in force, its answer was lost: "
                          "{}; see 'burdockrock config get' before putting it "
                          "again",
                          loss.message));
}

ExitCode ConfigPut(const Invocation& invocation) {
  const auto loaded = LoadPolicyFromFlags();
  if (const auto* errors = std::get_if<SettingErrors>(&loaded)) {
    return FailSettings(invocation, *errors);
  }
  EntryClient client(invocation.io, EntriesFromFlag());
  const EntryResult result =
      client.Call({.method = "PUT",
                   .path = "/v1/config",
                   .body = PutBody(std::get<PolicyDocument>(loaded))},
                  {.idempotent = false, .find_fault = FindRevisionFault});
  if (const auto* loss = std::get_if<NoAnswer>(&result)) {
    return FailLost(invocation, *loss);
  }
  const auto& answer = std::get<EntryAnswer>(result);
  if (answer.status == kConflict) {
    return FailConflict(invocation, answer);
  }
  if (answer.status != kOk) {
    return FailAnswer(invocation, answer);
  }
  PrintAnswer(invocation, answer.body,
              fmt::format("revision {} is in force\n",
                          *IntegerMember(answer.body, "revision")));
  return ExitCode::kOk;
}

}  // namespace

Command ConfigPutCommand() {
  std::vector<FlagRule> flags = ClientFlags(PolicyFileFlags());
  flags.push_back({.name = "expect",
                   .value = "REVISION",
                   .min = 0,
                   .max = std::numeric_limits<std::int64_t>::max(),
                   .required = true});
  flags.push_back({.name = "author", .value = "NAME", .required = true});
  return {.name = "config put",
          .summary = "Checks a policy and puts it into force",
          .flags = std::move(flags),
          .run = ConfigPut};
}

}  // namespace burdockrock
