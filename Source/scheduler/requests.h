// Interactive requests: admission, waiting, dispatch to minions, forwarding to
// peers, answers.
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
  kClaiming,   // its idempotency key is being recorded
  kQueued,     // waits for a slot here
  kRunning,    // dispatched to a minion
  kSettling,   // the minion's answer was lost; not known whether it runs
  kForwarded,  // given to a peer
};

struct RequestEntry {
  Request request;
  ReplyId reply = 0;   // 0 when a peer forwarded it
  std::string origin;  // the peer that forwarded it
  Time arrived{0};
  Time deadline{0};
  RequestState state = RequestState::kQueued;
  bool answered = false;  // at its deadline, while it still ran
  bool dispatched = false;
  bool may_have_run = false;  // an earlier try's answer was lost
  bool forwarded_once = false;
  std::string peer;
  std::string minion;
  AttemptId attempt;
  Time started{0};
  std::uint32_t tries = 0;
  std::uint64_t claim_ticket = 0;
  bool claimed = false;
};

// The waiting requests of one service and how fast they are served.
struct ServiceQueue {
  std::array<FairQueue, kUrgencyCount> classes;
  std::array<std::uint64_t, kUrgencyCount> picks{};
  double mean_run_us = 0;  // moving average; 0 until the first end
  // Requests taken in by class, per microsecond over the last second or so.
  std::array<DecayingRate, kUrgencyCount> taken;
  std::size_t size() const;
};

struct Requests {
  std::unordered_map<std::string, RequestEntry> entries;
  std::map<std::string, ServiceQueue> services;
  // Forwarded requests that were taken, and until when a doubled message of
  // one may still arrive: it must not run again after the first has ended.
  std::map<std::string, Time> taken_forwards;
  double retry_tokens = 10;
  std::uint64_t next_id = 1;
};

void OnForwardAnswer(Context& context,
                     const std::string& from,
                     const ForwardAnswer& answer);
void OnForwardNotReached(Context& context, const ForwardRequest& forward);
void OnCancelForward(Context& context, const CancelForward& cancel);
void OnRequestDeadline(Context& context, const std::string& id);

// Ends a request that was not dispatched or is known not to run.
void RefuseRequest(Context& context, const std::string& id, NotRun not_run);

// Ends a request with any verdict and forgets it. `id` may be the entry's own.
void FinishRequest(Context& context, const std::string& id, Verdict verdict);

// A peer died: requests that it was given may have run.
void FailForwarded(Context& context, const std::string& peer);

// Dispatches waiting requests while there are free slots, and hands others to
// peers with room.
void PumpRequests(Context& context);

// Cancels a waiting or running request; nothing when it is not here.
std::optional<WorkStatus> CancelRequest(Context& context,
                                        const std::string& id);
std::optional<WorkStatus> RequestStatus(Context& context,
                                        const std::string& id);

// The job part of a request's attempts, and back.
std::string RequestAttemptName(const std::string& request);
std::string RequestOfAttempt(const AttemptId& attempt);
bool IsRequestAttempt(const AttemptId& attempt);

// The request of this attempt is still known here.
bool IsOpenRequest(const Context& context, const AttemptId& attempt);

std::size_t ClassOf(const RequestEntry& entry);
ServiceQueue& QueueOf(Context& context, const std::string& service);

// Between retry_after_min and retry_after_max.
Duration RetryAfter(const Context& context, Duration wanted);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_REQUESTS_H_
