#include "scheduler/standin_edge.h"

#include <utility>
#include <variant>
#include <vector>

namespace burdockrock {

namespace {

WorkerResult FromRefusal(const standin::Refused& refused) {
  if (refused.reason == standin::Refusal::kStaleEpoch) {
    return StaleEpoch{.epoch = refused.epoch, .owner = refused.owner};
  }
  return StartRefused{.reason = standin::RefusalName(refused.reason)};
}

std::vector<AttemptReport> FromReports(
    const std::vector<standin::WorkerReport>& reports) {
  std::vector<AttemptReport> out;
  out.reserve(reports.size());
  for (const standin::WorkerReport& it : reports) {
    out.push_back(it.report);
  }
  return out;
}

std::optional<WorkerResult> FromStandin(const standin::ClaimAnswer& answer) {
  if (const auto* claimed = std::get_if<standin::Claimed>(&answer)) {
    return ClaimAccepted{.epoch = claimed->epoch,
                         .capacity = claimed->capacity,
                         .attempts = FromReports(claimed->attempts)};
  }
  if (const auto* refused = std::get_if<standin::Refused>(&answer)) {
    return FromRefusal(*refused);
  }
  return std::nullopt;
}

std::optional<WorkerResult> FromStandin(const standin::StartAnswer& answer) {
  if (std::holds_alternative<standin::Started>(answer)) {
    return StartDone{};
  }
  if (const auto* refused = std::get_if<standin::Refused>(&answer)) {
    return FromRefusal(*refused);
  }
  return std::nullopt;
}

std::optional<WorkerResult> FromStandin(const standin::StopAnswer& answer) {
  if (const auto* stopped = std::get_if<standin::Stopped>(&answer)) {
    return StopDone{.stopped = stopped->attempts};
  }
  if (const auto* refused = std::get_if<standin::Refused>(&answer)) {
    return FromRefusal(*refused);
  }
  return std::nullopt;
}

}  // namespace

standin::StartCommand ToStandin(const RunCommand& run) {
  return {.epoch = run.epoch,
          .attempt = run.attempt,
          .resources = run.resources,
          .payload = run.payload,
          .lease = run.lease};
}

standin::RenewCommand ToStandin(const RenewCommand& renew) {
  return {.epoch = renew.epoch,
          .lease = renew.lease,
          .wait = renew.wait,
          .version = renew.version,
          .acknowledge = renew.acknowledge,
          .go = renew.go};
}

std::optional<WorkerResult> FromStandin(const standin::RunAnswer& answer) {
  if (const auto* ended = std::get_if<standin::RunEnded>(&answer)) {
    return RunEnded{.outcome = ended->outcome, .answer = ended->answer};
  }
  if (const auto* refused = std::get_if<standin::Refused>(&answer)) {
    return FromRefusal(*refused);
  }
  return std::nullopt;
}

std::optional<WorkerResult> FromStandin(const standin::RenewAnswer& answer) {
  if (const auto* renewed = std::get_if<standin::Renewed>(&answer)) {
    return RenewDone{.version = renewed->version,
                     .attempts = FromReports(renewed->attempts),
                     .usage = renewed->usage};
  }
  if (const auto* refused = std::get_if<standin::Refused>(&answer)) {
    return FromRefusal(*refused);
  }
  return std::nullopt;
}

std::optional<WorkerResult> ApplyToModel(standin::WorkerModel& model,
                                         const WorkerCommand& command,
                                         Time now) {
  if (const auto* claim = std::get_if<ClaimCommand>(&command)) {
    return FromStandin(model.Claim({.epoch = claim->epoch,
                                    .owner = claim->owner,
                                    .incarnation = claim->incarnation},
                                   now));
  }
  if (const auto* start = std::get_if<StartCommand>(&command)) {
    return FromStandin(model.Start({.epoch = start->epoch,
                                    .attempt = start->attempt,
                                    .resources = start->resources,
                                    .payload = start->payload,
                                    .lease = start->lease,
                                    .hold = start->hold},
                                   now));
  }
  if (const auto* stop = std::get_if<StopCommand>(&command)) {
    return FromStandin(
        model.Stop({.epoch = stop->epoch, .attempts = stop->attempts}, now));
  }
  return std::nullopt;
}

bool IsEmptyWatch(const PlatformOperation& operation,
                  const PlatformResult& result) {
  if (const auto* watch = std::get_if<KvWatch>(&operation)) {
    const auto* items = std::get_if<KvItems>(&result);
    return watch->wait > Duration(0) && items != nullptr &&
           items->items.empty();
  }
  if (const auto* watch = std::get_if<InstancesWatch>(&operation)) {
    const auto* list = std::get_if<InstanceList>(&result);
    return watch->wait > Duration(0) && list != nullptr &&
           list->revision <= watch->after;
  }
  return false;
}

Duration WaitOf(const PlatformOperation& operation) {
  if (const auto* watch = std::get_if<KvWatch>(&operation)) {
    return watch->wait;
  }
  if (const auto* watch = std::get_if<InstancesWatch>(&operation)) {
    return watch->wait;
  }
  return Duration(0);
}

std::optional<PlatformResult> TryWatch(const standin::PlatformStore& store,
                                       const PlatformOperation& operation) {
  if (const auto* watch = std::get_if<KvWatch>(&operation)) {
    return store.TryWatch(*watch);
  }
  return store.TryWatch(std::get<InstancesWatch>(operation));
}

PlatformResult EmptyAnswer(const standin::PlatformStore& store,
                           const PlatformOperation& operation) {
  if (const auto* watch = std::get_if<InstancesWatch>(&operation)) {
    return InstanceList{.revision = watch->after};
  }
  return KvItems{.revision = store.revision()};
}

}  // namespace burdockrock
