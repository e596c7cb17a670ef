#include <optional>
#include <string>

#include <fmt/format.h>

#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/queues_store.h"
#include "cli/setting_report.h"
#include "cli/settings_kinds.h"
#include "engine/records/documents.h"

namespace burdockrock {

namespace {

struct InForce {
  std::uint64_t revision = 0;  // 0: none yet
  std::uint64_t version = 0;
};

std::optional<InForce> Read(const engine::StoreAnswer& answer) {
  if (std::holds_alternative<engine::StoreAbsent>(answer)) {
    return InForce{};
  }
  const auto* done = std::get_if<engine::StoreDone>(&answer);
  if (done == nullptr || done->items.size() != 1) {
    return std::nullopt;
  }
  const engine::StoreItem& item = done->items.front();
  const auto read = engine::ReadConfiguration(item.value);
  const auto* configuration = std::get_if<engine::Configuration>(&read);
  return InForce{
      .revision = item.revision,
      .version = configuration == nullptr ? 0 : configuration->version};
}

ExitCode QueuesPut(const Invocation& invocation) {
  auto loaded = LoadQueuesFile(invocation.arguments[0]);
  if (const auto* errors = std::get_if<SettingErrors>(&loaded)) {
    return FailSettings(invocation, *errors);
  }
  auto& configuration = std::get<engine::Configuration>(loaded);
  const std::string key = engine::OwnDocuments().configuration_key;
  const auto before =
      CallStoreOfFlag(invocation, engine::StoreRead{.key = key});
  const auto in_force = Read(before);
  if (!in_force) {
    return Fail(invocation, StoreProblem(before));
  }
  // Bound to what was read, so that of two operators at once one is told.
  configuration.version = in_force->version + 1;
  const auto answer = CallStoreOfFlag(
      invocation,
      engine::StoreTransaction{
          .conditions = {{.key = key, .revision = in_force->revision}},
          .puts = {{.key = key,
                    .value = engine::EncodeConfiguration(configuration)}}});
  if (std::holds_alternative<engine::StoreConflict>(answer)) {
    return Fail(invocation,
                "another change came first; see 'burdockrock queues get' and "
                "put again");
  }
  if (!std::holds_alternative<engine::StoreDone>(answer)) {
    return Fail(invocation, StoreProblem(answer));
  }
  invocation.output.out << fmt::format("version {} is stored\n",
                                       configuration.version);
  return ExitCode::kOk;
}

}  // namespace

Command QueuesPutCommand() {
  return {
      .name = "queues put",
      .arguments = "FILE",
      .summary = "Checks the queues of jobs of steps and puts them in force",
      .flags = {StoreFlag()},
      .min_arguments = 1,
      .max_arguments = 1,
      .run = QueuesPut};
}

}  // namespace burdockrock
