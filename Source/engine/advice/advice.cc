#include "engine/advice/advice.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

#include "engine/advice/advice_rule.h"
#include "engine/jobs/candidates.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/placement_rule.h"
#include "engine/jobs/placing.h"
#include "engine/jobs/task_copies.h"
#include "engine/members/membership.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

namespace {

// Workers without room now are named for the room that they may get, up to so
// many in a call.
constexpr std::size_t kRoomlessNames = 10;
// By the length of a usual call a step is asked for ahead of its turn. Tickets
// for the largest calls would lapse before their use.
constexpr std::size_t kUsualNames = 30;
// Calls that take this long are made by other instances than shorter ones.
constexpr Duration kLongCall = milliseconds(100);
// Short calls must not wait behind long ones, so some instances make no long
// ones: one in three, rounded up, of a small fleet and one in five of what
// comes beyond, as short calls fill 2 to 5 instances' turns in fleets of 30 to
// 150. More would stand idle beside full queues: at 20 instances 0.79 of tasks
// that need long calls start within 2.5 s with one in three, 0.86 with this.
constexpr std::size_t kSmallFleet = 9;
constexpr std::size_t kMembersPerShortCaller = 3;
constexpr std::size_t kFurtherPerShortCaller = 5;
// An answer that does not come this long after it was due is asked for again.
constexpr Duration kReplySlack = milliseconds(1500);
// A step's tickets are asked for this long before its turn, beside the time
// that the call takes.
constexpr Duration kAhead = milliseconds(400);
// Between two questions about one step, beside the time of a decision.
constexpr Duration kWiden = milliseconds(150);
// The chance that a worker of which nothing is known may run the step; the
// queues' policies allow 0.35 to 0.7 of them.
constexpr double kAllowedShare = 0.4;
// Short calls go to an instance that also makes long ones when they would wait
// longer than this at the others.
constexpr Duration kShortWait = milliseconds(80);

// Told waits are late by up to the time between digests: differences below this
// say nothing. About a third of that time at 30 members.
constexpr Duration kWaitDoubt = milliseconds(250);

// A member whose wait has grown since it told of it declines, and the question
// goes to another one 3 ms later instead of waiting behind a second of calls.
// After so many in a row all are busy, and it waits wherever it is. At 20
// instances 0.93 of tasks that need long calls start within 1.2 s, 0.51
// without.
constexpr std::uint32_t kMostDeclines = 3;

struct Named {
  std::string id;
  bool allowed = false;  // from an earlier answer, its ticket has lapsed
  bool has_room = false;
  double fits = 0;  // tasks that have room now
  double rank = 0;  // lower is better
};

std::size_t CountWaiting(const StepRun& step) {
  return static_cast<std::size_t>(
      std::count_if(step.tasks.begin(), step.tasks.end(), [](const Task& it) {
        return it.phase == TaskPhase::kWaiting ||
               it.phase == TaskPhase::kUnknown || WaitsForCopy(it);
      }));
}

bool IsValid(const Context& context, const StepTicket& ticket) {
  return ticket.expires > context.now + kTicketMargin;
}

// How many tasks of the step have room at workers with a ticket.
std::int64_t CountTicketed(const Context& context, const ReadyStep& ready) {
  const PlacementNeed need = NeedOf(ready);
  const auto placed = CountPlaced(ready);
  std::int64_t fits = 0;
  for (const auto& [worker, ticket] : ready.run().tickets) {
    const auto listed = context.state.workers.find(worker);
    if (listed == context.state.workers.end() || !IsValid(context, ticket)) {
      continue;
    }
    // Room at a worker that placement passes over would be enough for ever.
    const RoomView* view = UsableView(context.state, worker, listed->second);
    if (view != nullptr) {
      fits += CountStarts(ready, placed, need, listed->second.info, view->free);
    }
  }
  return fits;
}

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

// Without tickets for the workers of less urgent work nothing could be stopped
// there when the time has come.
bool CouldPreempt(const Context& context,
                  const ReadyStep& ready,
                  const PlacementNeed& need,
                  Candidate candidate) {
  candidate.free += candidate.yielding;
  return MayPreempt(context, ready) && HasRoomNow(need, candidate);
}

// Collected once for all steps that are asked for in one look.
using CandidatesByService = std::map<std::string, std::vector<Candidate>>;

const std::vector<Candidate>& CandidatesFor(const Context& context,
                                            const std::string& service,
                                            CandidatesByService& candidates) {
  const auto it = candidates.find(service);
  return it != candidates.end()
             ? it->second
             : candidates[service] = CandidatesOf(context, service);
}

std::vector<Named> NamesFor(const Context& context,
                            const ReadyStep& ready,
                            CandidatesByService& candidates) {
  const StepRun& step = ready.run();
  const PlacementNeed need = NeedOf(ready);
  const auto placed = CountPlaced(ready);
  std::vector<Named> names;
  for (const Candidate& candidate :
       CandidatesFor(context, ready.queue->service, candidates)) {
    const std::string& id = candidate.worker->id;
    if (!MayRunOn(ready.spec(), *candidate.worker) ||
        step.denied.contains(id)) {
      continue;
    }
    const auto ticket = step.tickets.find(id);
    const std::int64_t starts =
        CountStarts(ready, placed, need, *candidate.worker, candidate.free);
    const auto there = placed.find(id);
    if (there != placed.end() && there->second >= ready.spec().spread) {
      continue;  // no task of the step may start there
    }
    const bool has_room = HasRoomNow(need, candidate) ||
                          CouldPreempt(context, ready, need, candidate);
    const bool known = ticket != step.tickets.end();
    // Asking again makes sense only where a task would start at once.
    const bool asked = step.advised_at != kForever;
    if ((known && IsValid(context, ticket->second)) || (asked && !has_room)) {
      continue;
    }
    const auto fits = static_cast<double>(starts);
    names.push_back({.id = id,
                     .allowed = known,
                     .has_room = has_room,
                     .fits = fits,
                     // Work in a hurry wants fast workers; other work few.
                     .rank = need.speed_weight > 0
                                 ? PlacementCost(need, candidate)
                                 : -fits});
  }
  return names;
}

std::vector<std::string> Chosen(Context& context,
                                const ReadyStep& ready,
                                CandidatesByService& candidates) {
  std::vector<Named> names = NamesFor(context, ready, candidates);
  // Equal ones in another order each time, so that not all steps ask for the
  // same workers.
  std::shuffle(names.begin(), names.end(), context.state.random);
  std::stable_sort(
      names.begin(), names.end(), [](const Named& left, const Named& right) {
        return std::tuple(!left.has_room, !left.allowed, left.rank) <
               std::tuple(!right.has_room, !right.allowed, right.rank);
      });
  AdviceCall call{
      .waiting = CountWaiting(ready.run()),
      .gang = ready.spec().gang,
      .ticketed = static_cast<double>(CountTicketed(context, ready))};
  std::vector<std::string> chosen;
  for (const Named& it : names) {
    const bool roomless = !it.has_room && chosen.size() >= kRoomlessNames;
    if (roomless || chosen.size() == kMaxAdvised || NamesEnough(call)) {
      break;
    }
    chosen.push_back(it.id);
    ++call.named;
    call.starts += it.fits * (it.allowed ? 1 : kAllowedShare);
    call.most += it.fits;
  }
  const StepRun& step = ready.run();
  const bool asked = step.advised_at != kForever;
  if (asked && !IsWorthACall(call, context.now - step.called_at)) {
    chosen.clear();
  }
  return chosen;
}

Duration ExpectedTime(const AdvicePolicy& policy, std::size_t workers) {
  return policy.decision + policy.each * static_cast<std::int64_t>(workers);
}

Duration LeadOf(const QueuePolicy& queue) {
  return queue.advice ? kAhead + ExpectedTime(*queue.advice, kUsualNames)
                      : Duration(0);
}

struct Callers {
  std::vector<std::string> for_short{};  // make no long calls
  std::vector<std::string> for_all{};
};

std::size_t CountShortCallers(std::size_t members) {
  const std::size_t few = std::min(members, kSmallFleet);
  return (few + kMembersPerShortCaller - 1) / kMembersPerShortCaller +
         (members - few) / kFurtherPerShortCaller;
}

Callers CallersOf(const Context& context) {
  std::vector<std::string> members = OtherMembers(context);
  members.push_back(context.self());
  std::sort(members.begin(), members.end());
  const std::size_t short_callers = CountShortCallers(members.size());
  if (members.size() <= short_callers) {
    return {.for_short = members, .for_all = members};
  }
  const auto middle =
      members.begin() + static_cast<std::ptrdiff_t>(short_callers);
  return {.for_short = {members.begin(), middle},
          .for_all = {middle, members.end()}};
}

// How long a call of this priority would wait here.
Duration WaitBehind(const State& state, Time now, std::uint32_t priority) {
  const AdviceState& advice = state.advice;
  Duration wait{0};
  if (advice.in_flight) {
    const Duration gone = now - advice.called_at;
    wait = std::max(advice.in_flight->ask.expected - gone, Duration(0));
  }
  for (const AdviceTurn& it : advice.turns) {
    wait += it.ask.priority <= priority ? it.ask.expected : Duration(0);
  }
  return wait;
}

Duration WaitAt(const Context& context, const std::string& member) {
  const AdviceState& advice = context.state.advice;
  if (member == context.self()) {
    return AdviceWait(context.state, context.now);
  }
  const auto told = advice.waits.find(member);
  Duration wait = told == advice.waits.end() ? Duration(0) : told->second;
  for (const auto& [call, question] : advice.questions) {
    if (question.member == member) {
      wait += question.expected;
    }
  }
  return wait;
}

struct ShortestWait {
  std::string member{};
  Duration wait = kForever;
};

// This instance itself among equals, which saves the way, and else any of them:
// others would take the first one too, until they hear that it is busy.
ShortestWait FindShortestWait(const Context& context,
                              const std::vector<std::string>& members) {
  ShortestWait best;
  std::tuple<std::int64_t, bool, std::uint64_t> best_rank;
  for (const std::string& it : members) {
    const Duration wait = WaitAt(context, it);
    // Instances whose random numbers are alike choose differently all the same.
    const std::uint64_t chance =
        std::hash<std::string>()(context.self() + it) ^ context.state.random();
    const std::tuple rank(wait / kWaitDoubt, it != context.self(), chance);
    if (best.member.empty() || rank < best_rank) {
      best = {.member = it, .wait = wait};
      best_rank = rank;
    }
  }
  return best;
}

std::string ChooseCaller(const Context& context, Duration expected) {
  const Callers callers = CallersOf(context);
  const ShortestWait all = FindShortestWait(context, callers.for_all);
  if (expected >= kLongCall) {
    return all.member;
  }
  const ShortestWait best = FindShortestWait(context, callers.for_short);
  return best.wait <= std::max(kShortWait, all.wait) ? best.member : all.member;
}

void AskFor(Context& context,
            const ReadyStep& ready,
            std::vector<std::string> workers) {
  AdviceState& advice = context.state.advice;
  const Duration expected = ExpectedTime(*ready.queue->advice, workers.size());
  const std::string member = ChooseCaller(context, expected);
  const Duration wait = WaitAt(context, member);
  const Duration patience = wait + expected + kReplySlack;
  const Duration doubt = expected >= kLongCall ? kWaitDoubt : kShortWait;
  const bool may_decline =
      member != context.self() && ready.run().declines < kMostDeclines;
  const std::uint64_t call = ++advice.last_call;
  ready.run().asked_at = context.now;
  ready.run().called_at = context.now;
  ready.run().asking = true;
  const TaskName step{
      .job = ready.job->id, .occurrence = ready.occurrence, .step = ready.step};
  Send(context, member,
       AdviceAsk{.call = call,
                 .step = StepName(step),
                 .priority = ready.queue->priority,
                 .expected = expected,
                 .patience = patience,
                 .most_wait = may_decline ? wait + doubt : Duration(0),
                 .workers = workers});
  advice.questions.emplace(call,
                           AdviceQuestion{.step = step,
                                          .member = member,
                                          .workers = std::move(workers),
                                          .expected = expected,
                                          .asked = context.now,
                                          .give_up = context.now + patience});
}

void TakeTickets(Time now,
                 StepRun& step,
                 const AdvicePolicy& policy,
                 const std::vector<std::string>& asked,
                 const AdviceReply& given) {
  step.advised_at = std::min(step.advised_at, now);
  std::set<std::string> allowed;
  for (const AdvisedWorker& it : given.allowed) {
    allowed.insert(it.worker);
    step.tickets[it.worker] =
        StepTicket{.text = it.ticket, .expires = now + policy.valid};
  }
  for (const std::string& it : asked) {
    if (!allowed.contains(it)) {
      step.denied.insert(it);
      step.tickets.erase(it);
    }
  }
}

// The step that was asked for is free to be asked for again.
StepRun* EndQuestion(Context& context, const AdviceQuestion& question) {
  Job* job = FindJob(context.state, question.step.job);
  if (job == nullptr) {
    return nullptr;
  }
  StepRun& step = StepAt(*job, question.step.occurrence, question.step.step);
  step.asking = false;
  return &step;
}

void GiveUpQuestions(Context& context) {
  std::erase_if(context.state.advice.questions, [&](const auto& it) {
    if (context.now < it.second.give_up) {
      return false;
    }
    EndQuestion(context, it.second);
    // It is busier than it has told.
    Duration& wait = context.state.advice.waits[it.second.member];
    wait = std::max(wait, context.now - it.second.asked);
    return true;
  });
}

// The most urgent one, and of these the first.
std::deque<AdviceTurn>::iterator NextTurn(std::deque<AdviceTurn>& turns) {
  return std::min_element(turns.begin(), turns.end(),
                          [](const AdviceTurn& left, const AdviceTurn& right) {
                            return left.ask.priority < right.ask.priority;
                          });
}

// Whoever has given a question up asks again: calls that are made all the same
// keep others waiting, who then give up too. It shows by waiting steps whose
// question is younger than their wait.
void DropStaleTurns(Context& context) {
  std::erase_if(context.state.advice.turns, [&](const AdviceTurn& it) {
    return it.ask.patience != Duration(0) &&
           context.now >= it.arrived + it.ask.patience;
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
    std::vector<std::string> workers = Chosen(context, it, candidates);
    if (!workers.empty()) {
      AskFor(context, it, std::move(workers));
    } else {
      it.run().asked_at = context.now;
    }
  }
}

void DriveAdviceTurns(Context& context) {
  AdviceState& advice = context.state.advice;
  if (advice.in_flight || context.now < advice.retry_at) {
    return;
  }
  DropStaleTurns(context);
  if (advice.turns.empty()) {
    return;
  }
  const auto next = NextTurn(advice.turns);
  advice.in_flight = std::move(*next);
  advice.turns.erase(next);
  advice.called_at = context.now;
  context.Emit(CallAdvice{.request = {.step = advice.in_flight->ask.step,
                                      .workers = advice.in_flight->ask.workers},
                          .timeout = kAdviceTimeout});
}

void OnAdviceAsk(Context& context,
                 const std::string& from,
                 const AdviceAsk& ask) {
  const Duration wait = WaitBehind(context.state, context.now, ask.priority);
  if (ask.most_wait != Duration(0) && wait > ask.most_wait) {
    return Send(
        context, from,
        AdviceReply{
            .call = ask.call, .failed = true, .declined = true, .wait = wait});
  }
  context.state.advice.turns.push_back(
      {.from = from, .ask = ask, .arrived = context.now});
}

void OnAdviceReply(Context& context, const AdviceReply& reply) {
  auto node = context.state.advice.questions.extract(reply.call);
  if (node.empty()) {
    return;
  }
  const AdviceQuestion& question = node.mapped();
  context.state.advice.waits[question.member] = reply.wait;
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
  }
  if (reply.failed || step == nullptr || queue == nullptr || !queue->advice) {
    return;
  }
  TakeTickets(context.now, *step, *queue->advice, question.workers, reply);
  context.state.placement_due = true;
}

void OnAdviceAnswered(Context& context, const AdviceAnswered& event) {
  AdviceState& advice = context.state.advice;
  if (!advice.in_flight) {
    return;
  }
  const AdviceTurn turn = *std::exchange(advice.in_flight, std::nullopt);
  AdviceReply reply{.call = turn.ask.call,
                    .wait = AdviceWait(context.state, context.now)};
  if (const auto* failed = std::get_if<AdviceFailed>(&event.answer)) {
    advice.retry_at = context.now + kAdviceRetry;
    reply.failed = true;
    context.Log(EventNumber::kAdviceFailed,
                {{"step", event.request.step}, {"problem", failed->detail}});
  } else {
    for (const Allowed& it : std::get<AdviceGiven>(event.answer).allowed) {
      reply.allowed.push_back({.worker = it.worker, .ticket = it.ticket});
    }
  }
  Send(context, turn.from, std::move(reply));
}

Duration AdviceWait(const State& state, Time now) {
  return WaitBehind(state, now, std::numeric_limits<std::uint32_t>::max());
}

}  // namespace burdockrock::engine
