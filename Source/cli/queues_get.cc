#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/json_text.h"
#include "cli/queues_store.h"
#include "engine/records/documents.h"
#include "net/json.h"

namespace burdockrock {

namespace {

ExitCode QueuesGet(const Invocation& invocation) {
  const auto answer = CallStoreOfFlag(
      invocation,
      engine::StoreRead{.key = engine::OwnDocuments().configuration_key});
  if (std::holds_alternative<engine::StoreAbsent>(answer)) {
    return Fail(invocation,
                "there are no queues yet; put them with 'burdockrock queues "
                "put'");
  }
  const auto* done = std::get_if<engine::StoreDone>(&answer);
  if (done == nullptr || done->items.empty()) {
    return Fail(invocation, StoreProblem(answer));
  }
  const auto parsed = ParseJson(done->items.front().value);
  if (const auto* json = std::get_if<Json::Value>(&parsed)) {
    invocation.output.out << PrettyJson(*json) << "\n";
    return ExitCode::kOk;
  }
  return Fail(invocation, "what the store holds is no JSON");
}

}  // namespace

Command QueuesGetCommand() {
  return {.name = "queues get",
          .summary = "Prints the queues of jobs of steps that are in force",
          .flags = {StoreFlag()},
          .run = QueuesGet};
}

}  // namespace burdockrock
