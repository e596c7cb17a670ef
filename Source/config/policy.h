// The cluster policy in force at a site, as plain values. What may be set and
// in which ranges is in policy_fields.cc and docs/settings.md.
#ifndef BURDOCKROCK_CONFIG_POLICY_H_
#define BURDOCKROCK_CONFIG_POLICY_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/resources.h"
#include "model/time.h"

namespace burdockrock {

// Leases of attempts on workers.
struct LeasePolicy {
  Duration task_lease = std::chrono::milliseconds(15'000);
  Duration renew = std::chrono::milliseconds(5'000);
  // What two monotonic clocks may differ by over one lease.
  Duration drift = std::chrono::milliseconds(500);
  // A worker that has not answered for so long gets no new work.
  Duration worker_silent = std::chrono::milliseconds(12'000);

  auto operator<=>(const LeasePolicy&) const = default;
};

// Digests between entry instances.
struct MembershipPolicy {
  Duration digest = std::chrono::milliseconds(500);
  // A peer that sent nothing for so long counts as dead.
  Duration peer_silent = std::chrono::milliseconds(2'000);
  // An older digest is not used to forward by.
  Duration digest_max_age = std::chrono::milliseconds(1'500);

  auto operator<=>(const MembershipPolicy&) const = default;
};

// Bounds of the queues of one entry instance.
struct AdmissionPolicy {
  std::int64_t max_queue_per_service = 2'000;  // requests
  std::int64_t max_queue_tasks = 200'000;      // of all jobs
  Duration retry_after_min = std::chrono::milliseconds(200);
  Duration retry_after_max = std::chrono::milliseconds(30'000);
  Duration default_request_deadline = std::chrono::milliseconds(10'000);

  auto operator<=>(const AdmissionPolicy&) const = default;
};

struct RetryPolicy {
  double budget_ratio = 0.1;  // retries for each success
  std::int64_t max_attempts = 5;
  Duration backoff_min = std::chrono::milliseconds(50);
  Duration backoff_max = std::chrono::milliseconds(5'000);

  auto operator<=>(const RetryPolicy&) const = default;
};

struct UrgencyPolicy {
  // The least share of starts kept for lower classes under urgent load.
  double batch_share = 0.1;

  auto operator<=>(const UrgencyPolicy&) const = default;
};

// Judgement of workers by jobs and of jobs by workers.
struct HealthPolicy {
  std::int64_t min_distinct_jobs = 3;
  double failure_ratio = 0.8;
  Duration probe = std::chrono::milliseconds(10'000);
  double max_quarantined_share = 0.2;  // of a domain's workers
  std::int64_t bad_job_workers = 3;

  auto operator<=>(const HealthPolicy&) const = default;
};

struct GangPolicy {
  // The longest that a gang in assembly holds room.
  Duration hold = std::chrono::milliseconds(2'000);
  Duration backoff = std::chrono::milliseconds(500);

  auto operator<=>(const GangPolicy&) const = default;
};

// One entry instance's record of durable work in the platform.
struct JournalPolicy {
  Duration commit = std::chrono::milliseconds(50);
  double writes_per_second = 8.0;
  std::int64_t max_batch_bytes = 262'144;
  // How long an idempotency key is remembered.
  Duration claim_retention = std::chrono::milliseconds(86'400'000);

  auto operator<=>(const JournalPolicy&) const = default;
};

// Choice of the peer that a request is forwarded to.
struct ForwardingPolicy {
  bool gate = true;        // old digests are not used
  bool one_strike = true;  // a refusal is remembered until asked directly

  auto operator<=>(const ForwardingPolicy&) const = default;
};

struct TeamPolicy {
  double weight = 1.0;           // share against the other teams'
  Resources quota;               // in use at once; 0 in a dimension: no bound
  std::int64_t max_waiting = 0;  // requests and tasks queued; 0: no bound

  auto operator<=>(const TeamPolicy&) const = default;
};

enum class ServicePlacement { kSpread, kPack };

// A service's minions.
struct ServicePolicy {
  std::int64_t slots_per_minion = 8;
  std::int64_t connections_per_minion = 64;
  Duration deadline{0};  // 0: admission.default_request_deadline
  ServicePlacement placement = ServicePlacement::kSpread;

  auto operator<=>(const ServicePolicy&) const = default;
};

struct Policy {
  LeasePolicy lease;
  MembershipPolicy membership;
  AdmissionPolicy admission;
  RetryPolicy retries;
  UrgencyPolicy urgency;
  HealthPolicy health;
  GangPolicy gang;
  JournalPolicy journal;
  ForwardingPolicy forwarding;
  std::map<std::string, TeamPolicy> teams = {{"default", {}}};
  std::string default_team = "default";  // of callers that name no team
  std::map<std::string, ServicePolicy> services;
  std::vector<std::string> domains;  // the site's failure domains

  auto operator<=>(const Policy&) const = default;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_CONFIG_POLICY_H_
