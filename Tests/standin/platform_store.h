// The platform's key-value service and list of instances, without sockets or a
// clock: a fake for tests, with switches for the service's failures.
#ifndef BURDOCKROCK_STANDIN_PLATFORM_STORE_H_
#define BURDOCKROCK_STANDIN_PLATFORM_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model/platform.h"
#include "model/time.h"
#include "standin/call_counter.h"
#include "standin/lagging_instances.h"

namespace burdockrock::standin {

using LeaseId = std::uint64_t;

struct PlatformFaults {
  // No call takes effect; its caller can't know that.
  bool down = false;
  // Every call is refused, and says so.
  bool refuse = false;
  // So many of the next writes take effect but are not answered.
  std::uint32_t lose_answers = 0;
  // Calls over these rates are refused; 0: no limit.
  std::uint32_t max_writes_per_second = 0;
  std::uint32_t max_reads_per_second = 0;

  auto operator<=>(const PlatformFaults&) const = default;
};

// How long the operation waits for news; 0 unless it is a watch.
Duration WaitOf(const PlatformOperation& operation);

struct PlatformStoreOptions {
  Duration instances_lag{0};
  // A watch after a revision older than this many changes gets the whole range.
  std::size_t max_history = 10'000;
};

class PlatformStore {
 public:
  explicit PlatformStore(PlatformStoreOptions options);

  // Carries out one call and counts it. A watch is answered with what changed,
  // or with no items at once; see TryWatch.
  PlatformResult Apply(const PlatformOperation& operation, Time now);

  // As Apply for a put whose key goes when `lease` lapses. KvMissing when there
  // is no such lease.
  PlatformResult PutWithLease(const KvPut& put, LeaseId lease, Time now);

  // The lease's id as revision in KvDone.
  PlatformResult GrantLease(Duration ttl, Time now);
  PlatformResult RenewLease(LeaseId lease, Time now);

  // For a caller that holds a watch which Apply answered with no news: the
  // answer when there is news now, otherwise nothing. Counts no call.
  std::optional<PlatformResult> TryWatch(const PlatformOperation& watch) const;
  // True when `operation`, which Apply answered with `result`, is a watch that
  // has to wait for news.
  bool IsEmptyWatch(const PlatformOperation& operation,
                    const PlatformResult& result) const;
  // The answer to a watch without news.
  PlatformResult EmptyAnswer(const PlatformOperation& watch) const;

  // Lapses leases and shows changes of the list that are due.
  void Advance(Time now);
  Time NextEventTime() const;

  LaggingInstances& instances() { return instances_; }
  const LaggingInstances& instances() const { return instances_; }
  PlatformFaults& faults() { return faults_; }
  const CallCounter& calls() const { return calls_; }
  Revision revision() const { return revision_; }
  std::size_t key_count() const { return entries_.size(); }

 private:
  struct Entry {
    std::string value;
    Revision revision = 0;
    LeaseId lease = 0;  // 0: none
  };
  struct Change {
    Revision revision = 0;
    std::string key;
  };
  struct Lease {
    Duration ttl{0};
    Time expires_at{0};
    std::set<std::string> keys;
  };

  std::optional<PlatformUnavailable> Admit(CallKind kind, Time now);
  PlatformResult AnswerWrite(PlatformResult result);
  PlatformResult Put(const KvPut& put, LeaseId lease);
  PlatformResult Delete(const KvDelete& call);
  PlatformResult Get(const KvGet& call) const;
  KvItems Range(const std::string& prefix) const;
  std::optional<PlatformResult> Changes(const KvWatch& watch) const;
  void Erase(const std::string& key);
  void Record(const std::string& key);
  void DetachLease(const std::string& key, LeaseId lease);

  PlatformStoreOptions options_;
  PlatformFaults faults_;
  CallCounter calls_;
  LaggingInstances instances_;
  std::map<std::string, Entry> entries_;
  std::deque<Change> history_;  // ascending revisions
  std::map<LeaseId, Lease> leases_;
  Revision revision_ = 0;
  Revision compacted_ = 0;  // changes up to here are gone from history_
  LeaseId last_lease_ = 0;
};

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_PLATFORM_STORE_H_
