// Runs the engine's reducer: hands it events and carries out its effects.
#ifndef BURDOCKROCK_RUNTIME_ENGINE_SHELL_H_
#define BURDOCKROCK_RUNTIME_ENGINE_SHELL_H_

#include <deque>
#include <functional>

#include "engine/event.h"
#include "engine/reducer.h"
#include "model/time.h"
#include "net/tcp.h"

namespace burdockrock {

// What the engine meets the world with; one implementation for each kind of
// deployment. They may call EngineShell::Handle.
struct EngineEdges {
  std::function<void(const engine::CallStore&)> call_store{};
  std::function<void(const engine::CallWorker&)> call_worker{};
  std::function<void(const engine::CallAdvice&)> call_advice{};
  std::function<void(const engine::CallMachines&)> call_machines{};
  std::function<void(const engine::AnswerCaller&)> answer_caller{};
  std::function<void(const engine::ApplyLimits&)> apply_limits =
      [](const engine::ApplyLimits&) {};
};

struct EngineShellHooks {
  EngineEdges edges{};
  std::function<void(const engine::SendPeer&)> send_peer{};
  std::function<void(const engine::WriteLog&)> write_log{};
  std::function<void()> end_process{};
  std::function<void(const engine::RecordSpan&)> note_span{};
  std::function<void(Duration)> step_took{};
  // From an event's arrival to its step.
  std::function<void(Duration)> event_waited{};
  // How much later than its time the timer came up. All that waits for the
  // thread, or for the processor, waits about as long.
  std::function<void(Duration)> timer_late{};
};

class EngineShell {
 public:
  EngineShell(boost::asio::io_context& io,
              engine::State state,
              EngineShellHooks hooks);
  EngineShell(const EngineShell&) = delete;
  EngineShell& operator=(const EngineShell&) = delete;

  // Applies the event and all that comes of it. Within an effect it only
  // queues the event: the reducer is never entered twice at once. `arrived` is
  // when the process had all of the event.
  void Handle(engine::EventBody event, Time arrived);
  void Handle(engine::EventBody event);

  const engine::State& state() const { return state_; }

 private:
  struct Arrival {
    engine::EventBody event{};
    Time at{0};
    Duration late{0};  // of a timer
  };

  void Handle(Arrival arrival);
  void Apply(Arrival arrival);
  void CarryOut(const engine::Effect& effect) const;
  void ArmTimer();

  engine::State state_;
  EngineShellHooks hooks_;
  std::deque<Arrival> queue_;
  bool running_ = false;
  Duration took_before_{0};  // of the last event, with its effects
  SteadyTimer timer_;
  Time armed_for_ = kForever;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_ENGINE_SHELL_H_
