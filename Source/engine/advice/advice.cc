#include "engine/advice/advice.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "engine/advice/advice_callers.h"
#include "engine/advice/advised_names.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/placing.h"
#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// By the length of a usual call a step is asked for ahead of its turn. Tickets
// for the largest calls would lapse before their use.
constexpr std::size_t kUsualNames = 30;
// An answer that does not come this long after it was due is asked for again. A
// long call keeps its place in the member's order for longer.
constexpr Duration kReplySlack = milliseconds(1500);
constexpr Duration kLongReplySlack = milliseconds(4000);
// A step's tickets are asked for this long before its turn, beside the time
// that the call takes.
constexpr Duration kAhead = milliseconds(400);
// A step that may take this much longer than its estimate waits for its turn:
// tickets that are asked for ahead of long steps lapse before their use.
constexpr Duration kEnoughSlack = milliseconds(2500);
// Between two questions about one step, beside the time of a decision.
constexpr Duration kWiden = milliseconds(150);

// A member whose wait has grown since its last report declines, and the
// question goes to another one at once. After so many in a row all are busy.
constexpr std::uint32_t kMostDeclines = 3;

bool HasEnough(const Context& context, const ReadyStep& ready) {
  return CountTicketed(context, ready) >=
         static_cast<std::int64_t>(CountWaiting(ready.run()));
}

bool HasValidTicket(const Context& context, const StepRun& step) {
  return std::any_of(
      step.tickets.begin(), step.tickets.end(),
      [&](const auto& it) { return IsValid(context, it.second); });
}

bool NeedsAdvice(const Context& context, const ReadyStep& ready) {
  const StepRun& step = ready.run();
  if (!ready.queue->advice || step.asking || CountWaiting(step) == 0) {
    return false;
  }
  if (!ready.ready && HasValidTicket(context, step)) {
    return false;
  }
  return HasPassed(context.now, step.asked_at,
                   kWiden + ready.queue->advice->decision) &&
         !HasEnough(context, ready);
}

AdviceReason ReasonOf(const Context& context, const ReadyStep& ready) {
  const StepRun& step = ready.run();
  if (step.unanswered) {
    return AdviceReason::kRepeated;
  }
  if (step.advised_at == kForever) {
    return ready.job->generation > 1 ? AdviceReason::kAdopted
                                     : AdviceReason::kFirst;
  }
  return HasValidTicket(context, step) ? AdviceReason::kWider
                                       : AdviceReason::kLapsed;
}

Duration ExpectedTime(const AdvicePolicy& policy, std::size_t workers) {
  return policy.decision + policy.each * static_cast<std::int64_t>(workers);
}

// How much longer the step may take than it is estimated to.
Duration SlackOf(const QueuePolicy& queue, const StepSpec& step) {
  const auto slack =
      (queue.stretch - 1) * static_cast<double>(step.estimate.count());
  return Duration(static_cast<Duration::rep>(std::max(slack, 0.0)));
}

std::optional<Duration> LeadOf(const QueuePolicy& queue, const StepSpec& step) {
  if (!queue.advice || SlackOf(queue, step) >= kEnoughSlack) {
    return std::nullopt;
  }
  return kAhead + ExpectedTime(*queue.advice, kUsualNames);
}

void AskFor(Context& context,
            const ReadyStep& ready,
            std::vector<std::string> workers) {
  AdviceState& advice = context.state.advice;
  const Duration expected = ExpectedTime(*ready.queue->advice, workers.size());
  // After a question without an answer only members that were heard since then
  // are asked: all of a domain are cut off at once.
  const Time heard_since =
      ready.run().unanswered ? ready.run().called_at : Time::min();
  const std::string member =
      ChooseCaller(context, ready.queue->priority, expected, heard_since);
  const Duration wait = WaitAt(context, member, ready.queue->priority);
  const Duration patience =
      wait + expected + (IsLongCall(expected) ? kLongReplySlack : kReplySlack);
  const bool may_decline =
      member != context.self() && ready.run().declines < kMostDeclines;
  const std::uint64_t call = ++advice.last_call;
  ready.run().asked_at = context.now;
  ready.run().called_at = context.now;
  ready.run().asking = true;
  const TaskName step{
      .job = ready.job->id, .occurrence = ready.occurrence, .step = ready.step};
  Send(context, member,
       AdviceAsk{
           .call = call,
           .step = StepName(step),
           .priority = ready.queue->priority,
           .lasting = ready.spec().lasting,
           .expected = expected,
           .patience = patience,
           .most_wait = may_decline ? wait + WaitDoubt(expected) : Duration(0),
           .workers = workers});
  advice.queries.emplace(call, AdviceQuery{.step = step,
                                           .member = member,
                                           .workers = std::move(workers),
                                           .priority = ready.queue->priority,
                                           .reason = ReasonOf(context, ready),
                                           .expected = expected,
                                           .sent_at = context.now,
                                           .due = context.now + wait + expected,
                                           .deadline = context.now + patience});
}

// To be called before the answer's tickets are taken.
void LearnShare(const AdviceQuery& question,
                const AdviceReply& given,
                const StepRun& step,
                AllowedShare& share) {
  std::size_t named = 0;
  for (const std::string& it : question.workers) {
    named += step.tickets.contains(it) ? 0 : 1;
  }
  std::size_t allowed = 0;
  for (const AdvisedWorker& it : given.allowed) {
    allowed += step.tickets.contains(it.worker) ? 0 : 1;
  }
  share.Learn(allowed, named);
}

void TakeTickets(Time now,
                 StepRun& step,
                 const AdvicePolicy& policy,
                 const AdviceQuery& question,
                 const AdviceReply& given) {
  step.advised_at = std::min(step.advised_at, now);
  std::set<std::string> allowed;
  for (const AdvisedWorker& it : given.allowed) {
    allowed.insert(it.worker);
    step.tickets[it.worker] = StepTicket{.text = it.ticket,
                                         .expires = now + policy.valid,
                                         .reason = question.reason};
  }
  for (const std::string& it : question.workers) {
    if (!allowed.contains(it)) {
      step.denied.insert(it);
      step.tickets.erase(it);
    }
  }
}

// The step that was asked for is free to be asked for again.
StepRun* EndQuestion(Context& context, const AdviceQuery& question) {
  Job* job = FindJob(context.state, question.step.job);
  if (job == nullptr) {
    return nullptr;
  }
  StepRun& step = StepAt(*job, question.step.occurrence, question.step.step);
  step.asking = false;
  return &step;
}

void CountAnswer(Context& context,
                 const AdviceQuery& question,
                 const AdviceReply& reply,
                 bool unused) {
  if (reply.declined || reply.failed) {
    return;  // the service was not asked, or was asked in vain
  }
  AdviceCount& count = context.state.totals.advice[question.reason];
  ++count.calls;
  count.names += question.workers.size();
  count.allowed += reply.allowed.size();
  count.unused += unused ? 1 : 0;
  count.time += question.expected;
}

void GiveUpQuestions(Context& context) {
  std::erase_if(context.state.advice.queries, [&](const auto& it) {
    const bool lost = IsLost(context, it.second);
    if (context.now < it.second.deadline && !lost) {
      return false;
    }
    if (StepRun* step = EndQuestion(context, it.second)) {
      step->unanswered = true;
      step->asked_at = Time::min();  // another member is asked at once
    }
    ++context.state.totals.advice[it.second.reason].given_up;
    LeaveCaller(context, it.second);
    return true;
  });
}

}  // namespace

void DriveAdvice(Context& context) {
  if (!IsRegistered(context.state)) {
    return;
  }
  GiveUpQuestions(context);
  CandidatesByService candidates;
  for (const ReadyStep& it : ReadySteps(context, LeadOf)) {
    if (!NeedsAdvice(context, it)) {
      continue;
    }
    std::vector<std::string> workers = ChooseNames(context, it, candidates);
    if (!workers.empty()) {
      AskFor(context, it, std::move(workers));
    } else {
      it.run().asked_at = context.now;
    }
  }
}

void OnAdviceReply(Context& context,
                   const std::string& from,
                   const AdviceReply& reply) {
  // Also for an answer that comes too late to be used: its member would be
  // avoided as silent until its next digest.
  HearOfCaller(context, from, reply.wait, reply.urgent_wait);
  auto node = context.state.advice.queries.extract(reply.call);
  if (node.empty()) {
    return;
  }
  const AdviceQuery& question = node.mapped();
  StepRun* step = EndQuestion(context, question);
  const Job* job = FindJob(context.state, question.step.job);
  const QueuePolicy* queue =
      job == nullptr ? nullptr
                     : FindQueueByName(context.state.configuration, job->queue);
  if (reply.declined && step != nullptr) {
    ++step->declines;
    step->asked_at = Time::min();  // another member is asked at once
    return;
  }
  if (step != nullptr) {
    step->declines = 0;
    step->unanswered = reply.failed;
  }
  CountAnswer(context, question, reply, step == nullptr);
  if (reply.failed || step == nullptr || queue == nullptr || !queue->advice) {
    return;
  }
  LearnShare(question, reply, *step, context.state.advice.shares[queue->name]);
  TakeTickets(context.now, *step, *queue->advice, question, reply);
  context.state.placement_due = true;
}

}  // namespace burdockrock::engine
