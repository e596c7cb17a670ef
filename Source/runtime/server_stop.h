// The end of a planned stop: the process goes on until every request that one
// of its servers has read is answered and every caller's connection has ended.
#ifndef BURDOCKROCK_RUNTIME_SERVER_STOP_H_
#define BURDOCKROCK_RUNTIME_SERVER_STOP_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "model/time.h"
#include "net/http_server.h"
#include "net/tcp.h"
#include "observe/log_format.h"

namespace burdockrock {

// What was left when the wait ended; zeros unless its deadline has passed.
struct ServerStopOutcome {
  std::size_t unanswered = 0;   // requests
  std::size_t connections = 0;  // of callers
  Duration took{0};

  auto operator<=>(const ServerStopOutcome&) const = default;
};

// The log line that ends a process.
LogLine StoppedLine(const ServerStopOutcome& outcome);

struct ServerStopOptions {
  // Their connections are ended, each after an answer if it still gets one.
  std::vector<HttpServer*> callers{};
  // Their requests are answered; their connections may stay open.
  std::vector<HttpServer*> others{};
  // For requests without an answer shortly before the deadline: whether they
  // have run is not known.
  HttpResponse last_answer{};
  // Messages of this process have left.
  std::function<bool()> messages_sent = [] { return true; };
  std::function<void(const ServerStopOutcome&)> on_done{};
};

// Everything runs on the thread that runs the io_context. The servers must
// outlive it.
class ServerStop {
 public:
  ServerStop(boost::asio::io_context& io, ServerStopOptions options);
  ServerStop(const ServerStop&) = delete;
  ServerStop& operator=(const ServerStop&) = delete;

  // From now on each answer is its connection's last. Connections are still
  // accepted, so that no caller is turned away before the balancer knows.
  void Announce();

  // Ends the connections; calls on_done once, at `deadline` at the latest, but
  // not before what is left has been sent its last answer.
  void Finish(Time deadline);

 private:
  ServerStopOutcome Outcome() const;
  void GiveUp();
  void Check();

  ServerStopOptions options_;
  SteadyTimer timer_;
  bool finishing_ = false;
  bool gave_up_ = false;
  Time began_{0};
  Time deadline_ = kForever;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_SERVER_STOP_H_
