// Serves one worker or minion over HTTP.
#ifndef BURDOCKROCK_STANDIN_WORKER_SERVER_H_
#define BURDOCKROCK_STANDIN_WORKER_SERVER_H_

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <json/value.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "model/time.h"
#include "model/work.h"
#include "net/http_server.h"
#include "standin/delay_queue.h"
#include "standin/worker_model.h"

namespace burdockrock::standin {

// Faults of the server beside those of the worker model.
struct WorkerServerFaults {
  // Commands arrive so much later.
  Duration slow{0};
  // So many of the next answers are not JSON.
  std::uint32_t garbage_answers = 0;

  auto operator<=>(const WorkerServerFaults&) const = default;
};

class WorkerServer {
 public:
  // `delays` must outlive the server.
  WorkerServer(boost::asio::io_context& io,
               InstanceInfo info,
               WorkerOptions options,
               DelayQueue& delays);

  // Nothing when it listens.
  std::optional<NetError> Listen();
  // Cuts all connections and takes no new ones until Listen.
  void Close();

  // Loses all attempts and cuts all connections.
  void Crash(bool forget_epoch);
  // A paused worker reads the commands that came meanwhile when it goes on.
  void SetPaused(bool paused);

  const InstanceInfo& info() const { return info_; }
  WorkerModel& worker() { return worker_; }
  const WorkerModel& worker() const { return worker_; }
  WorkerServerFaults& faults() { return faults_; }

 private:
  struct Call {
    HttpRequest request;
    HttpServer::Responder respond;
  };
  using Route = void (WorkerServer::*)(const Call&, const Json::Value&, Time);
  struct HeldRenewal {
    RenewCommand command;
    HttpServer::Responder respond;
    Time deadline{0};
  };

  // Null when there is no such call.
  static Route FindRoute(const HttpRequest& request);
  void OnRequest(Call call);
  void Dispatch(const Call& call, Time now);
  void Run(const Call& call, const Json::Value& body, Time now);
  void Renew(const Call& call, const Json::Value& body, Time now);
  // For commands that are answered at once.
  template <auto decode, auto method>
  void CarryOut(const Call& call, const Json::Value& body, Time now);
  void Answer(const HttpServer::Responder& respond,
              std::optional<HttpResponse> response);
  void Pump(Time now);
  void AnswerHeldRenewals(Time now);
  void Arm();

  boost::asio::io_context& io_;
  InstanceInfo info_;
  WorkerModel worker_;
  WorkerServerFaults faults_;
  DelayQueue& delays_;
  boost::asio::steady_timer timer_;
  Time armed_for_ = kForever;
  std::unique_ptr<HttpServer> server_;
  // Counts the calls of Close. Commands that were still under way then are
  // lost, like their connections.
  std::uint64_t closes_ = 0;
  std::vector<Call> calls_in_pause_;
  std::list<HeldRenewal> renewals_;
};

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_WORKER_SERVER_H_
