#include "config/policy_fields.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "config/field.h"
#include "model/platform.h"

namespace burdockrock {
namespace {

constexpr double kMinute = 60'000;  // milliseconds
constexpr double kHour = 60 * kMinute;
constexpr double kWeek = 7 * 24 * kHour;
constexpr double kMaxTeams = 1'000;
constexpr double kMaxServices = 1'000;
constexpr double kMaxDomains = 64;
constexpr double kMaxQueue = 10'000'000;

const Fields<LeasePolicy>& LeaseFields() {
  static const Fields<LeasePolicy> kFields = {
      MillisecondsField("task_lease_ms", &LeasePolicy::task_lease, 500, kHour),
      MillisecondsField("renew_ms", &LeasePolicy::renew, 100, kHour / 2),
      MillisecondsField("drift_ms", &LeasePolicy::drift, 0, kMinute),
      MillisecondsField("worker_silent_ms", &LeasePolicy::worker_silent, 200,
                        kHour),
  };
  return kFields;
}

const Fields<MembershipPolicy>& MembershipFields() {
  static const Fields<MembershipPolicy> kFields = {
      MillisecondsField("digest_ms", &MembershipPolicy::digest, 50, kMinute),
      MillisecondsField("peer_silent_ms", &MembershipPolicy::peer_silent, 100,
                        10 * kMinute),
      MillisecondsField("digest_max_age_ms", &MembershipPolicy::digest_max_age,
                        50, 10 * kMinute),
  };
  return kFields;
}

const Fields<AdmissionPolicy>& AdmissionFields() {
  static const Fields<AdmissionPolicy> kFields = {
      IntegerField("max_queue_per_service",
                   &AdmissionPolicy::max_queue_per_service, 1, kMaxQueue),
      IntegerField("max_queue_tasks", &AdmissionPolicy::max_queue_tasks, 1,
                   kMaxQueue),
      MillisecondsField("retry_after_min_ms", &AdmissionPolicy::retry_after_min,
                        1, kHour),
      MillisecondsField("retry_after_max_ms", &AdmissionPolicy::retry_after_max,
                        1, kHour),
      MillisecondsField("default_request_deadline_ms",
                        &AdmissionPolicy::default_request_deadline, 1, kHour),
  };
  return kFields;
}

const Fields<RetryPolicy>& RetryFields() {
  static const Fields<RetryPolicy> kFields = {
      NumberField("budget_ratio", &RetryPolicy::budget_ratio, 0, 1),
      IntegerField("max_attempts", &RetryPolicy::max_attempts, 1, 100),
      MillisecondsField("backoff_min_ms", &RetryPolicy::backoff_min, 1,
                        kMinute),
      MillisecondsField("backoff_max_ms", &RetryPolicy::backoff_max, 1, kHour),
  };
  return kFields;
}

const Fields<UrgencyPolicy>& UrgencyFields() {
  static const Fields<UrgencyPolicy> kFields = {
      NumberField("batch_share", &UrgencyPolicy::batch_share, 0, 0.9),
  };
  return kFields;
}

const Fields<HealthPolicy>& HealthFields() {
  static const Fields<HealthPolicy> kFields = {
      IntegerField("min_distinct_jobs", &HealthPolicy::min_distinct_jobs, 1,
                   100),
      NumberField("failure_ratio", &HealthPolicy::failure_ratio, 0.1, 1),
      MillisecondsField("probe_ms", &HealthPolicy::probe, 100, kHour),
      NumberField("max_quarantined_share", &HealthPolicy::max_quarantined_share,
                  0, 1),
      IntegerField("bad_job_workers", &HealthPolicy::bad_job_workers, 1, 100),
  };
  return kFields;
}

const Fields<GangPolicy>& GangFields() {
  static const Fields<GangPolicy> kFields = {
      MillisecondsField("hold_ms", &GangPolicy::hold, 10, kMinute),
      MillisecondsField("backoff_ms", &GangPolicy::backoff, 10, kMinute),
  };
  return kFields;
}

const Fields<JournalPolicy>& JournalFields() {
  static const Fields<JournalPolicy> kFields = {
      MillisecondsField("commit_ms", &JournalPolicy::commit, 1, kMinute),
      NumberField("writes_per_second", &JournalPolicy::writes_per_second, 0.1,
                  1'000),
      IntegerField("max_batch_bytes", &JournalPolicy::max_batch_bytes, 4'096,
                   static_cast<double>(kMaxPlatformValueBytes)),
      MillisecondsField("claim_retention_ms", &JournalPolicy::claim_retention,
                        kMinute, 5 * kWeek),
  };
  return kFields;
}

const Fields<ForwardingPolicy>& ForwardingFields() {
  static const Fields<ForwardingPolicy> kFields = {
      BooleanField("gate", &ForwardingPolicy::gate),
      BooleanField("one_strike", &ForwardingPolicy::one_strike),
  };
  return kFields;
}

const Fields<Resources>& ResourcesFields() {
  static const Fields<Resources> kFields = {
      IntegerField("processors_milli", &Resources::processors_milli, 0,
                   kMaxAmount),
      IntegerField("memory_mb", &Resources::memory_mb, 0, kMaxAmount),
      IntegerField("accelerators", &Resources::accelerators, 0, kMaxAmount),
      IntegerField("slots", &Resources::slots, 0, kMaxAmount),
  };
  return kFields;
}

const Fields<TeamPolicy>& TeamFields() {
  static const Fields<TeamPolicy> kFields = {
      NumberField("weight", &TeamPolicy::weight, 0.01, 1'000),
      SectionField("quota", &TeamPolicy::quota, ResourcesFields()),
      IntegerField("max_waiting", &TeamPolicy::max_waiting, 0, kMaxQueue),
  };
  return kFields;
}

const Fields<ServicePolicy>& ServiceFields() {
  static const Fields<ServicePolicy> kFields = {
      IntegerField("slots_per_minion", &ServicePolicy::slots_per_minion, 1,
                   10'000),
      IntegerField("connections_per_minion",
                   &ServicePolicy::connections_per_minion, 1, 10'000),
      MillisecondsField("deadline_ms", &ServicePolicy::deadline, 0, kHour),
      ChoiceField("policy", &ServicePolicy::placement, {"spread", "pack"}),
  };
  return kFields;
}

const Fields<Policy>& PolicyFields() {
  static const Fields<Policy> kFields = {
      SectionField("lease", &Policy::lease, LeaseFields()),
      SectionField("membership", &Policy::membership, MembershipFields()),
      SectionField("admission", &Policy::admission, AdmissionFields()),
      SectionField("retries", &Policy::retries, RetryFields()),
      SectionField("urgency", &Policy::urgency, UrgencyFields()),
      SectionField("health", &Policy::health, HealthFields()),
      SectionField("gang", &Policy::gang, GangFields()),
      SectionField("journal", &Policy::journal, JournalFields()),
      SectionField("forwarding", &Policy::forwarding, ForwardingFields()),
      MapField("teams", &Policy::teams, TeamFields(), kMaxTeams),
      TextField("default_team", SettingType::kName, &Policy::default_team),
      MapField("services", &Policy::services, ServiceFields(), kMaxServices),
      NamesField("domains", &Policy::domains, 1, kMaxDomains),
  };
  return kFields;
}

// Two settings of which the first must be below (or at most) the second.
struct OrderRule {
  const char* path;
  Duration lower;
  int factor;
  bool may_be_equal;
  const char* other;
  Duration upper;
};

void CheckOrder(const OrderRule& rule,
                const std::string& file,
                SettingErrors& errors) {
  const Duration scaled = rule.lower * rule.factor;
  if (scaled < rule.upper || (rule.may_be_equal && scaled == rule.upper)) {
    return;
  }
  const std::string bound =
      rule.factor == 1 ? rule.other
                       : fmt::format("{} / {}", rule.other, rule.factor);
  errors.push_back(
      {file, rule.path,
       fmt::format("{} does not go with {} {}", ToMilliseconds(rule.lower),
                   rule.other, ToMilliseconds(rule.upper)),
       fmt::format("{} {}", rule.may_be_equal ? "at most" : "less than",
                   bound)});
}

}  // namespace

const Schema& PolicySchema() {
  static const Schema kSchema = ObjectSchema(PolicyFields());
  return kSchema;
}

Policy ReadPolicy(const Json::Value& json) {
  Policy policy;
  AssignFields(PolicyFields(), json, policy);
  return policy;
}

SettingErrors CheckPolicyRules(const Policy& policy, const std::string& file) {
  SettingErrors errors;
  const OrderRule rules[] = {
      // A single lost renewal would let the leases of running work lapse.
      {"$.lease.renew_ms", policy.lease.renew, 2, false,
       "$.lease.task_lease_ms", policy.lease.task_lease},
      {"$.lease.drift_ms", policy.lease.drift, 1, false,
       "$.lease.task_lease_ms", policy.lease.task_lease},
      // A worker would be taken for silent between two renewals.
      {"$.lease.renew_ms", policy.lease.renew, 1, false,
       "$.lease.worker_silent_ms", policy.lease.worker_silent},
      // One lost digest would count a live peer as dead.
      {"$.membership.digest_ms", policy.membership.digest, 2, true,
       "$.membership.peer_silent_ms", policy.membership.peer_silent},
      {"$.membership.digest_ms", policy.membership.digest, 1, true,
       "$.membership.digest_max_age_ms", policy.membership.digest_max_age},
      {"$.admission.retry_after_min_ms", policy.admission.retry_after_min, 1,
       true, "$.admission.retry_after_max_ms",
       policy.admission.retry_after_max},
      {"$.retries.backoff_min_ms", policy.retries.backoff_min, 1, true,
       "$.retries.backoff_max_ms", policy.retries.backoff_max},
      // A retry could come after its claim was forgotten and run again.
      {"$.admission.default_request_deadline_ms",
       policy.admission.default_request_deadline, 1, true,
       "$.journal.claim_retention_ms", policy.journal.claim_retention},
  };
  for (const OrderRule& rule : rules) {
    CheckOrder(rule, file, errors);
  }
  if (!policy.teams.contains(policy.default_team)) {
    errors.push_back({file, "$.default_team",
                      fmt::format("\"{}\" is no team", policy.default_team),
                      "a member of $.teams"});
  }
  const std::set<std::string> distinct(policy.domains.begin(),
                                       policy.domains.end());
  if (distinct.size() != policy.domains.size()) {
    errors.push_back({file, "$.domains", "names a failure domain twice",
                      "each failure domain once"});
  }
  return errors;
}

}  // namespace burdockrock
