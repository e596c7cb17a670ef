#include "cli/answer_report.h"
#include "cli/client_flags.h"
#include "cli/command_table.h"
#include "cli/entry_client.h"
#include "cli/json_text.h"

namespace burdockrock {

namespace {

constexpr int kOk = 200;

ExitCode Dump(const Invocation& invocation) {
  EntryClient client(invocation.io, EntriesFromFlag());
  const EntryResult result =
      client.Call({.path = "/v1/dump"}, {.idempotent = true});
  if (const auto* loss = std::get_if<NoAnswer>(&result)) {
    return FailNoAnswer(invocation, *loss);
  }
  const auto& answer = std::get<EntryAnswer>(result);
  if (answer.status != kOk) {
    return FailAnswer(invocation, answer);
  }
  PrintAnswer(invocation, answer.body, PrettyJson(answer.body) + "\n");
  return ExitCode::kOk;
}

}  // namespace

Command DumpCommand() {
  return {.name = "dump",
          .summary = "Prints the whole state of an entry instance",
          .flags = ClientFlags(),
          .run = Dump};
}

}  // namespace burdockrock
