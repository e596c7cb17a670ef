// Carries out the control commands of the stand-in program.
#ifndef BURDOCKROCK_STANDIN_STANDIN_CONTROL_H_
#define BURDOCKROCK_STANDIN_STANDIN_CONTROL_H_

#include <string>

#include <json/value.h>

#include "net/http_message.h"
#include "standin/standin_cluster.h"
#include "standin/steps_cluster.h"

namespace burdockrock::standin {

// GET /control answers with all counters; GET /control?key=K with how often
// the work with the key or payload K was executed.
//
// POST /control sets faults of one target:
//   {"target": "platform", "set": {"down": bool, "refuse": bool,
//     "lose_answers": N, "garbage_answers": N, "slow_ms": N, "lag_ms": N,
//     "max_writes_per_second": N, "max_reads_per_second": N,
//     "cut_listeners": ["IP:PORT"]}}
//   {"target": INSTANCE, "set": {"black_hole": bool, "paused": bool,
//     "lose_answers": N, "garbage_answers": N, "slow_ms": N,
//     "speed_percent": N, "usage_percent": N, "leaving": bool, "gone": bool,
//     "crash": bool, "forget_epoch": bool}}
//   {"cut": {"from_owner": ENTRY, "target": INSTANCE, "cut": bool}}
//   {"steps": {"down": bool, "refuse": bool, "lose_answers": N}} for the store
//   of jobs of steps, or with "worker": ID and "silent", "draining", "gone",
//   "still_ms" for one of their workers
// GET /control/steps answers with the counters of jobs of steps.
// A platform that is down takes no call and never answers; one that refuses
// answers 429. Faults that are not named stay as they are. `forget_epoch` goes
// with `crash`. Of entry instances only "leaving" and "gone" can be set.
class StandinControl {
 public:
  // Both must outlive the control. Without `steps` there are no jobs of steps.
  StandinControl(StandinCluster& cluster, StepsCluster* steps)
      : cluster_(cluster), steps_(steps) {}

  HttpResponse Handle(const HttpRequest& request);

 private:
  // Each gives what is wrong, or nothing.
  std::string Change(const Json::Value& body);
  std::string SetPlatform(const Json::Value& set);
  std::string SetInstance(const std::string& id, const Json::Value& set);
  std::string Cut(const Json::Value& cut);
  std::string SetSteps(const Json::Value& set);

  Json::Value Counters() const;
  Json::Value PlatformCounters() const;

  StandinCluster& cluster_;
  StepsCluster* steps_;
};

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_STANDIN_CONTROL_H_
