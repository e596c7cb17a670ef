#include "runtime/engine_shell.h"

#include <utility>

#include "runtime/clock.h"

namespace burdockrock {

EngineShell::EngineShell(boost::asio::io_context& io,
                         engine::State state,
                         EngineShellHooks hooks)
    : state_(std::move(state)), hooks_(std::move(hooks)), timer_(io) {}

void EngineShell::Handle(engine::EventBody event) {
  Handle(std::move(event), SteadyNow());
}

void EngineShell::Handle(engine::EventBody event, Time arrived) {
  Handle(Arrival{.event = std::move(event), .at = arrived});
}

void EngineShell::Handle(Arrival arrival) {
  queue_.push_back(std::move(arrival));
  if (running_) {
    return;
  }
  running_ = true;
  while (!queue_.empty()) {
    Arrival next = std::move(queue_.front());
    queue_.pop_front();
    Apply(std::move(next));
  }
  running_ = false;
  ArmTimer();
}

void EngineShell::Apply(Arrival arrival) {
  const Time start = SteadyNow();
  hooks_.event_waited(start - arrival.at);
  const engine::Effects effects = engine::Step(
      state_, engine::Event{.now = start,
                            .wall_ms = static_cast<std::int64_t>(
                                WallMicroseconds() / 1000),
                            .body = std::move(arrival.event),
                            .took_before = took_before_,
                            .waited = start - arrival.at + arrival.late});
  hooks_.step_took(SteadyNow() - start);
  for (const engine::Effect& it : effects) {
    CarryOut(it);
  }
  took_before_ = SteadyNow() - start;
}

void EngineShell::CarryOut(const engine::Effect& effect) const {
  struct Visitor {
    const EngineShellHooks& hooks;
    void operator()(const engine::AnswerCaller& it) {
      hooks.edges.answer_caller(it);
    }
    void operator()(const engine::CallStore& it) { hooks.edges.call_store(it); }
    void operator()(const engine::CallWorker& it) {
      hooks.edges.call_worker(it);
    }
    void operator()(const engine::CallAdvice& it) {
      hooks.edges.call_advice(it);
    }
    void operator()(const engine::CallMachines& it) {
      hooks.edges.call_machines(it);
    }
    void operator()(const engine::SendPeer& it) { hooks.send_peer(it); }
    void operator()(const engine::WriteLog& it) { hooks.write_log(it); }
    void operator()(const engine::RecordSpan& it) { hooks.note_span(it); }
    void operator()(const engine::ApplyLimits& it) {
      hooks.edges.apply_limits(it);
    }
    void operator()(const engine::EndProcess&) { hooks.end_process(); }
  };
  std::visit(Visitor{hooks_}, effect);
}

// Set only when it has to fire earlier than it would: that is cheaper than
// setting it anew after each event.
void EngineShell::ArmTimer() {
  const Time next = engine::NextTime(state_, SteadyNow());
  if (next >= armed_for_) {
    return;
  }
  armed_for_ = next;
  timer_.expires_after(next - SteadyNow());
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      const Time now = SteadyNow();
      const Duration late = now - armed_for_;
      hooks_.timer_late(late);
      armed_for_ = kForever;
      Handle(Arrival{.event = engine::TimePassed(), .at = now, .late = late});
    }
  });
}

}  // namespace burdockrock
