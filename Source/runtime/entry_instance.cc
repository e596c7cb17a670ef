#include "runtime/entry_instance.h"

#include <chrono>
#include <utility>

#include "net/json.h"
#include "runtime/clock.h"
#include "runtime/initial_state.h"
#include "runtime/server_address.h"
#include "runtime/server_problem.h"
#include "scheduler/dump.h"
#include "wire/caller_codec.h"
#include "wire/caller_status.h"

namespace burdockrock {

namespace {

constexpr Duration kHousekeepingPeriod = std::chrono::seconds(1);
// A client that no call used for one to two sweeps is dropped.
constexpr std::uint64_t kHousekeepingsPerSweep = 30;

// A batch of peers' messages may hold documents of kMaxPlatformValueBytes.
constexpr std::size_t kMaxPeerBodyBytes = 16'777'216;
constexpr std::size_t kMaxPeerConnections = 256;

// After the planned stop, for answers and messages that are still going out.
constexpr Duration kMaxStopWait = std::chrono::seconds(5);

}  // namespace

EntryInstance::EntryInstance(boost::asio::io_context& io,
                             EntryInstanceOptions options)
    : io_(io),
      options_(std::move(options)),
      logger_({.format = options_.settings.log.format,
               .minimum = options_.settings.log.level,
               .instance = options_.settings.instance,
               .sink = options_.log_sink}),
      shell_(io,
             MakeInitialState(options_.settings,
                              options_.incarnation,
                              options_.seed),
             MakeShellHooks()),
      callers_(MakeCallerOptions()),
      workers_(io, [this](WorkerAnswered it) { shell_.Handle(std::move(it)); }),
      platform_(
          io,
          {.address = options_.settings.platform,
           .on_answer =
               [this](PlatformAnswered it) { shell_.Handle(std::move(it)); },
           .log = [this](const LogLine& it) { logger_.Write(it); }}),
      peer_client_(io, MakePeerClientOptions()),
      peer_server_(
          {.on_message =
               [this](PeerMessageReceived it) { shell_.Handle(std::move(it)); },
           .log = [this](const LogLine& it) { logger_.Write(it); }}),
      housekeeping_timer_(io) {}

std::optional<NetError> EntryInstance::Start() {
  logger_.Write({.number = EventNumber::kStarted,
                 .fields = {{"incarnation", options_.incarnation},
                            {"domain", options_.settings.domain},
                            {"site", options_.settings.site}}});
  if (auto error = ListenForPeers()) {
    return error;
  }
  if (auto error = ListenForCallers()) {
    return error;
  }
  ArmHousekeeping();
  shell_.Handle(ProcessStarted());
  return std::nullopt;
}

void EntryInstance::Drain() {
  logger_.Write(
      {.number = EventNumber::kStopping, .fields = {{"cause", "signal"}}});
  BeginDrain();
  shell_.Handle(DrainRequested());
}

void EntryInstance::Finish(std::vector<HttpServer*> other_servers) {
  other_servers.push_back(&*peer_http_);
  stop_.emplace(
      io_,
      ServerStopOptions{
          .callers = {&*caller_http_},
          .others = std::move(other_servers),
          .last_answer = EncodeCallerAnswer(WorkAnswer{
              .id = "",
              .verdict = MayHaveRun{.reason = Reason::kDraining,
                                    .detail = "the entry instance has ended"}}),
          .messages_sent = [this] { return peer_client_.idle(); },
          .on_done =
              [this](const ServerStopOutcome& it) {
                logger_.Write(StoppedLine(it));
                logger_.Flush();
                options_.on_stopped();
              }});
  stop_->Finish(SteadyNow() + kMaxStopWait);
}

ShellHooks EntryInstance::MakeShellHooks() {
  return {
      .answer_caller = [this](const AnswerCaller& it) { callers_.Answer(it); },
      .call_platform = [this](const CallPlatform& it) { platform_.Call(it); },
      .call_worker = [this](const CallWorker& it) { workers_.Call(it); },
      .send_peer = [this](const SendPeer& it) { peer_client_.Send(it); },
      .write_log = [this](const WriteLog& it) { logger_.Write(it.line); },
      .waiting_measured =
          [this](const WaitingMeasured& it) {
            metrics_.Waited(it.urgency, it.waited);
          },
      .stop_process = [this](const StopProcess&) { options_.on_drained(); },
      .step_took = [this](Duration took) { metrics_.StepTook(took); },
  };
}

CallerEdgeOptions EntryInstance::MakeCallerOptions() {
  return {
      .max_waiting = static_cast<std::size_t>(
          options_.settings.limits.max_queued_requests),
      .on_event =
          [this](EventBody it) {
            if (std::holds_alternative<DrainRequested>(it)) {
              BeginDrain();
            }
            shell_.Handle(std::move(it));
          },
      .log = [this](const LogLine& it) { logger_.Write(it); },
      .dump = [this] { return DumpText(); },
      .health = [this] { return HealthText(); },
      .metrics = [this] { return MetricsText(); },
  };
}

PeerClientOptions EntryInstance::MakePeerClientOptions() {
  return {.sender = {.from = options_.settings.instance,
                     .incarnation = options_.incarnation,
                     .domain = options_.settings.domain},
          .on_not_reached = [this](PeerMessageUndelivered it) {
            shell_.Handle(std::move(it));
          }};
}

HttpServerOptions EntryInstance::MakeCallerServerOptions() const {
  const LimitSettings& limits = options_.settings.limits;
  HttpServerOptions options;
  options.max_body_bytes = static_cast<std::size_t>(limits.max_body_bytes);
  options.max_connections = static_cast<std::size_t>(limits.max_connections);
  options.read_timeout = limits.transfer_timeout;
  options.write_timeout = limits.transfer_timeout;
  options.idle_timeout = limits.idle_timeout;
  options.on_problem = [this](const HttpServerProblem& it) {
    callers_.OnProblem(it);
  };
  return options;
}

std::optional<NetError> EntryInstance::ListenForCallers() {
  const std::string& address = options_.settings.listen.callers;
  auto options = WithAddress(MakeCallerServerOptions(), address);
  if (auto* error = std::get_if<NetError>(&options)) {
    return std::move(*error);
  }
  caller_http_.emplace(io_, std::get<HttpServerOptions>(std::move(options)),
                       [this](HttpRequest request, HttpResponder responder) {
                         if (options_.other_work(request, responder)) {
                           return;
                         }
                         callers_.Handle(std::move(request),
                                         std::move(responder));
                       });
  auto port = caller_http_->Listen();
  if (auto* error = std::get_if<NetError>(&port)) {
    return std::move(*error);
  }
  callers_port_ = std::get<std::uint16_t>(port);
  LogListening("callers", address);
  return std::nullopt;
}

std::optional<NetError> EntryInstance::ListenForPeers() {
  const std::string& address = options_.settings.listen.peers;
  HttpServerOptions wanted;
  wanted.max_body_bytes = kMaxPeerBodyBytes;
  wanted.max_connections = kMaxPeerConnections;
  wanted.on_problem = [this](const HttpServerProblem& it) {
    logger_.Write({.number = PeerEventOf(it.kind),
                   .fields = {{"remote", it.remote}, {"problem", it.detail}}});
  };
  auto options = WithAddress(std::move(wanted), address);
  if (auto* error = std::get_if<NetError>(&options)) {
    return std::move(*error);
  }
  peer_http_.emplace(
      io_, std::get<HttpServerOptions>(std::move(options)),
      [this](const HttpRequest& request, const HttpResponder& responder) {
        HandlePeerRequest(request, responder);
      });
  auto port = peer_http_->Listen();
  if (auto* error = std::get_if<NetError>(&port)) {
    return std::move(*error);
  }
  peers_port_ = std::get<std::uint16_t>(port);
  LogListening("peers", address);
  return std::nullopt;
}

void EntryInstance::HandlePeerRequest(const HttpRequest& request,
                                      const HttpResponder& responder) {
  HttpResponse response;
  if (request.path != "/rpc" || request.method != "POST") {
    response.status = kNotFoundStatus;
  } else {
    response.body = peer_server_.HandleBody(request.body);
    response.status = response.body.empty() ? kOkStatus : kBadRequestStatus;
  }
  responder(std::move(response));
}

void EntryInstance::LogListening(const char* edge, const std::string& address) {
  logger_.Write({.number = EventNumber::kListening,
                 .fields = {{"edge", edge}, {"address", address}}});
}

std::string EntryInstance::DumpText() const {
  return WriteJson(DumpState(shell_.state(), SteadyNow()));
}

std::string EntryInstance::HealthText() const {
  const State& state = shell_.state();
  Json::Value health(Json::objectValue);
  if (state.drain.draining) {
    health["state"] = Json::StaticString("draining");
  } else {
    health["state"] =
        Json::StaticString(state.config.loaded ? "serving" : "waiting");
  }
  return WriteJson(health);
}

std::string EntryInstance::MetricsText() {
  metrics_.SetFigures(CollectStateMetrics(shell_.state()));
  metrics_.SetTraffic("caller", callers_.traffic());
  metrics_.SetTraffic("worker", workers_.traffic());
  metrics_.SetTraffic("platform", platform_.traffic());
  const EdgeTraffic sent = peer_client_.traffic();
  const EdgeTraffic received = peer_server_.traffic();
  metrics_.SetTraffic("peer", {.messages = sent.messages + received.messages,
                               .bytes = sent.bytes + received.bytes});
  metrics_.SetPlatformCalls(platform_.calls());
  metrics_.SetProcessUsage();
  return metrics_.ToText();
}

void EntryInstance::ArmHousekeeping() {
  housekeeping_timer_.expires_after(kHousekeepingPeriod);
  housekeeping_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      KeepHouse();
    }
  });
}

void EntryInstance::KeepHouse() {
  logger_.Flush();
  if (++housekeepings_ % kHousekeepingsPerSweep == 0) {
    workers_.Sweep();
    peer_client_.Sweep();
  }
  ArmHousekeeping();
}

// Callers leave with their next answer, so that few connections are left at
// the end.
void EntryInstance::BeginDrain() {
  caller_http_->AnnounceStop();
  options_.on_drain();
}

}  // namespace burdockrock
