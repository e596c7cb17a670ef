// The platform's list of instances, in which each change becomes visible only
// some time after it was made.
#ifndef BURDOCKROCK_STANDIN_LAGGING_INSTANCES_H_
#define BURDOCKROCK_STANDIN_LAGGING_INSTANCES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/platform.h"
#include "model/time.h"
#include "model/work.h"

namespace burdockrock::standin {

class LaggingInstances {
 public:
  explicit LaggingInstances(Duration lag) : lag_(lag) {}

  void set_lag(Duration lag) { lag_ = lag; }

  // Replaces the whole list at once, without the lag: the state at the start.
  void Set(const std::vector<InstanceInfo>& instances);

  void Upsert(const InstanceInfo& instance, Time now);
  void MarkLeaving(const std::string& id, bool leaving, Time now);
  void SetCapacity(const std::string& id, const Resources& capacity, Time now);
  void Remove(const std::string& id, Time now);

  // Makes visible what is due. True when the visible list changed.
  bool Advance(Time now);
  Time NextEventTime() const;

  // What a caller sees now.
  InstanceList Visible() const;
  Revision revision() const { return revision_; }

 private:
  struct Change {
    std::string id;
    std::optional<InstanceInfo> instance;  // absent: removed
  };

  Duration lag_;
  std::map<std::string, InstanceInfo> actual_;
  std::map<std::string, InstanceInfo> visible_;
  std::multimap<Time, Change> pending_;
  // Starts at 1, so that a watch after 0 is answered at once.
  Revision revision_ = 1;
};

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_LAGGING_INSTANCES_H_
