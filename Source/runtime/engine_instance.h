// One entry instance that runs jobs of steps: the engine with its peers, its
// log, its metrics, and the edges that it is given.
#ifndef BURDOCKROCK_RUNTIME_ENGINE_INSTANCE_H_
#define BURDOCKROCK_RUNTIME_ENGINE_INSTANCE_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "engine/options.h"
#include "net/http_server.h"
#include "net/net_error.h"
#include "net/tcp.h"
#include "observe/log.h"
#include "observe/metrics.h"
#include "runtime/engine_peers.h"
#include "runtime/engine_shell.h"
#include "runtime/processor_log.h"

namespace burdockrock {

struct EngineInstanceOptions {
  engine::EngineOptions engine{};
  EngineEdges edges{};
  std::string peers_address{};    // "IP:PORT"
  std::string metrics_address{};  // "IP:PORT"; also serves the state's dump
  LogFormat log_format = LogFormat::kKeyValue;
  Level log_level = Level::kInfo;
  std::function<void(std::string_view)> log_sink = nullptr;
  // The planned stop has handed everything over. Requests that wait, or still
  // come, are answered as before.
  std::function<void()> on_drained = [] {};
};

// Everything runs on the thread that runs the io_context.
class EngineInstance {
 public:
  EngineInstance(boost::asio::io_context& io, EngineInstanceOptions options);
  EngineInstance(const EngineInstance&) = delete;
  EngineInstance& operator=(const EngineInstance&) = delete;

  // Listens for peers and readers of metrics and starts the engine; an error if
  // an address can't be had.
  std::optional<NetError> Start();

  // Begins the planned stop.
  void Drain();

  void Handle(engine::EventBody event) { shell_.Handle(std::move(event)); }
  void Log(const LogLine& line) { logger_.Write(line); }
  void FlushLog() { logger_.Flush(); }
  // For the end of the process: the servers that this instance listens with.
  std::vector<HttpServer*> servers();

  bool ready() const { return engine::IsReady(shell_.state()); }
  const engine::State& state() const { return shell_.state(); }

 private:
  EngineShellHooks MakeHooks();
  std::optional<NetError> Listen(std::optional<HttpServer>& server,
                                 const std::string& address,
                                 std::size_t max_body_bytes,
                                 HttpServer::Handler handler);
  void OnPeerRequest(const HttpRequest& request,
                     const HttpResponder& responder);
  void OnOperatorRequest(const HttpRequest& request,
                         const HttpResponder& responder);
  std::string MetricsText();
  ProcessTotals ReadTotals() const;
  void ArmHousekeeping();

  boost::asio::io_context& io_;
  EngineInstanceOptions options_;
  Logger logger_;
  Metrics metrics_;
  Summary& step_seconds_ = metrics_.GetSummary(kStepSeconds);
  Summary& queue_seconds_ = metrics_.GetSummary(kEventQueueSeconds);
  Summary& late_seconds_ = metrics_.GetSummary(kTimerLateSeconds);
  Summary& start_seconds_ = metrics_.GetSummary(kStartSeconds);
  Summary& cancel_seconds_ = metrics_.GetSummary(kCancelSeconds);
  Time peers_body_arrived_{0};
  EnginePeerClient peer_client_;
  ProcessorLog processor_log_;
  Time last_driven_at_{0};
  EngineShell shell_;
  EnginePeerServer peer_server_;
  std::optional<HttpServer> peer_http_;
  std::optional<HttpServer> metrics_http_;
  SteadyTimer housekeeping_timer_;
  std::uint64_t housekeepings_ = 0;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_ENGINE_INSTANCE_H_
