#include "engine/fleet.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/members/member_features.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;

// One-way latencies.
constexpr Duration kStoreLatency = milliseconds(2);
constexpr Duration kPeerLatency = milliseconds(1);
constexpr const char* kQueue = "q";
// Time after the last fault until all connections work again and delayed
// commands have arrived at their workers.
constexpr Duration kReconnectTime = milliseconds(3000);
// A task has to have ended this long after the cancel of its job was
// acknowledged.
constexpr Duration kCancelBound = milliseconds(3400);

// "address|domain|service|processors|draining|born|label|label..."; the start
// and the labels may be missing.
std::string WorkerText(const WorkerInfo& info) {
  std::string text = fmt::format("{}|{}|{}|{}|{}|{}", info.address, info.domain,
                                 info.service, info.capacity.processors_milli,
                                 info.draining ? 1 : 0, info.born);
  for (const std::string& it : info.labels) {
    text += "|" + it;
  }
  return text;
}

std::vector<std::string> Split(std::string_view text) {
  std::vector<std::string> parts(1);
  for (const char it : text) {
    if (it == '|') {
      parts.emplace_back();
    } else {
      parts.back() += it;
    }
  }
  return parts;
}

std::variant<WorkerInfo, DocumentFault> ReadWorker(std::string_view id,
                                                   std::string_view text) {
  const auto parts = Split(text);
  constexpr std::size_t kFixed = 6;
  if (parts.size() < kFixed - 1) {
    return DocumentFault{.problem = "not a worker"};
  }
  const std::int64_t born = parts.size() >= kFixed ? std::stoll(parts[5]) : 0;
  const auto fixed =
      static_cast<std::ptrdiff_t>(std::min(parts.size(), kFixed));
  return WorkerInfo{.id = IncarnationName(id, born),
                    .born = born,
                    .address = parts[0],
                    .domain = parts[1],
                    .service = parts[2],
                    .capacity = {.processors_milli = std::stoll(parts[3]),
                                 .memory_mb = 1'000'000},
                    .labels = {parts.begin() + fixed, parts.end()},
                    .draining = parts[4] == "1"};
}

}  // namespace

Fleet::Fleet(FleetOptions options) : options_(std::move(options)) {
  store.max_value_bytes = options_.max_value_bytes;
  configuration_.services = {{.name = "s"}};
  QueuePolicy queue{.name = kQueue,
                    .host = "h",
                    .prefix = "/q/",
                    .service = "s",
                    .max_attempts = 3,
                    .stretch = 2};
  if (options_.advice) {
    queue.advice = AdvicePolicy{.decision = milliseconds(20),
                                .each = milliseconds(1),
                                .valid = milliseconds(2500)};
  }
  SetQueue(queue);
  AddWorkers(options_.workers);
  if (options_.gang_width) {
    TendGangs();
  }
  for (std::size_t it = 0; it < options_.instances; ++it) {
    const std::string name = fmt::format("n{}", it);
    nodes_[name].domain = options_.domains[it % options_.domains.size()];
    nodes_[name].address = name;
    Start(name);
  }
}

void Fleet::AddWorkers(std::size_t count) {
  for (std::size_t it = 0; it < count; ++it) {
    const std::size_t number = workers_.size();
    const std::string name = fmt::format("w{}", number);
    workers_[name] = std::make_unique<FakeWorker>(
        WorkerInfo{
            .id = name + "-1",
            .born = options_.workers_tell_born ? ToMilliseconds(now_) : 0,
            .address = name,
            .domain = options_.domains[number % options_.domains.size()],
            .service = "s",
            .capacity = {.processors_milli = options_.processors_milli,
                         .memory_mb = 1'000'000},
            .labels = options_.workers_per_rack == 0
                          ? std::vector<std::string>()
                          : std::vector<std::string>{fmt::format(
                                "r{}", number / options_.workers_per_rack)}},
        seen);
    if (options_.gang_width) {
      workers_[name]->in_gang = [this](const std::string& task) {
        return GangWidth(task) > 0;
      };
    }
    ListWorker(*workers_[name]);
  }
}

void Fleet::Settle() {
  REQUIRE(RunUntil(
      [&] {
        std::size_t owned = 0;
        for (const auto& [name, node] : nodes_) {
          if (!IsReady(*node.state)) {
            return false;
          }
          for (const auto& [id, worker] : node.state->owned) {
            owned += worker.claimed ? 1 : 0;
          }
        }
        return owned >= workers_.size();
      },
      std::chrono::seconds(10)));
  Run(std::chrono::seconds(1));
}

void Fleet::Run(Duration span) {
  const Time until = now_ + span;
  while (!queue_.empty() && queue_.top().at <= until) {
    const Due due = queue_.top();
    queue_.pop();
    now_ = due.at;
    due.run();
  }
  now_ = until;
}

bool Fleet::RunUntil(const std::function<bool()>& condition, Duration span) {
  const Time until = now_ + span;
  while (!condition()) {
    if (now_ >= until) {
      return false;
    }
    Run(kCheckInterval);
  }
  return true;
}

void Fleet::Kill(const std::string& node) {
  Node& it = nodes_.at(node);
  ++it.incarnation;
  it.state.reset();
  it.waiting.clear();
  it.links.clear();
  it.taken.clear();
}

void Fleet::Start(const std::string& name) {
  Node& node = nodes_.at(name);
  ++node.incarnation;
  const std::string incarnation = fmt::format("{}-{}", name, node.incarnation);
  EngineOptions options{
      .self = {.incarnation =
                   options_.teams ? WithFeatures(incarnation) : incarnation,
               .node = name,
               .domain = node.domain,
               .address = node.address},
      .bounds = {.state_kept = options_.state_kept,
                 .store_writes = options_.store_writes,
                 .max_value_bytes = options_.max_value_bytes},
      .seed = options_.seed + node.incarnation};
  options.documents.decode_worker = ReadWorker;
  if (options_.heartbeats) {
    options.documents.is_heartbeat = std::equal_to<std::string_view>();
  }
  options.documents.decode_configuration =
      [this](std::string_view) -> std::variant<Configuration, DocumentFault> {
    return configuration_;
  };
  options.documents.decode_wave = [this](std::string_view) {
    return std::variant<Wave, DocumentFault>(wave_);
  };
  options.documents.encode_wave_status = [](std::uint64_t, bool completed) {
    return std::string(completed ? "completed" : "running");
  };
  node.state = std::make_unique<State>(MakeState(std::move(options)));
  node.armed_for = kForever;
  node.unanswered.clear();
  node.drained = false;
  Deliver(name, node.incarnation, Started());
  if (!options_.timers) {
    Tick(name, node.incarnation);
  }
}

bool Fleet::IsUp(const std::string& node) const {
  return nodes_.at(node).state != nullptr;
}

void Fleet::Freeze(const std::string& node, Duration span) {
  nodes_.at(node).frozen_until = now_ + span;
}

void Fleet::SetCost(const std::string& node, StepCost cost) {
  nodes_.at(node).cost = cost;
}

void Fleet::DeliverPeerMessage(const std::string& node,
                               const std::string& from,
                               PeerMessage message) {
  Deliver(node, nodes_.at(node).incarnation,
          PeerMessageReceived{.from = from, .message = std::move(message)});
}

void Fleet::SetQueue(const QueuePolicy& queue) {
  ++configuration_.version;
  configuration_.queues = {queue};
  store.Put("operator/configuration", std::to_string(configuration_.version));
}

void Fleet::AddQueue(const std::string& name,
                     std::uint32_t priority,
                     std::optional<AdvicePolicy> advice) {
  ++configuration_.version;
  QueuePolicy queue = configuration_.queues.front();
  queue.name = name;
  queue.prefix = "/" + name + "/";
  queue.priority = priority;
  queue.advice = advice ? advice : queue.advice;
  configuration_.queues.push_back(queue);
  store.Put("operator/configuration", std::to_string(configuration_.version));
}

void Fleet::SetTeams(std::vector<TeamPolicy> teams) {
  ++configuration_.version;
  configuration_.teams = std::move(teams);
  store.Put("operator/configuration", std::to_string(configuration_.version));
}

const State& Fleet::state(const std::string& node) const {
  return *nodes_.at(node).state;
}

std::vector<std::string> Fleet::nodes() const {
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes_) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> Fleet::worker_names() const {
  std::vector<std::string> names;
  for (const auto& [name, worker] : workers_) {
    names.push_back(name);
  }
  return names;
}

void Fleet::At(Time at, std::function<void()> run) {
  queue_.push({.at = at, .number = ++last_number_, .run = std::move(run)});
}

void Fleet::Deliver(const std::string& name,
                    std::uint64_t incarnation,
                    EventBody body) {
  Deliver(name, incarnation, Arrival{.body = std::move(body), .at = now_});
}

void Fleet::Deliver(const std::string& name,
                    std::uint64_t incarnation,
                    Arrival arrival) {
  Node& node = nodes_.at(name);
  if (node.incarnation != incarnation || !node.state) {
    return;
  }
  if (node.frozen_until > now_) {
    return At(node.frozen_until,
              [this, name, incarnation, arrival = std::move(arrival)] {
                Deliver(name, incarnation, arrival);
              });
  }
  if (node.busy_until <= now_ && node.waiting.empty()) {
    return Handle(name, arrival);
  }
  node.waiting.push_back(std::move(arrival));
  if (node.waiting.size() == 1) {
    At(node.busy_until,
       [this, name, incarnation] { HandleWaiting(name, incarnation); });
  }
}

void Fleet::HandleWaiting(const std::string& name, std::uint64_t incarnation) {
  Node& node = nodes_.at(name);
  if (node.incarnation != incarnation || !node.state) {
    return;
  }
  if (node.frozen_until <= now_) {
    const Arrival next = std::move(node.waiting.front());
    node.waiting.pop_front();
    Handle(name, next);
  }
  if (!node.waiting.empty()) {
    At(std::max(node.busy_until, node.frozen_until),
       [this, name, incarnation] { HandleWaiting(name, incarnation); });
  }
}

void Fleet::Handle(const std::string& name, const Arrival& arrival) {
  Node& node = nodes_.at(name);
  const std::uint64_t incarnation = node.incarnation;
  on_waited(now_ - arrival.at);
  node.busy_until = now_ + node.cost.event;
  if (arrival.body) {
    const Time driven_at = node.state->drive.driven_at;
    const Effects effects = step(name, *node.state,
                                 Event{.now = now_,
                                       .wall_ms = ToMilliseconds(now_),
                                       .body = *arrival.body,
                                       .took_before = node.took,
                                       .waited = now_ - arrival.at});
    const bool drove = node.state->drive.driven_at != driven_at;
    node.busy_until += drove ? node.cost.due_work : Duration(0);
    for (const Effect& it : effects) {
      const bool sends = std::holds_alternative<SendPeer>(it);
      node.busy_until += sends ? node.cost.message : Duration(0);
      ApplyEffect(name, it);
    }
    node.took = node.busy_until - now_;
  }
  if (arrival.on_handled) {
    arrival.on_handled();
  }
  if (options_.timers) {
    ArmTimer(name, incarnation);
  }
}

void Fleet::ArmTimer(const std::string& name, std::uint64_t incarnation) {
  Node& node = nodes_.at(name);
  if (node.incarnation != incarnation || !node.state) {
    return;
  }
  const Time next = NextTime(*node.state, now_);
  if (next >= node.armed_for) {
    return;
  }
  node.armed_for = next;
  At(next, [this, name, incarnation, next] {
    Node& it = nodes_.at(name);
    if (it.incarnation == incarnation && it.armed_for == next) {
      it.armed_for = kForever;
      Deliver(name, incarnation, TimePassed());
    }
  });
}

void Fleet::Tick(const std::string& name, std::uint64_t incarnation) {
  At(now_ + kCheckInterval / 2, [this, name, incarnation] {
    const Node& node = nodes_.at(name);
    if (node.incarnation == incarnation && node.state) {
      if (node.busy_until <= now_ && node.waiting.empty()) {
        Deliver(name, incarnation, TimePassed());
      }
      Tick(name, incarnation);
    }
  });
}

void Fleet::ApplyEffect(const std::string& node, const Effect& effect) {
  struct Visitor {
    Fleet& fleet;
    const std::string& node;
    void operator()(const AnswerCaller& it) { fleet.RecordAnswer(node, it); }
    void operator()(const CallStore& it) { fleet.HandleStoreCall(node, it); }
    void operator()(const CallWorker& it) { fleet.HandleWorkerCall(node, it); }
    void operator()(const CallAdvice& it) { fleet.HandleAdviceCall(node, it); }
    void operator()(const CallMachines& it) {
      fleet.HandleMachineCall(node, it);
    }
    void operator()(const SendPeer& it) { fleet.HandlePeerSend(node, it); }
    void operator()(const WriteLog& it) { fleet.log.push_back(it.line); }
    void operator()(const RecordSpan& it) { fleet.spans.push_back(it); }
    void operator()(const ApplyLimits&) {}
    void operator()(const EndProcess&) { fleet.EndWhenAnswered(node); }
  };
  std::visit(Visitor{*this, node}, effect);
}

void Fleet::HandleStoreCall(const std::string& node, const CallStore& call) {
  const std::uint64_t incarnation = nodes_.at(node).incarnation;
  const StoreFault fault = store_fault(node, call.request);
  const auto answer = [this, node, incarnation,
                       id = call.call](StoreAnswer it) {
    Deliver(node, incarnation,
            StoreAnswered{.call = id, .answer = std::move(it)});
  };
  if (fault == StoreFault::kRefuse) {
    return At(now_ + 2 * kStoreLatency,
              [answer] { answer(StoreRefused{.detail = "503"}); });
  }
  if (fault != StoreFault::kNone) {
    At(now_ + call.timeout,
       [answer] { answer(StoreUnknown{.detail = "no answer"}); });
  }
  if (fault == StoreFault::kNoReply) {
    return;
  }
  At(now_ + kStoreLatency, [this, node, incarnation, call, answer, fault] {
    if (const auto* watch = std::get_if<StoreWatch>(&call.request)) {
      return AnswerWatch(node, incarnation, call, now_ + watch->wait);
    }
    const auto result = store.Handle(now_, call.request);
    if (fault == StoreFault::kNone) {
      At(now_ + kStoreLatency, [answer, result] { answer(*result); });
    }
  });
}

void Fleet::AnswerWatch(const std::string& node,
                        std::uint64_t incarnation,
                        const CallStore& call,
                        Time until) {
  auto result = store.Handle(now_, call.request);
  if (!result && now_ >= until) {
    result = StoreDone{.revision = std::get<StoreWatch>(call.request).after};
  }
  if (!result) {
    return At(now_ + kCheckInterval, [this, node, incarnation, call, until] {
      AnswerWatch(node, incarnation, call, until);
    });
  }
  At(now_ + kStoreLatency + watch_delay(node),
     [this, node, incarnation, call, result] {
       Deliver(node, incarnation,
               StoreAnswered{.call = call.call, .answer = *result});
     });
}

void Fleet::HandlePeerSend(const std::string& node, const SendPeer& send) {
  run_reports_ += std::holds_alternative<RunReports>(send.message) ? 1 : 0;
  on_peer(node, send);
  if (options_.batches) {
    return AddToLink(node, send);
  }
  if (is_cut(node, send.address)) {
    return;
  }
  const State& from = *nodes_.at(node).state;
  const std::string sender = from.options.self.incarnation;
  const std::uint64_t incarnation = nodes_.at(send.address).incarnation;
  At(now_ + kPeerLatency, [this, send, sender, incarnation] {
    Deliver(send.address, incarnation,
            PeerMessageReceived{.from = sender, .message = send.message});
  });
}

void Fleet::ListWorker(const FakeWorker& worker) {
  store.Put("worker/" + worker.info().id, WorkerText(worker.info()));
}

FakeWorker* Fleet::FindWorkerAt(const std::string& address) {
  const auto it = workers_.find(address);
  return it == workers_.end() ? nullptr : it->second.get();
}

JobSpec OneStep(std::uint32_t count, std::int64_t processors_milli) {
  return {.payload = "p",
          .steps = {{.count = count,
                     .each = {.processors_milli = processors_milli},
                     .estimate = milliseconds(500)}}};
}

JobSpec Chain(std::uint32_t steps, std::uint32_t count) {
  JobSpec spec = OneStep(count);
  for (std::uint32_t it = 1; it < steps; ++it) {
    StepSpec step = spec.steps.front();
    step.after = {it - 1};
    spec.steps.push_back(step);
  }
  return spec;
}

namespace {

void CheckCancels(const Fleet& fleet) {
  if (fleet.faults_ended_at == kForever) {
    return;
  }
  for (const SeenRun& it : fleet.seen) {
    const auto job = fleet.cancelled.find(it.task.substr(0, it.task.find('.')));
    if (job == fleet.cancelled.end()) {
      continue;
    }
    const Time ended_by =
        std::max(job->second, fleet.faults_ended_at + kReconnectTime) +
        kCancelBound;
    INFO("task " << it.task << " run " << it.run << " on " << it.worker);
    CHECK(std::min(it.ended, fleet.now()) <= ended_by);
  }
}

}  // namespace

void CheckInvariants(Fleet& fleet) {
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).Advance(fleet.now());
    CHECK(fleet.worker(it).peak() <=
          fleet.worker(it).info().capacity.processors_milli);
  }
  std::map<std::string, std::vector<const SeenRun*>> by_task;
  for (const SeenRun& it : fleet.seen) {
    for (const SeenRun* before : by_task[it.task]) {
      INFO("task " << it.task << " runs " << before->run << " and " << it.run);
      CHECK(before->ended <= it.began);
      CHECK(before->run < it.run);
      const bool done =
          before->how == RunEnd::kDone && before->acknowledged != kForever;
      CHECK_FALSE(done);
    }
    by_task[it.task].push_back(&it);
  }
  CheckCancels(fleet);
}

void PlanAll(Fleet& fleet, const RunPlan& plan) {
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [plan](const std::string&, std::uint64_t) {
      return plan;
    };
  }
}

std::size_t CountEnds(const Fleet& fleet, RunEnd how) {
  return static_cast<std::size_t>(
      std::count_if(fleet.seen.begin(), fleet.seen.end(),
                    [how](const SeenRun& it) { return it.how == how; }));
}

std::size_t CountRuns(const Fleet& fleet, const std::string& job) {
  return static_cast<std::size_t>(std::count_if(
      fleet.seen.begin(), fleet.seen.end(),
      [&](const SeenRun& it) { return it.task.starts_with(job + "."); }));
}

}  // namespace burdockrock::engine
