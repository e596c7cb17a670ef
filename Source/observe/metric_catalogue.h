// The metrics that the process serves, by name. docs/metrics.md is their
// catalogue for operators.
#ifndef BURDOCKROCK_OBSERVE_METRIC_CATALOGUE_H_
#define BURDOCKROCK_OBSERVE_METRIC_CATALOGUE_H_

#include <array>
#include <string_view>

namespace burdockrock {

enum class MetricKind { kCounter, kGauge, kSummary };

// What the catalogue says of one metric.
struct MetricInfo {
  std::string_view name;
  MetricKind kind;
  std::string_view label;  // the one label's name; empty: no label
  std::string_view help;   // one line, with the unit
};

inline constexpr std::string_view kWaitingSeconds =
    "burdockrock_waiting_seconds";
inline constexpr std::string_view kPackedRatio = "burdockrock_packed_ratio";
inline constexpr std::string_view kPlatformCallsTotal =
    "burdockrock_platform_calls_total";
inline constexpr std::string_view kControlBytesTotal =
    "burdockrock_control_bytes_total";
inline constexpr std::string_view kControlMessagesTotal =
    "burdockrock_control_messages_total";
inline constexpr std::string_view kPeerSentMessagesTotal =
    "burdockrock_peer_sent_messages_total";
inline constexpr std::string_view kPeerSentBytesTotal =
    "burdockrock_peer_sent_bytes_total";
inline constexpr std::string_view kPeerReceivedMessagesTotal =
    "burdockrock_peer_received_messages_total";
inline constexpr std::string_view kPeerFailedBatchesTotal =
    "burdockrock_peer_failed_batches_total";
inline constexpr std::string_view kPeerResentMessagesTotal =
    "burdockrock_peer_resent_messages_total";
inline constexpr std::string_view kPeerDroppedMessagesTotal =
    "burdockrock_peer_dropped_messages_total";
inline constexpr std::string_view kPeerReplacedMessagesTotal =
    "burdockrock_peer_replaced_messages_total";
inline constexpr std::string_view kPeersProbed = "burdockrock_peers_probed";
inline constexpr std::string_view kStartsTotal = "burdockrock_starts_total";
inline constexpr std::string_view kHoldsTotal = "burdockrock_holds_total";
inline constexpr std::string_view kOffersTotal = "burdockrock_offers_total";
inline constexpr std::string_view kOffersRefusedTotal =
    "burdockrock_offers_refused_total";
inline constexpr std::string_view kSubmissionsTotal =
    "burdockrock_submissions_total";
inline constexpr std::string_view kJobsAcceptedTotal =
    "burdockrock_jobs_accepted_total";
inline constexpr std::string_view kJobsRefusedTotal =
    "burdockrock_jobs_refused_total";
inline constexpr std::string_view kKeysRefusedTotal =
    "burdockrock_keys_refused_total";
inline constexpr std::string_view kTeamCharge =
    "burdockrock_team_processors_milli";
inline constexpr std::string_view kTeamHeld =
    "burdockrock_team_held_processors_milli";
inline constexpr std::string_view kTeamBlocked =
    "burdockrock_team_blocked_processors_milli";
inline constexpr std::string_view kTeamUnappliedGrants =
    "burdockrock_team_unapplied_grants";
inline constexpr std::string_view kGrantsRefusedTotal =
    "burdockrock_grants_refused_total";
inline constexpr std::string_view kTeamExcessTotal =
    "burdockrock_team_excess_jobs_total";
inline constexpr std::string_view kTeamRefusedTotal =
    "burdockrock_team_refused_jobs_total";
inline constexpr std::string_view kJobsCompletedTotal =
    "burdockrock_jobs_completed_total";
inline constexpr std::string_view kJobsFailedTotal =
    "burdockrock_jobs_failed_total";
inline constexpr std::string_view kJobsAdoptedTotal =
    "burdockrock_jobs_adopted_total";
inline constexpr std::string_view kRunsLostTotal =
    "burdockrock_runs_lost_total";
inline constexpr std::string_view kTaskCrashesTotal =
    "burdockrock_task_crashes_total";
inline constexpr std::string_view kIsolatedRuns = "burdockrock_isolated_runs";
inline constexpr std::string_view kWaitingSteps = "burdockrock_waiting_steps";
inline constexpr std::string_view kLongestWaitSeconds =
    "burdockrock_longest_wait_seconds";
inline constexpr std::string_view kClosedWorkers = "burdockrock_closed_workers";
inline constexpr std::string_view kAnswersTotal = "burdockrock_answers_total";
inline constexpr std::string_view kQueueLength = "burdockrock_queue_length";
inline constexpr std::string_view kOwnedWorkers = "burdockrock_owned_workers";
inline constexpr std::string_view kStepSeconds = "burdockrock_step_seconds";
inline constexpr std::string_view kRecoveringJobs =
    "burdockrock_recovering_jobs";
inline constexpr std::string_view kOldestRecoverySeconds =
    "burdockrock_oldest_recovery_seconds";
inline constexpr std::string_view kOpenClaims = "burdockrock_open_claims";
inline constexpr std::string_view kWritesRejectedTotal =
    "burdockrock_store_writes_rejected_total";
inline constexpr std::string_view kRecordsShortenedTotal =
    "burdockrock_records_shortened_total";
inline constexpr std::string_view kUnreadRuns = "burdockrock_unread_runs";
inline constexpr std::string_view kOldestUnreadRunSeconds =
    "burdockrock_oldest_unread_run_seconds";
inline constexpr std::string_view kOpenStops = "burdockrock_open_stops";
inline constexpr std::string_view kOldestStopSeconds =
    "burdockrock_oldest_stop_seconds";
inline constexpr std::string_view kEventQueueSeconds =
    "burdockrock_event_queue_seconds";
inline constexpr std::string_view kTimerLateSeconds =
    "burdockrock_timer_late_seconds";
inline constexpr std::string_view kStartSeconds = "burdockrock_start_seconds";
inline constexpr std::string_view kCancelSeconds = "burdockrock_cancel_seconds";
inline constexpr std::string_view kAdviceCallsTotal =
    "burdockrock_advice_calls_total";
inline constexpr std::string_view kAdviceNamesTotal =
    "burdockrock_advice_names_total";
inline constexpr std::string_view kAdviceSecondsTotal =
    "burdockrock_advice_seconds_total";
inline constexpr std::string_view kAdviceStartsTotal =
    "burdockrock_advice_starts_total";
inline constexpr std::string_view kAdviceRoomGoneTotal =
    "burdockrock_advice_room_gone_total";
inline constexpr std::string_view kAdviceLineSteps =
    "burdockrock_advice_line_steps";
inline constexpr std::string_view kAdviceLineSeconds =
    "burdockrock_advice_line_seconds";
inline constexpr std::string_view kAdviceIdleSecondsTotal =
    "burdockrock_advice_idle_seconds_total";
inline constexpr std::string_view kResidentBytes = "burdockrock_resident_bytes";
inline constexpr std::string_view kProcessorSecondsTotal =
    "burdockrock_processor_seconds_total";

inline constexpr auto kAllMetrics = std::to_array<MetricInfo>({
    {kWaitingSeconds, MetricKind::kSummary, "urgency",
     "Time from a request's arrival to its running task, in seconds"},
    {kPackedRatio, MetricKind::kGauge, "dimension",
     "Share of the owned workers' capacity that is granted, 0 to 1"},
    {kPlatformCallsTotal, MetricKind::kCounter, "",
     "Calls to the platform's service, a waiting watch as one"},
    {kControlBytesTotal, MetricKind::kCounter, "edge",
     "Bytes sent and received for control, payloads and answers left out"},
    {kControlMessagesTotal, MetricKind::kCounter, "edge",
     "Messages sent and received for control"},
    {kPeerSentMessagesTotal, MetricKind::kCounter, "kind",
     "Messages sent to other entry instances about jobs of steps"},
    {kPeerSentBytesTotal, MetricKind::kCounter, "kind",
     "Bytes of these messages, without HTTP's headers"},
    {kPeerReceivedMessagesTotal, MetricKind::kCounter, "kind",
     "Messages of other entry instances about jobs of steps"},
    {kPeerFailedBatchesTotal, MetricKind::kCounter, "cause",
     "Failed requests with such messages: not_connected, broken, no_answer or "
     "refused"},
    {kPeerResentMessagesTotal, MetricKind::kCounter, "kind",
     "Such messages that were sent again after a failed request"},
    {kPeerDroppedMessagesTotal, MetricKind::kCounter, "kind",
     "Such messages that were given up undelivered"},
    {kPeerReplacedMessagesTotal, MetricKind::kCounter, "kind",
     "Such messages that were not sent, as a later one says all that they did"},
    {kPeersProbed, MetricKind::kGauge, "",
     "Other entry instances that left their last requests without an answer "
     "and "
     "get no messages before they answer one without any"},
    {kStartsTotal, MetricKind::kCounter, "",
     "Attempts started on workers and minions"},
    {kHoldsTotal, MetricKind::kCounter, "",
     "Looks at own workers, each also renews their leases"},
    {kOffersTotal, MetricKind::kCounter, "",
     "Tasks offered to the owners of workers"},
    {kOffersRefusedTotal, MetricKind::kCounter, "",
     "Offered tasks that the owner of the worker refused"},
    {kSubmissionsTotal, MetricKind::kCounter, "",
     "Jobs that callers handed in, repetitions counted"},
    {kJobsAcceptedTotal, MetricKind::kCounter, "", "Jobs that the store took"},
    {kJobsRefusedTotal, MetricKind::kCounter, "",
     "Requests of callers that were refused"},
    {kKeysRefusedTotal, MetricKind::kCounter, "",
     "Of these, requests whose key is missing or not known"},
    {kJobsCompletedTotal, MetricKind::kCounter, "", "Own jobs that completed"},
    {kJobsFailedTotal, MetricKind::kCounter, "", "Own jobs that failed"},
    {kJobsAdoptedTotal, MetricKind::kCounter, "",
     "Jobs taken over from owners that are gone"},
    {kRunsLostTotal, MetricKind::kCounter, "",
     "Runs that were lost with their worker or lease"},
    {kTaskCrashesTotal, MetricKind::kCounter, "",
     "Crashes of workers counted against the tasks that ran there"},
    {kIsolatedRuns, MetricKind::kGauge, "",
     "Runs that have an owned worker to themselves after such crashes"},
    {kWaitingSteps, MetricKind::kGauge, "",
     "Steps of own jobs whose turn has come and that have waiting tasks"},
    {kLongestWaitSeconds, MetricKind::kGauge, "",
     "How long the longest waiting of these tasks has waited, in seconds"},
    {kTeamCharge, MetricKind::kGauge, "team",
     "What runs of own jobs of the team take, in thousandths of a processor"},
    {kTeamHeld, MetricKind::kGauge, "team",
     "What this instance holds of the team's cap for them, in thousandths of a "
     "processor"},
    {kTeamBlocked, MetricKind::kGauge, "team",
     "What runs of former members may take of the team's cap, in thousandths "
     "of a processor; 0 at instances that do not account for it"},
    {kTeamUnappliedGrants, MetricKind::kGauge, "team",
     "Members that do not apply what they are granted of the team's cap; 0 at "
     "instances that do not account for it"},
    {kGrantsRefusedTotal, MetricKind::kCounter, "",
     "Grants of teams' caps that this instance has not applied, as they are "
     "outdated or of another registration or accountant"},
    {kTeamExcessTotal, MetricKind::kCounter, "team",
     "Jobs accepted here beyond the team's entitlement"},
    {kTeamRefusedTotal, MetricKind::kCounter, "team",
     "Submissions refused here for the team's work that waits"},
    {kClosedWorkers, MetricKind::kGauge, "cause",
     "Owned workers that accept no new tasks for now"},
    {kAnswersTotal, MetricKind::kCounter, "verdict",
     "Answers given to callers"},
    {kQueueLength, MetricKind::kGauge, "urgency",
     "Requests and tasks that wait for room"},
    {kOwnedWorkers, MetricKind::kGauge, "", "Workers that this process owns"},
    {kStepSeconds, MetricKind::kSummary, "",
     "Time that one step of the reducer took, in seconds"},
    {kRecoveringJobs, MetricKind::kGauge, "",
     "Adopted jobs of which is not known yet what runs"},
    {kOldestRecoverySeconds, MetricKind::kGauge, "",
     "Since when the oldest of these was adopted, in seconds"},
    {kOpenClaims, MetricKind::kGauge, "",
     "Workers that have not answered a claim"},
    {kWritesRejectedTotal, MetricKind::kCounter, "",
     "Writes that the store does not accept, or that exceed its bounds"},
    {kRecordsShortenedTotal, MetricKind::kCounter, "",
     "Records of jobs stored without lists of runs, as they were too large"},
    {kUnreadRuns, MetricKind::kGauge, "",
     "Runs that have ended and whose ends the workers do not list yet"},
    {kOldestUnreadRunSeconds, MetricKind::kGauge, "",
     "Since when the oldest of these has not been listed, in seconds"},
    {kOpenStops, MetricKind::kGauge, "side",
     "Runs that were ordered to stop and have not ended as far as is known"},
    {kOldestStopSeconds, MetricKind::kGauge, "side",
     "Since when the oldest of these was ordered, in seconds"},
    {kEventQueueSeconds, MetricKind::kSummary, "",
     "Time from the arrival of an event in the process to its step, in "
     "seconds"},
    {kTimerLateSeconds, MetricKind::kSummary, "",
     "Time by which a timer came up late, as the thread or the processor was "
     "busy, in seconds"},
    {kStartSeconds, MetricKind::kSummary, "",
     "Time from the offer of a task to its start, in seconds"},
    {kCancelSeconds, MetricKind::kSummary, "",
     "Time from a cancel's acknowledgement until nothing of the job ran, in "
     "seconds"},
    {kAdviceCallsTotal, MetricKind::kCounter, "reason",
     "Calls for advice on own steps that were answered"},
    {kAdviceNamesTotal, MetricKind::kCounter, "reason",
     "Workers named in these calls"},
    {kAdviceSecondsTotal, MetricKind::kCounter, "reason",
     "Time that these calls take the service, in seconds"},
    {kAdviceStartsTotal, MetricKind::kCounter, "reason",
     "Tasks offered with the tickets of these calls"},
    {kAdviceRoomGoneTotal, MetricKind::kCounter, "reason",
     "Calls after which tasks waited and no worker with a ticket had room"},
    {kAdviceLineSteps, MetricKind::kGauge, "",
     "Own steps that wait to send a request for advice"},
    {kAdviceLineSeconds, MetricKind::kGauge, "",
     "Longest time since one of these steps sent its last request or could "
     "run, in seconds"},
    {kAdviceIdleSecondsTotal, MetricKind::kCounter, "",
     "Time without a call by this process while own steps waited for one, in "
     "seconds"},
    {kResidentBytes, MetricKind::kGauge, "",
     "Resident memory of this process, in bytes"},
    {kProcessorSecondsTotal, MetricKind::kCounter, "",
     "Processor time that this process has used, in seconds"},
});

// Nothing is known of `name`: nullptr.
const MetricInfo* FindMetric(std::string_view name);

// The kind's name in the text exposition format: "counter".
const char* MetricKindName(MetricKind kind);

}  // namespace burdockrock

#endif  // BURDOCKROCK_OBSERVE_METRIC_CATALOGUE_H_
