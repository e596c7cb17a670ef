#include "runtime/engine_instance.h"

#include <chrono>
#include <utility>

#include "net/json.h"
#include "observe/process_usage.h"
#include "runtime/clock.h"
#include "runtime/engine_dump.h"
#include "runtime/server_address.h"
#include "runtime/server_problem.h"

namespace burdockrock {

namespace {

constexpr int kNotFoundStatus = 404;

constexpr Duration kHousekeepingPeriod = std::chrono::seconds(1);
// A client that no call used for one to two sweeps is dropped.
constexpr std::uint64_t kHousekeepingsPerSweep = 30;

constexpr std::size_t kMaxPeerBodyBytes = 2'097'152;
constexpr std::size_t kMaxOperatorBodyBytes = 4096;
constexpr std::size_t kMaxConnections = 256;

double InSeconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

EngineInstance::EngineInstance(boost::asio::io_context& io,
                               EngineInstanceOptions options)
    : io_(io),
      options_(std::move(options)),
      logger_({.format = options_.log_format,
               .minimum = options_.log_level,
               .instance = options_.engine.self.node,
               .sink = options_.log_sink}),
      peer_client_(io,
                   options_.engine.self.incarnation,
                   [this](const LogLine& it) { logger_.Write(it); }),
      processor_log_([this](const LogLine& it) { logger_.Write(it); }),
      shell_(io, engine::MakeState(options_.engine), MakeHooks()),
      peer_server_({.incarnation = options_.engine.self.incarnation,
                    .on_message =
                        [this](engine::PeerMessageReceived it) {
                          shell_.Handle(std::move(it), peers_body_arrived_);
                        },
                    .on_request =
                        [this](const std::string& from) {
                          peer_client_.NoteHeard(from);
                        },
                    .log = [this](const LogLine& it) { logger_.Write(it); }}),
      housekeeping_timer_(io) {}

std::optional<NetError> EngineInstance::Start() {
  const engine::MemberRecord& self = options_.engine.self;
  logger_.Write(
      {.number = EventNumber::kStarted,
       .fields = {{"incarnation", self.incarnation}, {"domain", self.domain}}});
  if (auto error = Listen(
          peer_http_, options_.peers_address, kMaxPeerBodyBytes,
          [this](const HttpRequest& request, const HttpResponder& responder) {
            OnPeerRequest(request, responder);
          })) {
    return error;
  }
  if (auto error = Listen(
          metrics_http_, options_.metrics_address, kMaxOperatorBodyBytes,
          [this](const HttpRequest& request, const HttpResponder& responder) {
            OnOperatorRequest(request, responder);
          })) {
    return error;
  }
  ArmHousekeeping();
  shell_.Handle(engine::Started());
  return std::nullopt;
}

void EngineInstance::Drain() {
  logger_.Write(
      {.number = EventNumber::kStopping, .fields = {{"cause", "signal"}}});
  shell_.Handle(engine::StopRequested());
}

std::vector<HttpServer*> EngineInstance::servers() {
  return {&*peer_http_, &*metrics_http_};
}

EngineShellHooks EngineInstance::MakeHooks() {
  return {
      .edges = options_.edges,
      .send_peer =
          [this](const engine::SendPeer& it) { peer_client_.Send(it); },
      .write_log =
          [this](const engine::WriteLog& it) { logger_.Write(it.line); },
      .end_process = [this] { options_.on_drained(); },
      .note_span =
          [this](const engine::RecordSpan& it) {
            switch (it.span) {
              case engine::MeasuredSpan::kStart:
                return start_seconds_.Observe(InSeconds(it.took));
              case engine::MeasuredSpan::kCancel:
                return cancel_seconds_.Observe(InSeconds(it.took));
            }
          },
      .step_took =
          [this](Duration it) {
            step_seconds_.Observe(InSeconds(it));
            const Time driven_at = shell_.state().drive.driven_at;
            processor_log_.NoteStep(
                it, std::exchange(last_driven_at_, driven_at) != driven_at);
          },
      .event_waited =
          [this](Duration it) {
            queue_seconds_.Observe(InSeconds(it));
            processor_log_.NoteWait(it);
          },
      .timer_late =
          [this](Duration it) {
            late_seconds_.Observe(InSeconds(it));
            processor_log_.NoteWait(it);
          },
  };
}

std::optional<NetError> EngineInstance::Listen(
    std::optional<HttpServer>& server,
    const std::string& address,
    std::size_t max_body_bytes,
    HttpServer::Handler handler) {
  HttpServerOptions wanted;
  wanted.max_body_bytes = max_body_bytes;
  wanted.max_connections = kMaxConnections;
  wanted.on_problem = [this](const HttpServerProblem& it) {
    logger_.Write({.number = PeerEventOf(it.kind),
                   .fields = {{"remote", it.remote}, {"problem", it.detail}}});
  };
  auto options = WithAddress(std::move(wanted), address);
  if (auto* error = std::get_if<NetError>(&options)) {
    return std::move(*error);
  }
  server.emplace(io_, std::get<HttpServerOptions>(std::move(options)),
                 std::move(handler));
  auto port = server->Listen();
  if (auto* error = std::get_if<NetError>(&port)) {
    return std::move(*error);
  }
  logger_.Write(
      {.number = EventNumber::kListening, .fields = {{"address", address}}});
  return std::nullopt;
}

void EngineInstance::OnPeerRequest(const HttpRequest& request,
                                   const HttpResponder& responder) {
  HttpResponse response;
  if (request.path != "/rpc" || request.method != "POST") {
    response.status = kNotFoundStatus;
  } else {
    peers_body_arrived_ = SteadyNow();
    response = peer_server_.HandleRequest(request, peers_body_arrived_);
  }
  responder(std::move(response));
}

void EngineInstance::OnOperatorRequest(const HttpRequest& request,
                                       const HttpResponder& responder) {
  HttpResponse response;
  if (request.path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = MetricsText();
  } else if (request.path == "/state") {
    logger_.Write({.number = EventNumber::kDumpServed});
    response.body = WriteJson(DumpEngine(shell_.state()));
  } else {
    response.status = kNotFoundStatus;
  }
  responder(std::move(response));
}

std::string EngineInstance::MetricsText() {
  SetEngineMetrics(metrics_, shell_.state(), SteadyNow());
  const EdgeTraffic sent = peer_client_.traffic();
  const EdgeTraffic received = peer_server_.traffic();
  const Labels peer = {{.name = "edge", .value = "peer"}};
  metrics_.GetCounter(kControlMessagesTotal, peer)
      .RaiseTo(static_cast<double>(sent.messages + received.messages));
  metrics_.GetCounter(kControlBytesTotal, peer)
      .RaiseTo(static_cast<double>(sent.bytes + received.bytes));
  for (const auto& [kind, it] : peer_client_.kinds()) {
    const Labels labels = {{.name = "kind", .value = std::string(kind)}};
    metrics_.GetCounter(kPeerSentMessagesTotal, labels)
        .RaiseTo(static_cast<double>(it.messages));
    metrics_.GetCounter(kPeerSentBytesTotal, labels)
        .RaiseTo(static_cast<double>(it.bytes));
  }
  for (const auto& [kind, it] : peer_server_.kinds()) {
    metrics_
        .GetCounter(kPeerReceivedMessagesTotal,
                    {{.name = "kind", .value = std::string(kind)}})
        .RaiseTo(static_cast<double>(it.messages));
  }
  const PeerLosses& losses = peer_client_.losses();
  for (const auto& [cause, it] : losses.failed_batches()) {
    metrics_
        .GetCounter(kPeerFailedBatchesTotal,
                    {{.name = "cause", .value = std::string(cause)}})
        .RaiseTo(static_cast<double>(it));
  }
  for (const auto& [kind, it] : losses.dropped()) {
    metrics_
        .GetCounter(kPeerDroppedMessagesTotal,
                    {{.name = "kind", .value = std::string(kind)}})
        .RaiseTo(static_cast<double>(it));
  }
  for (const auto& [kind, it] : losses.resent()) {
    metrics_
        .GetCounter(kPeerResentMessagesTotal,
                    {{.name = "kind", .value = std::string(kind)}})
        .RaiseTo(static_cast<double>(it));
  }
  for (const auto& [kind, it] : losses.replaced()) {
    metrics_
        .GetCounter(kPeerReplacedMessagesTotal,
                    {{.name = "kind", .value = std::string(kind)}})
        .RaiseTo(static_cast<double>(it));
  }
  metrics_.Set(kPeersProbed, {},
               static_cast<double>(peer_client_.probed_peers()));
  if (const auto usage = ReadProcessUsage()) {
    metrics_.Set(kResidentBytes, {},
                 static_cast<double>(usage->resident_bytes));
    metrics_.GetCounter(kProcessorSecondsTotal)
        .RaiseTo(usage->processor_seconds);
  }
  return metrics_.ToText();
}

ProcessTotals EngineInstance::ReadTotals() const {
  ProcessTotals totals{.peers_received = peer_server_.traffic().messages,
                       .peers_sent = peer_client_.traffic().messages};
  for (const auto& [kind, it] : peer_client_.losses().resent()) {
    totals.peers_resent += it;
  }
  for (const auto& [kind, it] : peer_client_.losses().dropped()) {
    totals.peers_given_up += it;
  }
  if (const auto usage = ReadProcessUsage()) {
    totals.processor = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(usage->processor_seconds));
  }
  return totals;
}

void EngineInstance::ArmHousekeeping() {
  housekeeping_timer_.expires_after(kHousekeepingPeriod);
  housekeeping_timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    peer_client_.LogLosses();
    processor_log_.WriteLine(SteadyNow(), ReadTotals());
    logger_.Flush();
    if (++housekeepings_ % kHousekeepingsPerSweep == 0) {
      peer_client_.Sweep();
    }
    ArmHousekeeping();
  });
}

}  // namespace burdockrock
