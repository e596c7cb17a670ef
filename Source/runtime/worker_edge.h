// Carries commands to workers and minions.
#ifndef BURDOCKROCK_RUNTIME_WORKER_EDGE_H_
#define BURDOCKROCK_RUNTIME_WORKER_EDGE_H_

#include <cstdint>
#include <functional>

#include "net/http_result.h"
#include "net/tcp.h"
#include "runtime/client_pool.h"
#include "runtime/edge_traffic.h"
#include "scheduler/effect.h"
#include "scheduler/event.h"
#include "wire/worker_codec.h"

namespace burdockrock {

class WorkerEdge {
 public:
  using OnAnswer = std::function<void(WorkerAnswered)>;

  // `on_answer` is called once for each call, never within Call.
  WorkerEdge(boost::asio::io_context& io, OnAnswer on_answer);

  void Call(const CallWorker& call);

  // Drops clients of workers that are no longer used. Call it from a timer.
  void Sweep() { pool_.Sweep(); }

  EdgeTraffic traffic() const;

  // Attempts that a worker or minion started.
  std::uint64_t starts() const { return starts_; }

 private:
  void OnResult(CallId call, WorkerCommandKind kind, const HttpResult& result);

  ClientPool pool_;
  OnAnswer on_answer_;
  std::uint64_t payload_bytes_ = 0;
  std::uint64_t starts_ = 0;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_WORKER_EDGE_H_
