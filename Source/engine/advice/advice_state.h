// State of the calls to the advice service: those that this instance makes, and
// its queries to the members that make them.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVICE_STATE_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVICE_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "engine/advice/advice_reason.h"
#include "engine/advice/advice_rule.h"
#include "engine/jobs/job_model.h"
#include "engine/members/peer_message.h"
#include "model/time.h"

namespace burdockrock::engine {

// A pending advice query for a step of an owned job.
struct AdviceQuery {
  TaskName step{};       // the index is ignored
  std::string member{};  // makes the call to the service
  std::vector<std::string> workers{};
  std::uint32_t priority = 0;
  AdviceReason reason = AdviceReason::kFirst;
  double starts = 0;  // expected, in the room at the workers without a ticket
  Duration expected{0};
  Time sent_at{0};
  Time due{0};  // when the reply is expected
  Time deadline{0};
};

// A queued call to the advice service on behalf of a member or this instance.
struct QueuedAdviceCall {
  std::string from{};
  PeerAdviceRequest request{};
  Time received_at{0};
};

// What is known of the advice calls that a member makes.
struct AdviceCaller {
  // Queueing times as it reports them; longer after a query without a reply.
  Duration wait{0};
  Duration urgent_wait{0};
  Time reported_at = Time::min();  // last report
  bool unresponsive = false;  // a reply is overdue, and no message came since
};

// A member's place in the order that decides which calls it makes.
struct AdviceCallerPlace {
  std::uint64_t rank = 0;
  std::string member{};
  std::uint64_t chance =
      0;  // decides between equal waits, with a random number
  const AdviceCaller* caller = nullptr;  // in AdviceState::callers
};

struct AdviceCallerOrder {
  std::uint64_t version = 0;  // MembersState::version of the order
  std::vector<AdviceCallerPlace> places{};
};

struct AdviceState {
  std::uint64_t last_call = 0;
  std::map<std::uint64_t, AdviceQuery> queries{};
  std::deque<QueuedAdviceCall> call_queue{};
  std::optional<QueuedAdviceCall> in_flight{};
  Time called_at{0};  // start of the call in flight
  // Calls that were answered lately, by the sender and its number of the call.
  std::map<std::pair<std::string, std::uint64_t>, Time> answered{};
  Time retry_at{0};
  Time reserved_at = Time::min();  // last look for room to reserve
  Duration overrun{0};  // how far recent calls exceeded their expected time
  Time overrun_at{0};
  std::unordered_map<std::string, AdviceCaller> callers{};  // by incarnation
  AdviceCallerOrder order{};
  std::map<std::string, AllowedShare> shares{};  // by queue
  std::map<std::string, LeftShare> left{};       // by queue
  // Time in which this instance made no call while own steps waited for one.
  Duration idle_beside_line{0};
  Time line_checked_at = kForever;  // since when steps wait; kForever: none do
  // Steps in the line at the last check, and the longest time since one of them
  // sent a request or could run.
  std::size_t line_steps = 0;
  Duration line_longest{0};
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVICE_STATE_H_
