#include "cli/answer_report.h"
#include "cli/client_flags.h"
#include "cli/command_table.h"
#include "cli/entry_client.h"
#include "cli/json_text.h"
#include "cli/policy_in_force.h"

namespace burdockrock {

namespace {

ExitCode ConfigGet(const Invocation& invocation) {
  EntryClient client(invocation.io, EntriesFromFlag());
  const EntryResult result = GetPolicyInForce(client);
  if (const auto* loss = std::get_if<NoAnswer>(&result)) {
    return FailNoAnswer(invocation, *loss);
  }
  const auto& answer = std::get<EntryAnswer>(result);
  if (answer.status != kPolicyStatusOk) {
    return FailAnswer(invocation, answer);
  }
  PrintAnswer(invocation, answer.body, PrettyJson(answer.body) + "\n");
  return ExitCode::kOk;
}

}  // namespace

Command ConfigGetCommand() {
  return {.name = "config get",
          .summary = "Prints the policy in force and its revision",
          .flags = ClientFlags(),
          .run = ConfigGet};
}

}  // namespace burdockrock
