// Gangs of the fleet's workers: their members begin work and end together.
#include <algorithm>
#include <string>

#include "engine/fleet.h"
#include "engine/jobs/job_model.h"

namespace burdockrock::engine {

std::size_t Fleet::GangWidth(const std::string& task) const {
  const auto name = ParseTaskName(task);
  return name ? options_.gang_width(StepName(*name)) : 0;
}

void Fleet::TendGangs() {
  for (const auto& [name, worker] : workers_) {
    worker->Advance(now_);
  }
  for (; gangs_seen_ < seen.size(); ++gangs_seen_) {
    const SeenRun& run = seen[gangs_seen_];
    if (GangWidth(run.task) > 0) {
      gangs_[{StepName(*ParseTaskName(run.task)), run.run}].members.push_back(
          gangs_seen_);
    }
  }
  for (auto& [key, gang] : gangs_) {
    TendGang(key.first, gang);
  }
  At(now_ + kCheckInterval, [this] { TendGangs(); });
}

void Fleet::TendGang(const std::string& step, Gang& gang) {
  const auto at = [this](std::size_t member) -> FakeWorker& {
    const std::string& id = seen[member].worker;
    return *workers_.at(id.substr(0, id.find('-')));
  };
  const auto end_all = [&](RunEnd how) {
    for (const std::size_t it : gang.members) {
      if (seen[it].ended == kForever) {
        at(it).EndRun(now_, seen[it].task, how);
      }
    }
  };
  const std::size_t first =
      *std::min_element(gang.members.begin(), gang.members.end(),
                        [this](std::size_t left, std::size_t right) {
                          return seen[left].ended < seen[right].ended;
                        });
  if (seen[first].ended != kForever) {
    const bool done = seen[first].how == RunEnd::kDone;
    return end_all(done ? RunEnd::kDone : RunEnd::kBroken);
  }
  if (gang.working) {
    return;
  }
  if (gang.members.size() >= options_.gang_width(step)) {
    gang.working = true;
    for (const std::size_t it : gang.members) {
      at(it).BeginWork(now_, seen[it].task);
      ExpectCrash(at(it).info().address);
    }
    return;
  }
  // The others end as broken at the next check.
  for (const std::size_t it : gang.members) {
    if (now_ - seen[it].began >= options_.gang_timeout) {
      at(it).EndRun(now_, seen[it].task, RunEnd::kAlone);
    }
  }
}

}  // namespace burdockrock::engine
