#include <fmt/format.h>

#include "cli/answer_report.h"
#include "cli/client_flags.h"
#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/entry_client.h"
#include "cli/policy_files.h"
#include "cli/policy_in_force.h"
#include "cli/setting_report.h"
#include "config/diff.h"

namespace burdockrock {

namespace {

Json::Value PolicyOf(const Json::Value& base, const Json::Value& overlays) {
  Json::Value policy(Json::objectValue);
  policy["base"] = base;
  policy["overlays"] = overlays;
  return policy;
}

void PrintDifferences(const Invocation& invocation,
                      const std::vector<std::string>& lines) {
  Json::Value json(Json::objectValue);
  json["differences"] = Json::Value(Json::arrayValue);
  std::string text;
  for (const std::string& line : lines) {
    json["differences"].append(line);
    text += line + "\n";
  }
  PrintAnswer(invocation, json, text);
}

ExitCode ConfigDiff(const Invocation& invocation) {
  const auto loaded = LoadPolicyFromFlags();
  if (const auto* errors = std::get_if<SettingErrors>(&loaded)) {
    return FailSettings(invocation, *errors);
  }
  const auto& document = std::get<PolicyDocument>(loaded);
  EntryClient client(invocation.io, EntriesFromFlag());
  const EntryResult result = GetPolicyInForce(client);
  if (const auto* loss = std::get_if<NoAnswer>(&result)) {
    return FailNoAnswer(invocation, *loss);
  }
  const auto& answer = std::get<EntryAnswer>(result);
  if (answer.status != kPolicyStatusOk) {
    return FailAnswer(invocation, answer);
  }
  const auto lines =
      DiffLines(PolicyOf(answer.body["base"], answer.body["overlays"]),
                PolicyOf(document.base, OverlaysJson(document)));
  PrintDifferences(invocation, lines);
  return lines.empty() ? ExitCode::kOk : ExitCode::kFailed;
}

}  // namespace

Command ConfigDiffCommand() {
  std::vector<FlagRule> flags = ClientFlags(PolicyFileFlags());
  return {.name = "config diff",
          .summary = "Compares the policy in force with local files",
          .flags = std::move(flags),
          .run = ConfigDiff};
}

}  // namespace burdockrock
