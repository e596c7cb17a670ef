// One entry instance: the shell with its edges, servers, log and metrics.
#ifndef BURDOCKROCK_RUNTIME_ENTRY_INSTANCE_H_
#define BURDOCKROCK_RUNTIME_ENTRY_INSTANCE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/process_settings.h"
#include "net/http_server.h"
#include "net/net_error.h"
#include "net/tcp.h"
#include "observe/log.h"
#include "runtime/caller_edge.h"
#include "runtime/peer_client.h"
#include "runtime/peer_server.h"
#include "runtime/platform_edge.h"
#include "runtime/process_metrics.h"
#include "runtime/server_stop.h"
#include "runtime/shell.h"
#include "runtime/worker_edge.h"

namespace burdockrock {

struct EntryInstanceOptions {
  ProcessSettings settings;
  std::string incarnation;  // MakeIncarnation's
  std::uint64_t seed = 1;

  // Takes one line of the log. Default: standard error.
  std::function<void(std::string_view)> log_sink = nullptr;

  // Takes a caller's request that is not this instance's; false if it is.
  std::function<bool(const HttpRequest&, const HttpResponder&)> other_work =
      [](const HttpRequest&, const HttpResponder&) { return false; };

  // Called when the planned stop begins.
  std::function<void()> on_drain = [] {};

  // Called when the planned stop has nothing in progress any more. Requests
  // that still come are answered as before, until Finish.
  std::function<void()> on_drained = [] {};

  // Called after Finish, when all answers have left.
  std::function<void()> on_stopped = [] {};
};

// Everything runs on the thread that runs the io_context.
class EntryInstance {
 public:
  EntryInstance(boost::asio::io_context& io, EntryInstanceOptions options);
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  // Listens and starts the reducer; an error if an address can't be had.
  std::optional<NetError> Start();

  // Begins the planned stop.
  void Drain();

  // Ends the connections of callers, when all that was read is answered, by
  // `other_servers` too. on_stopped follows.
  void Finish(std::vector<HttpServer*> other_servers = {});

  // The bound ports; 0 before Start.
  std::uint16_t callers_port() const { return callers_port_; }
  std::uint16_t peers_port() const { return peers_port_; }

 private:
  ShellHooks MakeShellHooks();
  CallerEdgeOptions MakeCallerOptions();
  PeerClientOptions MakePeerClientOptions();
  HttpServerOptions MakeCallerServerOptions() const;
  std::optional<NetError> ListenForCallers();
  std::optional<NetError> ListenForPeers();
  void HandlePeerRequest(const HttpRequest& request,
                         const HttpResponder& responder);
  void LogListening(const char* edge, const std::string& address);
  std::string DumpText() const;
  std::string HealthText() const;
  std::string MetricsText();
  void ArmHousekeeping();
  void KeepHouse();
  void BeginDrain();

  boost::asio::io_context& io_;
  EntryInstanceOptions options_;
  Logger logger_;
  ProcessMetrics metrics_;
  Shell shell_;
  CallerEdge callers_;
  WorkerEdge workers_;
  PlatformEdge platform_;
  PeerClient peer_client_;
  PeerServer peer_server_;
  std::optional<HttpServer> caller_http_;
  std::optional<HttpServer> peer_http_;
  SteadyTimer housekeeping_timer_;
  std::uint64_t housekeepings_ = 0;
  std::uint16_t callers_port_ = 0;
  std::uint16_t peers_port_ = 0;
  std::optional<ServerStop> stop_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_ENTRY_INSTANCE_H_
