#include "scheduler/worker_restarts.h"

#include <variant>

#include "model/worker_incarnation.h"
#include "scheduler/context.h"
#include "scheduler/worker_answers.h"

namespace burdockrock {

namespace {

std::int64_t BornIn(const WorkerResult& result) {
  return std::visit(
      [](const auto& it) -> std::int64_t {
        if constexpr (requires { it.born; }) {
          return it.born;
        } else {
          return 0;
        }
      },
      result);
}

// Ends what the process before had, and forgets what it told of itself.
void OnRestarted(Context& context, WorkerRecord& worker, std::int64_t born) {
  context.Log(EventNumber::kWorkerRestarted,
              {{"worker", IncarnationName(worker.info.id, worker.born)},
               {"next", IncarnationName(worker.info.id, born)}});
  // A poll of the process before doesn't keep the present one from its own.
  worker.poll = 0;
  worker.version = 0;
  worker.usage = {};
  worker.acknowledge.clear();
  worker.go.clear();
  // Closed until it is claimed again: what is retried must not go there.
  worker.reclaiming = worker.index.has_value();
  UpdateOpen(context, worker);
  EndAllAttempts(context, worker, true);
  worker.info.leaving = false;
  worker.born = born;
}

}  // namespace

Teller NoteProcess(Context& context,
                   WorkerRecord& worker,
                   const WorkerPurpose& purpose,
                   const WorkerResult& result) {
  const std::int64_t born = BornIn(result);
  const bool is_new = born != 0 && born != worker.born && born != purpose.born;
  if (is_new && worker.born == 0) {
    worker.born = born;
  } else if (is_new) {
    OnRestarted(context, worker, born);
    if (!std::holds_alternative<ClaimPurpose>(purpose.body)) {
      Reclaim(context, worker);
    }
  }
  const bool is_told = purpose.born != 0 && worker.born != 0;
  return is_told && purpose.born != worker.born ? Teller::kOther
                                                : Teller::kPresent;
}

void OnOtherProcess(Context& context,
                    WorkerRecord& worker,
                    const WorkerPurpose& purpose,
                    const WorkerResult& result) {
  if (std::holds_alternative<ClaimPurpose>(purpose.body)) {
    OnClaimOfOtherProcess(context, worker, result);
  }
}

void OnProcessListed(Context& context,
                     WorkerRecord& worker,
                     std::int64_t born) {
  if (worker.born == 0) {
    worker.born = born;
    return;
  }
  OnRestarted(context, worker, born);
}

}  // namespace burdockrock
