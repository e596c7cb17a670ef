// Runs the reducer: hands it events and carries out its effects.
#ifndef BURDOCKROCK_RUNTIME_SHELL_H_
#define BURDOCKROCK_RUNTIME_SHELL_H_

#include <deque>
#include <functional>

#include "model/time.h"
#include "net/tcp.h"
#include "scheduler/effect.h"
#include "scheduler/event.h"
#include "scheduler/state.h"

namespace burdockrock {

// One for each effect. They may call Shell::Handle.
struct ShellHooks {
  std::function<void(const AnswerCaller&)> answer_caller{};
  std::function<void(const CallPlatform&)> call_platform{};
  std::function<void(const CallWorker&)> call_worker{};
  std::function<void(const SendPeer&)> send_peer{};
  std::function<void(const WriteLog&)> write_log{};
  std::function<void(const WaitingMeasured&)> waiting_measured{};
  std::function<void(const StopProcess&)> stop_process{};
  std::function<void(Duration)> step_took{};
};

class Shell {
 public:
  Shell(boost::asio::io_context& io, State state, ShellHooks hooks);
  Shell(const Shell&) = delete;
  Shell& operator=(const Shell&) = delete;

  // Applies the event and all that comes of it. Within an effect it only
  // queues the event: the reducer is never entered twice at once.
  void Handle(EventBody event);

  const State& state() const { return state_; }

 private:
  void Apply(EventBody event);
  void CarryOut(const Effect& effect) const;
  void ArmTimer();
  void OnTimer();

  State state_;
  ShellHooks hooks_;
  std::deque<EventBody> queue_;
  bool running_ = false;
  SteadyTimer timer_;
  Time armed_for_ = kForever;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_SHELL_H_
