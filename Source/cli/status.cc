#include <fmt/format.h>

#include "cli/answer_report.h"
#include "cli/client_flags.h"
#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/status_text.h"
#include "cli/work_by_id.h"

namespace burdockrock {

namespace {

ExitCode Status(const Invocation& invocation) {
  const std::string& id = invocation.arguments[0];
  EntryClient client(invocation.io, EntriesFromFlag());
  const EntryResult result = CallById(client, "GET", id);
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
  PrintAnswer(invocation, answer.body, StatusText(answer.body));
  return ExitCode::kOk;
}

}  // namespace

Command StatusCommand() {
  return {.name = "status",
          .arguments = "ID",
          .summary = "Prints the state of a job or waiting request",
          .flags = ClientFlags(),
          .min_arguments = 1,
          .max_arguments = 1,
          .run = Status};
}

}  // namespace burdockrock
