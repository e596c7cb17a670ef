// Between the reducer's commands and the fakes of workers and the platform.
#ifndef BURDOCKROCK_TESTS_SCHEDULER_STANDIN_EDGE_H_
#define BURDOCKROCK_TESTS_SCHEDULER_STANDIN_EDGE_H_

#include <optional>

#include "model/platform.h"
#include "model/worker_message.h"
#include "standin/platform_store.h"
#include "standin/worker_model.h"

namespace burdockrock {

standin::StartCommand ToStandin(const RunCommand& run);
standin::RenewCommand ToStandin(const RenewCommand& renew);

// Nothing when the fake did not answer.
std::optional<WorkerResult> FromStandin(const standin::RunAnswer& answer);
std::optional<WorkerResult> FromStandin(const standin::RenewAnswer& answer);

// Claims, starts and stops.
std::optional<WorkerResult> ApplyToModel(standin::WorkerModel& model,
                                         const WorkerCommand& command,
                                         Time now);

// True when the operation is a watch that has to wait for news.
bool IsEmptyWatch(const PlatformOperation& operation,
                  const PlatformResult& result);
Duration WaitOf(const PlatformOperation& operation);
std::optional<PlatformResult> TryWatch(const standin::PlatformStore& store,
                                       const PlatformOperation& operation);
PlatformResult EmptyAnswer(const standin::PlatformStore& store,
                           const PlatformOperation& operation);

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_SCHEDULER_STANDIN_EDGE_H_
