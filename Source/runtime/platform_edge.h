// Carries calls to the platform's key-value service.
#ifndef BURDOCKROCK_RUNTIME_PLATFORM_EDGE_H_
#define BURDOCKROCK_RUNTIME_PLATFORM_EDGE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "net/http_client.h"
#include "net/tcp.h"
#include "observe/log.h"
#include "runtime/edge_traffic.h"
#include "scheduler/effect.h"
#include "scheduler/event.h"

namespace burdockrock {

struct PlatformEdgeOptions {
  std::string address{};  // "IP:PORT"
  // Called once for each call, never within Call.
  std::function<void(PlatformAnswered)> on_answer{};
  std::function<void(const LogLine&)> log{};
};

class PlatformEdge {
 public:
  PlatformEdge(boost::asio::io_context& io, PlatformEdgeOptions options);

  void Call(const CallPlatform& call);

  EdgeTraffic traffic() const;

  // Calls since the start, a waiting watch as one.
  std::uint64_t calls() const { return calls_.calls() + watches_.calls(); }

 private:
  PlatformResult ToResult(const PlatformOperation& operation,
                          const HttpResult& result) const;
  void LogUnreadable(const PlatformResult& result) const;

  PlatformEdgeOptions options_;
  HttpClient calls_;
  // Waiting watches have connections of their own: they would hold those of
  // writes for seconds, and each write behind them would look like an outage.
  HttpClient watches_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_PLATFORM_EDGE_H_
