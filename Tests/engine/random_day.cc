#include "engine/random_day.h"

#include <chrono>
#include <cstddef>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTraffic = seconds(16);
constexpr Duration kTurn = milliseconds(100);
// Without a heartbeat the store drops a worker's entry after this time.
constexpr Duration kEntryLifetime = milliseconds(4500);
constexpr int kDomains = 4;
// Of the answers to watches that are late.
constexpr Duration kWatchDelay = milliseconds(700);
// From the end of a cut to the arrival of messages that were sent during it.
constexpr Duration kHeldAfterCut = milliseconds(700);

// By kind of job.
constexpr AdvicePolicy kAdvice[] = {{.decision = milliseconds(27),
                                     .each = std::chrono::microseconds(390),
                                     .valid = milliseconds(2000)},
                                    {.decision = milliseconds(507),
                                     .each = std::chrono::microseconds(7150),
                                     .valid = milliseconds(2000)},
                                    {.decision = milliseconds(585),
                                     .each = std::chrono::microseconds(8450),
                                     .valid = milliseconds(2000)}};
// Of 100 workers, those on which a step may run.
constexpr std::uint64_t kAllowed[] = {70, 35, 35};
constexpr std::size_t kTeams = 3;
// Above what the days send, so that all of it is within the entitlement.
constexpr double kAmpleWeight = 1000;
constexpr const char* kQueues[] = {"q", "batch", "lasting"};
constexpr std::uint32_t kPriorities[] = {0, 2, 1};

int IndexOf(std::string_view name) {
  return static_cast<int>(KindOfJob(name));
}

std::string PathOf(const std::string& job) {
  return fmt::format("/{}/{}", kQueues[IndexOf(job)], job);
}

// Instances and workers are assigned to the domains in turn.
int DomainOf(const std::string& name) {
  return std::stoi(name.substr(1)) % kDomains;
}

}  // namespace

JobKind KindOfJob(std::string_view name) {
  return name[0] == 's'   ? JobKind::kShort
         : name[0] == 'b' ? JobKind::kBatch
                          : JobKind::kLasting;
}

RandomDay::RandomDay(RandomDayOptions options)
    : random_(options.seed),
      copies_(options.copies && options.seed % 2 == 0),
      crashes_(options.crashes),
      cap_milli_(options.cap_milli),
      last_batches_(options.last_batches),
      instances_(static_cast<int>(
          options.instances > 0 ? options.instances : 5 + options.seed % 8)),
      fleet_({.domains = {"a", "b", "c", "d"},
              .instances = static_cast<std::size_t>(instances_),
              .workers = kWorkers,
              .processors_milli = kCapacity,
              .advice = true,
              .seed = options.seed,
              .timers = true,
              .teams = options.teams || options.cap_milli > 0,
              .batches = options.late,
              .held_after_cut = options.late ? kHeldAfterCut : kForever}) {
  if (options.late) {
    PlanLateWatches(options.seed);
  }
}

void RandomDay::Play() {
  SetUp();
  const Time end = fleet_.now() + kTraffic;
  PlanFaults();
  while (fleet_.now() < end) {
    SubmitSome();
    CancelSome();
    fleet_.Run(kTurn);
  }
  for (std::size_t it = 0; it < last_batches_; ++it) {
    SubmitJob(JobKind::kBatch, 1, 3);
  }
  if (last_batches_ > 0) {
    fleet_.Run(milliseconds(300));
  }
  Close();
  if (Chance(50)) {
    fleet_.Run(seconds(2));
  }
  EndFaults();
}

int RandomDay::Pick(int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(random_);
}

bool RandomDay::Chance(int percent) {
  return Pick(1, 100) <= percent;
}

Duration RandomDay::Span(int least_ms, int most_ms) {
  return milliseconds(Pick(least_ms, most_ms));
}

std::string RandomDay::AnyNode() {
  return fmt::format("n{}", Pick(0, instances_ - 1));
}

std::string RandomDay::AnyWorker() {
  return fmt::format("w{}", Pick(0, kWorkers - 1));
}

void RandomDay::SetUp() {
  for (std::size_t it = 0; it < 3; ++it) {
    QueuePolicy queue{.name = kQueues[it],
                      .host = "h",
                      .prefix = fmt::format("/{}/", kQueues[it]),
                      .service = "s",
                      .priority = kPriorities[it],
                      .max_attempts = 2,
                      .stretch = it == 0 ? 1.5 : 2.2,
                      .latency = milliseconds(it == 0 ? 250 : 1200),
                      .advice = kAdvice[it]};
    if (it == 0) {
      fleet_.SetQueue(queue);
    } else {
      fleet_.AddQueue(kQueues[it], queue.priority, queue.advice);
    }
  }
  if (cap_milli_ > 0) {
    std::vector<TeamPolicy> teams;
    for (std::size_t it = 0; it < kTeams; ++it) {
      const std::string name = fmt::format("team{}", it);
      teams.push_back({.name = name,
                       .keys = {DigestOf(name)},
                       .weight = kAmpleWeight,
                       .cap = {.processors_milli = cap_milli_}});
    }
    fleet_.SetTeams(std::move(teams));
  }
  fleet_.tickets_valid = milliseconds(2000);
  fleet_.advice_duration = [](const AdviceRequest& it) {
    const AdvicePolicy& policy = kAdvice[IndexOf(it.step)];
    return policy.decision +
           policy.each * static_cast<std::int64_t>(it.workers.size());
  };
  fleet_.allows = [](const std::string& step, const std::string& worker) {
    return std::hash<std::string>()(step + worker.substr(0, worker.find('-'))) %
               100 <
           kAllowed[IndexOf(step)];
  };
  for (const std::string& it : fleet_.worker_names()) {
    fleet_.worker(it).plan = [this, it](const std::string& task,
                                        std::uint64_t) {
      return PlanOf(it, task);
    };
    fleet_.worker(it).processors = [this](const std::string& task) {
      return jobs_[task.substr(0, task.find('.'))].processors_milli();
    };
  }
  fleet_.Settle();
  SetFaults();
}

RunPlan RandomDay::PlanOf(const std::string& worker, const std::string& task) {
  const JobKind kind = KindOfJob(task);
  const bool fails =
      failing_.contains(worker) || Chance(kind == JobKind::kBatch ? 1 : 5);
  const RunEnd how = fails ? RunEnd::kFailed : RunEnd::kDone;
  if (crashing_.contains(task) && crashing_[task]-- > 0) {
    return {.takes = Span(100, 900), .crashes = true};
  }
  if (kind == JobKind::kLasting) {
    return {.takes = Span(200, 9000), .how = how, .endless = !fails};
  }
  return {.takes = kind == JobKind::kShort ? Span(100, 2000) : Span(1000, 9000),
          .how = how};
}

void RandomDay::SetFaults() {
  fleet_.is_cut = [this](const std::string& from, const std::string& to) {
    return from != to && IsApart(from, to);
  };
  fleet_.store_fault = [this](const std::string& node, const StoreRequest&) {
    if (DomainOf(node) == cut_domain_ || cut_nodes_.contains(node)) {
      return StoreFault::kNoReply;
    }
    const auto fault = store_faults_.find(node);
    if (fault != store_faults_.end()) {
      return fault->second;
    }
    return store_loses_ && Chance(35) ? StoreFault::kLoseAnswer
                                      : StoreFault::kNone;
  };
  fleet_.command_fault = [this](const std::string& node,
                                const std::string& worker,
                                const WorkerRequest& request) {
    if (dark_.contains(worker) || IsApart(node, worker)) {
      return CommandFault::kUnreached;
    }
    const bool poll = std::holds_alternative<PollWorker>(request);
    if (!poll && late_ && Chance(6)) {
      return CommandFault::kLate;
    }
    const bool start = std::holds_alternative<StartRun>(request);
    return start && unhealthy_.contains(worker) ? CommandFault::kUnhealthy
                                                : CommandFault::kNone;
  };
}

void RandomDay::PlanLateWatches(std::uint64_t seed) {
  // Draws of their own: the days are else those without late answers.
  std::mt19937_64 random(seed);
  const auto draw = [&random](int least_ms, int most_ms) {
    return milliseconds(
        std::uniform_int_distribution<int>(least_ms, most_ms)(random));
  };
  for (const std::string& it : fleet_.nodes()) {
    for (Duration at = draw(0, 4000); at < kTraffic;) {
      const Duration span = draw(500, 3000);
      fleet_.RunLater(at, [this, it] { late_watches_.insert(it); });
      fleet_.RunLater(at + span, [this, it] { late_watches_.erase(it); });
      at += span + draw(1000, 4000);
    }
  }
  fleet_.watch_delay = [this](const std::string& node) {
    return late_watches_.contains(node) ? kWatchDelay : Duration(0);
  };
}

bool RandomDay::IsApart(const std::string& one,
                        const std::string& other) const {
  const bool cut =
      DomainOf(one) != DomainOf(other) &&
      (DomainOf(one) == cut_domain_ || DomainOf(other) == cut_domain_);
  return cut || cut_nodes_.contains(one) || cut_nodes_.contains(other);
}

void RandomDay::SubmitSome() {
  if (Chance(60)) {
    SubmitJob(JobKind::kShort);
  }
  if (Chance(6)) {
    SubmitJob(JobKind::kBatch);
  }
  if (Chance(2)) {
    SubmitJob(JobKind::kLasting);
  }
}

void RandomDay::SubmitJob(JobKind kind, int least_tasks, int most_tasks) {
  const std::string node = AnyNode();
  if (!fleet_.IsUp(node) || !fleet_.TakesCalls(node)) {
    return;
  }
  const char* const names[] = {"s", "b", "l"};
  const std::string job =
      fmt::format("{}{}", names[static_cast<int>(kind)], jobs_.size() + 1);
  const std::int64_t processors =
      kind == JobKind::kShort ? Pick(500, 4000) : Pick(2000, 7600);
  JobSpec spec = OneStep(
      static_cast<std::uint32_t>(Pick(least_tasks, most_tasks)), processors);
  StepSpec& step = spec.steps[0];
  step.estimate = kind == JobKind::kShort ? milliseconds(800) : seconds(5);
  step.lasting = kind == JobKind::kLasting;
  step.concurrent = copies_ && kind == JobKind::kShort && Chance(30);
  step.spread = Chance(kind == JobKind::kLasting ? 70 : 10) ? 1 : 0;
  step.gang = kind == JobKind::kBatch && Chance(8);
  if (kind == JobKind::kBatch && Chance(60)) {
    StepSpec next = step;
    next.after = {0};
    spec.steps.push_back(next);
  }
  if (crashes_ && Chance(2)) {  // its first runs crash their workers
    crashing_[job + ".0.0.0"] = Pick(1, 2);
  }
  RandomJob& submitted = jobs_[job];
  submitted.spec = spec;
  CallerRequest request{.query = CallerQuery::kSubmit,
                        .host = "h",
                        .path = PathOf(job),
                        .spec = spec};
  if (cap_milli_ > 0) {
    submitted.team = fmt::format("team{}", jobs_.size() % kTeams);
    request.key = DigestOf(submitted.team);
  }
  submitted.call = fleet_.SendRequest(node, std::move(request));
}

void RandomDay::CancelSome() {
  if (jobs_.empty() || !Chance(3)) {
    return;
  }
  const auto it =
      std::next(jobs_.begin(), Pick(0, static_cast<int>(jobs_.size()) - 1));
  const std::string node = AnyNode();
  if (fleet_.IsUp(node) && KindOfJob(it->first) != JobKind::kShort) {
    it->second.cancelled = true;
    CallerRequest request{
        .query = CallerQuery::kCancel, .host = "h", .path = PathOf(it->first)};
    if (!it->second.team.empty()) {
      request.key = DigestOf(it->second.team);
    }
    fleet_.SendRequest(node, std::move(request));
  }
}

void RandomDay::PlanFaults() {
  const int faults = Pick(2, 5);
  for (int it = 0; it < faults; ++it) {
    fleet_.RunLater(Span(500, 13'000), [this] { Fault(); });
  }
  if (Chance(50)) {
    fleet_.RunLater(Span(9000, 10'000),
                    [this] { CutDomain(Span(4500, 6500)); });
  }
}

void RandomDay::For(Duration span, std::function<void()> undo) {
  undo_.push_back(undo);
  fleet_.RunLater(span, std::move(undo));
}

void RandomDay::CutDomain(Duration span) {
  if (cut_domain_ >= 0) {
    return;
  }
  cut_domain_ = Pick(0, 3);
  const int domain = cut_domain_;
  std::vector<std::string> inside;
  for (const std::string& it : fleet_.worker_names()) {
    if (DomainOf(it) == domain) {
      inside.push_back(it);
    }
  }
  Unlist(inside, span);
  For(span, [this] { cut_domain_ = -1; });
}

void RandomDay::Unlist(const std::vector<std::string>& workers, Duration span) {
  for (const std::string& it : workers) {
    const std::string id = fleet_.worker(it).info().id;
    const Duration lapse = kEntryLifetime - Span(0, 1500);
    if (lapse >= span) {
      continue;
    }
    fleet_.RunLater(lapse, [this, id] { fleet_.store.Remove("worker/" + id); });
    fleet_.RunLater(span + Span(0, 1500), [this, it] { List(it); });
  }
}

void RandomDay::List(const std::string& worker) {
  if (!away_.contains(worker)) {
    fleet_.ListAgain(worker);
  }
}

void RandomDay::Restart(const std::string& node, Duration away) {
  if (!fleet_.IsUp(node)) {
    return;
  }
  fleet_.Kill(node);
  fleet_.RunLater(away, [this, node] { StartIfDown(node); });
}

void RandomDay::Fault() {
  switch (Pick(0, 14)) {
    case 0:
      return CutDomain(Span(4000, 6500));
    case 1:  // many instances are killed at once
      return KillSome(30, 300, 2500);
    case 2:
      return Restart(AnyNode(), Span(300, 3500));
    case 3: {  // the store refuses some instances and ends their
               // registrations
      for (const std::string& it : fleet_.nodes()) {
        if (Chance(35)) {
          store_faults_[it] = StoreFault::kRefuse;
          fleet_.store.Revoke("member/" + it);
        }
      }
      return For(Span(4000, 9000), [this] { store_faults_.clear(); });
    }
    case 4: {
      const StoreFault fault =
          Chance(50) ? StoreFault::kRefuse : StoreFault::kNoReply;
      return CutStore(fault, Span(2000, 4500));
    }
    case 5:
      store_loses_ = true;
      return For(Span(2000, 4500), [this] { store_loses_ = false; });
    case 6: {
      const std::string node = AnyNode();
      cut_nodes_.insert(node);
      return For(Span(2000, 5500), [this, node] { cut_nodes_.erase(node); });
    }
    case 7: {  // workers crash and are back soon
      const int n = Pick(1, 8);
      for (int it = 0; it < n; ++it) {
        Crash(AnyWorker(), Span(500, 2500));
      }
      return;
    }
    case 8: {  // workers can't be reached and run on
      std::vector<std::string> workers;
      for (const std::string& it : fleet_.worker_names()) {
        if (Chance(17) && dark_.insert(it).second) {
          workers.push_back(it);
        }
      }
      const Duration span = Span(4000, 5500);
      Unlist(workers, span);
      return For(span, [this, workers] {
        for (const std::string& it : workers) {
          dark_.erase(it);
        }
      });
    }
    case 9:
      late_ = true;
      fleet_.late_delay = Span(2000, 5000);
      return For(Span(3000, 5500), [this] { late_ = false; });
    case 10: {
      for (const std::string& it : fleet_.worker_names()) {
        if (Chance(14)) {
          (Chance(50) ? failing_ : unhealthy_).insert(it);
        }
      }
      return For(Span(3000, 6500), [this] {
        failing_.clear();
        unhealthy_.clear();
      });
    }
    case 11:
      return fleet_.Freeze(AnyNode(), Span(500, 4500));
    case 12:
      fleet_.machines_answer = false;
      return For(Span(3000, 20'000), [this] { fleet_.machines_answer = true; });
    case 13:  // an entry of a worker that is not there
      return fleet_.store.Put(
          fmt::format("worker/odd{}", Pick(0, 3)),
          fmt::format("nowhere|{}|s|16000|0|0", "abcd"[Pick(0, 3)]));
    default: {  // a rolling restart
      Duration after{0};
      for (const std::string& it : fleet_.nodes()) {
        if (Chance(40)) {
          fleet_.RunLater(after, [this, it] { StopAndStart(it); });
          after += Span(1000, 1500);
        }
      }
      return;
    }
  }
}

void RandomDay::CrashWorkers(int count, Duration away) {
  const std::size_t goal = away_.size() + static_cast<std::size_t>(count);
  while (away_.size() < goal) {
    Crash(AnyWorker(), away);
  }
}

void RandomDay::KillSome(int percent, int least_ms, int most_ms) {
  for (const std::string& it : fleet_.nodes()) {
    if (Chance(percent)) {
      Restart(it, Span(least_ms, most_ms));
    }
  }
}

void RandomDay::CutStore(StoreFault fault, Duration span) {
  for (const std::string& it : fleet_.nodes()) {
    store_faults_[it] = fault;
  }
  For(span, [this] { store_faults_.clear(); });
}

void RandomDay::StopAndStart(const std::string& node) {
  if (!fleet_.IsUp(node)) {
    return;
  }
  fleet_.StopPlanned(node);
  fleet_.RunLater(Bounds().grace + milliseconds(300),
                  [this, node] { StartIfDown(node); });
}

void RandomDay::StartIfDown(const std::string& node) {
  if (!fleet_.IsUp(node)) {
    fleet_.Start(node);
  }
}

void RandomDay::Crash(const std::string& worker, Duration away) {
  if (away_.contains(worker)) {
    return;
  }
  away_.insert(worker);
  fleet_.CrashWorker(worker, away);
  fleet_.RunLater(away, [this, worker] { away_.erase(worker); });
}

void RandomDay::Close() {
  if (Chance(50)) {
    for (const std::string& it : fleet_.nodes()) {
      if (fleet_.IsUp(it)) {
        fleet_.Kill(it);
      }
    }
    fleet_.Run(Span(800, 1300));
    if (Chance(30)) {
      for (const std::string& it : fleet_.nodes()) {
        store_faults_[it] = StoreFault::kRefuse;
      }
      For(Span(500, 2500), [this] { store_faults_.clear(); });
    }
    for (const std::string& it : fleet_.nodes()) {
      if (!fleet_.IsUp(it)) {
        fleet_.Start(it);
      }
    }
    for (int it = 0; it < 20; ++it) {
      SubmitSome();
      fleet_.Run(kTurn);
    }
  }
}

void RandomDay::EndFaults() {
  for (const auto& it : undo_) {
    it();
  }
  fleet_.machines_answer = true;
  fleet_.watch_delay = [](const std::string&) { return Duration(0); };
  for (const std::string& it : fleet_.nodes()) {
    if (!fleet_.IsUp(it)) {
      fleet_.Start(it);
    }
  }
}

}  // namespace burdockrock::engine
