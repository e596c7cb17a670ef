#include <fmt/format.h>

#include "cli/answer_report.h"
#include "cli/client_flags.h"
#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/json_text.h"
#include "cli/work_by_id.h"

namespace burdockrock {

namespace {

ExitCode Cancel(const Invocation& invocation) {
  const std::string& id = invocation.arguments[0];
  EntryClient client(invocation.io, EntriesFromFlag());
  const EntryResult result = CallById(client, "DELETE", id);
  if (const auto* loss = std::get_if<NoAnswer>(&result)) {
    return FailNoAnswer(invocation, *loss);
  }
  const auto& answer = std::get<EntryAnswer>(result);
  if (answer.status == kStatusNotFound) {
    return FailNotFound(invocation, answer);
  }
  if (answer.status != kStatusOk) {
    return FailAnswer(invocation, answer);
  }
  PrintAnswer(invocation, answer.body,
              fmt::format("{}: {}\n", id, StringMember(answer.body, "state")));
  return ExitCode::kOk;
}

}  // namespace

Command CancelCommand() {
  return {.name = "cancel",
          .arguments = "ID",
          .summary = "Cancels a job or waiting request",
          .flags = ClientFlags(),
          .min_arguments = 1,
          .max_arguments = 1,
          .run = Cancel};
}

}  // namespace burdockrock
