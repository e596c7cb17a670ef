#include "engine/workers/pacing.h"

#include <algorithm>

namespace burdockrock::engine {

namespace {

// A tail latency above this share of its target counts as disturbed. Below 1,
// as the figure is imprecise and a slower pace takes effect with a delay.
constexpr double kDisturbedShare = 0.85;
// Below this share, and kCalmTime after the last change of pace, the filling
// tasks get faster again.
constexpr double kCalmShare = 0.6;
constexpr Duration kCalmTime = milliseconds(1500);
constexpr Duration kPaceSettleTime = milliseconds(600);
constexpr std::uint32_t kFullPace = 100;
constexpr std::uint32_t kPaceStep = 25;

struct Interference {
  bool disturbed = false;
  bool calm = true;
};

Interference InterferenceAt(const OwnedWorker& worker) {
  Interference interference;
  for (const auto& [task, run] : worker.runs) {
    const bool serves = run.spec.lasting && run.spec.tail_target > Duration(0);
    if (!serves || run.phase != RunPhase::kRunning) {
      continue;
    }
    const double share =
        static_cast<double>(run.figure) /
        static_cast<double>(ToMilliseconds(run.spec.tail_target));
    interference.disturbed = interference.disturbed || share > kDisturbedShare;
    interference.calm = interference.calm && share < kCalmShare;
  }
  return interference;
}

void SetPace(Context& context,
             const std::string& id,
             OwnedWorker& worker,
             const std::string& task,
             LocalRun& run,
             std::uint32_t pace) {
  if (run.pace == pace) {
    return;
  }
  context.Log(EventNumber::kPaced, {{"task", task},
                                    {"worker", id},
                                    {"from", std::to_string(run.pace)},
                                    {"to", std::to_string(pace)}});
  run.pace = pace;
  run.pace_changed_at = context.now;
  context.Emit(CallWorker{.worker = id,
                          .address = worker.info.address,
                          .request = PaceRun{.task = task,
                                             .run = run.run,
                                             .percent = pace,
                                             .fence = worker.fence},
                          .timeout = kMaxCommandTimeout});
}

}  // namespace

// Slows down to a quarter at once and then to a pause, and speeds up again in
// steps: a lasting task may exceed its tail target only for a few seconds.
void AdjustPace(Context& context, const std::string& id, OwnedWorker& worker) {
  const Interference interference = InterferenceAt(worker);
  for (auto& [task, run] : worker.runs) {
    if (!run.spec.filling || run.phase != RunPhase::kRunning) {
      continue;
    }
    const bool settled =
        run.pace_changed_at == kForever ||
        HasPassed(context.now, run.pace_changed_at, kPaceSettleTime);
    if (interference.disturbed && settled) {
      SetPace(context, id, worker, task, run,
              run.pace > kPaceStep ? kPaceStep : 0);
    } else if (interference.calm && run.pace < kFullPace &&
               HasPassed(context.now, run.pace_changed_at, kCalmTime)) {
      SetPace(context, id, worker, task, run,
              std::min(run.pace + kPaceStep, kFullPace));
    }
  }
}

}  // namespace burdockrock::engine
