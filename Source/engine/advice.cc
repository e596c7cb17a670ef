#include "engine/advice.h"

#include <algorithm>
#include <utility>

#include "engine/job_table.h"
#include "engine/membership.h"
#include "engine/placement_rule.h"
#include "engine/placing.h"

namespace burdockrock::engine {

namespace {

// How many workers one call names: as many as the step has tasks, twice, since
// only some of them are allowed, and some for those without room.
constexpr std::size_t kSpareNames = 6;
constexpr std::size_t kNamesPerTask = 2;
// A step whose allowed workers are full asks about others after this long.
constexpr Duration kWiden = milliseconds(400);

struct Named {
  std::string id;
  bool allowed = false;  // from an earlier answer, its ticket has lapsed
  bool has_room = false;
  double cost = 0;
};

std::size_t CountWaiting(const StepRun& step) {
  return static_cast<std::size_t>(
      std::count_if(step.tasks.begin(), step.tasks.end(), [](const Task& it) {
        return it.phase == TaskPhase::kWaiting ||
               it.phase == TaskPhase::kUnknown;
      }));
}

bool HasValidTicket(const Context& context, const StepRun& step) {
  return std::any_of(step.tickets.begin(), step.tickets.end(),
                     [&](const auto& it) {
                       return it.second.expires >
                              context.now + kTicketMargin;
                     });
}

bool NeedsAdvice(const Context& context, const ReadyStep& ready) {
  const StepRun& step = ready.run();
  if (!ready.queue->advice || CountWaiting(step) == 0) {
    return false;
  }
  if (!HasValidTicket(context, step)) {
    return true;
  }
  return HasPassed(context.now, step.asked_at,
                   kWiden + ready.queue->advice->decision);
}

std::vector<Named> NamesFor(const Context& context, const ReadyStep& ready) {
  const StepRun& step = ready.run();
  const PlacementNeed need{.step = &ready.spec(),
                           .room = RoomOf(ready.spec())};
  std::vector<Named> names;
  for (const auto& [id, listed] : context.state.workers) {
    const auto view = context.state.view.find(id);
    const bool usable = listed.listed && !listed.info.draining &&
                        listed.info.service == ready.queue->service &&
                        view != context.state.view.end() &&
                        !view->second.gone && view->second.accepting &&
                        MayRunOn(ready.spec(), listed.info) &&
                        !step.denied.contains(id);
    if (!usable) {
      continue;
    }
    const Candidate candidate{
        .worker = &listed.info,
        .free = view->second.free,
        .own_domain =
            listed.info.domain == context.state.options.self.domain};
    const auto ticket = step.tickets.find(id);
    names.push_back({.id = id,
                     .allowed = ticket != step.tickets.end(),
                     .has_room = HasRoomNow(need, candidate),
                     .cost = -static_cast<double>(CountFitting(
                                 need.room, candidate.free))});
  }
  return names;
}

std::vector<std::string> Chosen(Context& context, const ReadyStep& ready) {
  std::vector<Named> names = NamesFor(context, ready);
  // Equal ones in another order each time, so that not all steps ask for the
  // same workers.
  std::shuffle(names.begin(), names.end(), context.state.random);
  std::stable_sort(names.begin(), names.end(),
                   [](const Named& left, const Named& right) {
                     return std::tuple(!left.has_room, !left.allowed,
                                       left.cost) <
                            std::tuple(!right.has_room, !right.allowed,
                                       right.cost);
                   });
  const std::size_t wanted =
      std::min(kMaxAdvised,
               kSpareNames + kNamesPerTask * CountWaiting(ready.run()));
  std::vector<std::string> chosen;
  for (const Named& it : names) {
    if (chosen.size() < wanted) {
      chosen.push_back(it.id);
    }
  }
  return chosen;
}

void AskFor(Context& context, const ReadyStep& ready,
            std::vector<std::string> workers) {
  AdviceState& advice = context.state.advice;
  advice.in_flight = true;
  advice.job = ready.job->id;
  advice.occurrence = ready.occurrence;
  advice.step = ready.step;
  advice.asked = context.now;
  ++advice.calls;
  ready.run().asked_at = context.now;
  context.Emit(CallAdvice{
      .request = {.step = StepName({.job = ready.job->id,
                                    .occurrence = ready.occurrence,
                                    .step = ready.step}),
                  .workers = std::move(workers)},
      .timeout = kAdviceTimeout});
}

void TakeTickets(Context& context, StepRun& step, const AdvicePolicy& policy,
                 const AdviceRequest& request, const AdviceGiven& given) {
  std::set<std::string> allowed;
  for (const Allowed& it : given.allowed) {
    allowed.insert(it.worker);
    step.tickets[it.worker] = StepTicket{
        .text = it.ticket, .expires = context.now + policy.valid};
  }
  for (const std::string& it : request.workers) {
    if (!allowed.contains(it)) {
      step.denied.insert(it);
      step.tickets.erase(it);
    }
  }
}

}  // namespace

void DriveAdvice(Context& context) {
  AdviceState& advice = context.state.advice;
  if (advice.in_flight || context.now < advice.retry_at ||
      !IsRegistered(context.state)) {
    return;
  }
  for (const ReadyStep& it : ReadySteps(context)) {
    if (!NeedsAdvice(context, it)) {
      continue;
    }
    std::vector<std::string> workers = Chosen(context, it);
    if (!workers.empty()) {
      return AskFor(context, it, std::move(workers));
    }
    it.run().asked_at = context.now;
  }
}

void OnAdviceAnswered(Context& context, const AdviceAnswered& event) {
  AdviceState& advice = context.state.advice;
  advice.in_flight = false;
  if (const auto* failed = std::get_if<AdviceFailed>(&event.answer)) {
    advice.retry_at = context.now + kAdviceRetry;
    context.Log(EventNumber::kAdviceFailed,
                {{"step", event.request.step}, {"problem", failed->detail}});
    return;
  }
  Job* job = FindJob(context.state, advice.job);
  const QueuePolicy* queue =
      job == nullptr ? nullptr
                     : FindQueueByName(context.state.configuration, job->queue);
  if (queue == nullptr || !queue->advice) {
    return;
  }
  TakeTickets(context, StepAt(*job, advice.occurrence, advice.step),
              *queue->advice, event.request,
              std::get<AdviceGiven>(event.answer));
  context.state.placement_due = true;
}

}  // namespace burdockrock::engine
