#include <fmt/format.h>

#include "cli/answer_report.h"
#include "cli/client_flags.h"
#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/entry_client.h"

namespace burdockrock {

namespace {

constexpr int kAccepted = 202;

ExitCode Drain(const Invocation& invocation) {
  const auto entries = EntriesFromFlag();
  // With several the next would be drained when the first does not answer: an
  // entry instance that the operator did not mean stops.
  if (entries.size() != 1) {
    return FailUsage(
        invocation.output, invocation.command,
        fmt::format("--entry: {} entry instances given; allowed: the one "
                    "entry instance to drain",
                    entries.size()));
  }
  EntryClient client(invocation.io, entries);
  const EntryResult result =
      client.Call({.method = "POST", .path = "/v1/drain", .body = "{}"},
                  {.idempotent = true});
  if (const auto* loss = std::get_if<NoAnswer>(&result)) {
    return FailNoAnswer(invocation, *loss);
  }
  const auto& answer = std::get<EntryAnswer>(result);
  if (answer.status != kAccepted) {
    return FailAnswer(invocation, answer);
  }
  PrintAnswer(invocation, answer.body,
              fmt::format("{} is draining\n", answer.entry));
  return ExitCode::kOk;
}

}  // namespace

Command DrainCommand() {
  return {.name = "drain",
          .summary = "Stops an entry instance gracefully",
          .flags = ClientFlags(),
          .run = Drain};
}

}  // namespace burdockrock
