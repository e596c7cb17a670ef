// Serves callers and operators: docs/design/protocols.md gives the calls.
#ifndef BURDOCKROCK_RUNTIME_CALLER_EDGE_H_
#define BURDOCKROCK_RUNTIME_CALLER_EDGE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "net/http_message.h"
#include "net/http_server_options.h"
#include "observe/log.h"
#include "runtime/edge_traffic.h"
#include "scheduler/effect.h"
#include "scheduler/event.h"
#include "wire/decode_error.h"

namespace burdockrock {

struct CallerEdgeOptions {
  // Calls that wait for an answer at once; above it callers are sent away.
  std::size_t max_waiting = 20'000;

  std::function<void(EventBody)> on_event{};
  std::function<void(const LogLine&)> log{};

  // The bodies of GET /v1/dump, /v1/health and /metrics.
  std::function<std::string()> dump{};
  std::function<std::string()> health{};
  std::function<std::string()> metrics{};
};

// Gets requests from an HTTP server and gives the reducer's answers back.
class CallerEdge {
 public:
  explicit CallerEdge(CallerEdgeOptions options);

  void Handle(HttpRequest request, HttpResponder responder);

  // An answer whose reply is not known is dropped: its caller has had one.
  void Answer(const AnswerCaller& answer);

  // Logs what the server dealt with itself.
  void OnProblem(const HttpServerProblem& problem) const;

  std::size_t waiting() const { return waiting_.size(); }
  EdgeTraffic traffic() const { return traffic_; }

 private:
  struct Call {
    HttpRequest request;
    HttpResponder responder;
    std::string_view id;  // the end of the path, where the call has one
  };
  struct Route;

  static const Route kRoutes[];

  void PostRequest(Call& call);
  void PostJob(Call& call);
  void GetWork(Call& call);
  void DeleteWork(Call& call);
  void GetConfig(Call& call);
  void PutConfig(Call& call);
  void PostDrain(Call& call);
  void GetDump(Call& call);
  void GetHealth(Call& call);
  void GetMetrics(Call& call);

  void RefuseRoute(Call& call, const std::string& methods);
  void RefuseBody(Call& call, const DecodeErrors& errors);
  void Respond(const HttpResponder& responder, HttpResponse response);

  // Keeps the responder until Answer; 0 if too many wait, which is answered.
  ReplyId Wait(Call& call);

  CallerEdgeOptions options_;
  std::unordered_map<ReplyId, HttpResponder> waiting_;
  ReplyId next_reply_ = 1;
  EdgeTraffic traffic_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_CALLER_EDGE_H_
