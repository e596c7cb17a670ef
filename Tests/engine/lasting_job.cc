#include "engine/lasting_job.h"

#include "engine/members/membership.h"

namespace burdockrock::engine {

std::string JobAdoptedBy(const Fleet& fleet, const std::string& heir) {
  std::string job = "j";
  const std::string& self = fleet.state(heir).options.self.incarnation;
  while (ChooseMember(fleet.state(heir), job, {}) != self) {
    job += "1";
  }
  return job;
}

JobSpec Lasting(std::uint32_t count) {
  JobSpec spec = OneStep(count);
  spec.steps[0].lasting = true;
  return spec;
}

std::string BeginLasting(Fleet& fleet,
                         const std::string& owner,
                         const std::string& heir) {
  fleet.Settle();
  std::string job = JobAdoptedBy(fleet, heir);
  PlanAll(fleet, {.endless = true});
  fleet.Submit(owner, job, Lasting(kLastingTasks));
  fleet.Run(std::chrono::seconds(1));
  fleet.AddWorkers(2);
  PlanAll(fleet, {.endless = true});
  fleet.Run(std::chrono::seconds(1));
  return job;
}

std::set<std::string> RunningTasks(const Fleet& fleet,
                                   const std::string& job,
                                   const std::string& lost_worker) {
  std::set<std::string> tasks;
  for (const SeenRun& it : fleet.seen) {
    const bool runs = it.ended == kForever && it.worker != lost_worker;
    if (runs && it.task.starts_with(job + ".")) {
      tasks.insert(it.task);
    }
  }
  return tasks;
}

}  // namespace burdockrock::engine
