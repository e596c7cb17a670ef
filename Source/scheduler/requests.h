// Interactive requests: admission, queueing, dispatch to minions, forwarding to
// peers, and answers.
#ifndef BURDOCKROCK_SCHEDULER_REQUESTS_H_
#define BURDOCKROCK_SCHEDULER_REQUESTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "model/peer_message.h"
#include "model/verdict.h"
#include "model/work.h"
#include "scheduler/decaying_rate.h"
#include "scheduler/event.h"
#include "scheduler/fair_queue.h"

namespace burdockrock {

class Context;
struct WorkerRecord;
struct Booking;

enum class RequestState {
  kClaiming,    // its idempotency key is being recorded
  kQueued,      // waits for a slot of an owned minion
  kRunning,     // dispatched to a minion
  kUnverified,  // the minion's answer was lost; it may or may not be running
  kForwarded,   // sent to a peer
};

// A request that is known here until it has its verdict.
struct RequestEntry {
  Request request;
  ReplyId reply = 0;   // 0 when a peer forwarded it
  std::string origin;  // the peer that forwarded it
  Time arrived{0};
  Time deadline{0};
  RequestState state = RequestState::kQueued;
  bool answered = false;  // at its deadline, while it was still running
  bool dispatched = false;
  bool may_have_run = false;  // the answer of an earlier attempt was lost
  bool forwarded_once = false;
  std::string peer;
  std::string minion;
  AttemptId attempt;
  Time started{0};
  std::uint32_t tries = 0;
  std::uint32_t lost_runs = 0;  // by a minion that may have crashed under them
  std::uint64_t claim_ticket = 0;
  bool claimed = false;
};

// The queued requests of one service and the rate at which they are served.
struct ServiceQueue {
  std::array<FairQueue, kUrgencyCount> classes;
  std::array<std::uint64_t, kUrgencyCount> picks{};
  double mean_run_us = 0;  // moving average; 0 until a first run has ended
  // Admitted requests per microsecond over about the last second, by class.
  std::array<DecayingRate, kUrgencyCount> admission_rates;
  std::size_t size() const;
};

struct Requests {
  std::unordered_map<std::string, RequestEntry> entries;
  std::map<std::string, ServiceQueue> services;
  // Forwarded requests that were accepted, with the time until which a
  // duplicate of the message may arrive: it must not run the request again
  // after the first run has ended.
  std::map<std::string, Time> accepted_forwards;
  double retry_tokens = 10;
  bool pump_needed = false;  // run PumpRequests at the end of this step
  std::uint64_t next_id = 1;
};

void OnForwardAnswer(Context& context,
                     const std::string& from,
                     const ForwardAnswer& answer);
void OnForwardUndelivered(Context& context, const ForwardRequest& forward);
void OnCancelForward(Context& context, const CancelForward& cancel);
void OnRequestDeadline(Context& context, const std::string& id);

// Finishes a request that was not dispatched or is known not to be running.
void RefuseRequest(Context& context, const std::string& id, NotRun not_run);

// Answers a request with `verdict` and removes it. `id` may refer to the string
// in the entry itself.
void FinishRequest(Context& context, const std::string& id, Verdict verdict);

// A peer is lost: the requests forwarded to it may have run.
void FailForwarded(Context& context, const std::string& peer);

// Dispatches queued requests while there are free slots here, then forwards to
// peers with free slots.
void PumpRequests(Context& context);

// Cancels a queued or running request; nullopt if it is not known here.
std::optional<WorkStatus> CancelRequest(Context& context,
                                        const std::string& id);

// The status of a request; nullopt if it is not known here or was answered.
std::optional<WorkStatus> RequestStatus(Context& context,
                                        const std::string& id);

// The `job` of the AttemptIds of a request, and the reverse mapping.
std::string RequestAttemptName(const std::string& request);
std::string RequestOfAttempt(const AttemptId& attempt);
bool IsRequestAttempt(const AttemptId& attempt);

// Whether `attempt` is the latest attempt of a request known here.
bool IsOpenRequest(const Context& context, const AttemptId& attempt);

std::size_t ClassOf(const RequestEntry& entry);
ServiceQueue& QueueOf(Context& context, const std::string& service);

// `wanted`, clamped to [retry_after_min, retry_after_max] of the policy.
Duration RetryAfter(const Context& context, Duration wanted);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_REQUESTS_H_
