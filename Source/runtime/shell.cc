#include "runtime/shell.h"

#include <utility>

#include "runtime/clock.h"
#include "scheduler/reducer.h"

namespace burdockrock {

Shell::Shell(boost::asio::io_context& io, State state, ShellHooks hooks)
    : state_(std::move(state)), hooks_(std::move(hooks)), timer_(io) {}

void Shell::Handle(EventBody event) {
  queue_.push_back(std::move(event));
  if (running_) {
    return;
  }
  running_ = true;
  while (!queue_.empty()) {
    EventBody next = std::move(queue_.front());
    queue_.pop_front();
    Apply(std::move(next));
  }
  running_ = false;
  ArmTimer();
}

void Shell::Apply(EventBody event) {
  const Time start = SteadyNow();
  const Effects effects =
      Step(state_, Event{.now = start, .body = std::move(event)});
  hooks_.step_took(SteadyNow() - start);
  for (const Effect& it : effects) {
    CarryOut(it);
  }
}

void Shell::CarryOut(const Effect& effect) const {
  struct Visitor {
    const ShellHooks& hooks;
    void operator()(const AnswerCaller& it) { hooks.answer_caller(it); }
    void operator()(const CallPlatform& it) { hooks.call_platform(it); }
    void operator()(const CallWorker& it) { hooks.call_worker(it); }
    void operator()(const SendPeer& it) { hooks.send_peer(it); }
    void operator()(const WriteLog& it) { hooks.write_log(it); }
    void operator()(const WaitingMeasured& it) { hooks.waiting_measured(it); }
    void operator()(const StopProcess& it) { hooks.stop_process(it); }
  };
  std::visit(Visitor{hooks_}, effect);
}

// Sets the timer only when it has to fire earlier than it would. One that
// fires too early finds that out: that is cheaper than setting it anew after
// each of thousands of events a second.
void Shell::ArmTimer() {
  const Time next = NextTime(state_);
  if (next >= armed_for_) {
    return;
  }
  armed_for_ = next;
  timer_.expires_after(next - SteadyNow());
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      OnTimer();
    }
  });
}

void Shell::OnTimer() {
  armed_for_ = kForever;
  if (NextTime(state_) <= SteadyNow()) {
    Handle(TimerFired());
  } else {
    ArmTimer();
  }
}

}  // namespace burdockrock
