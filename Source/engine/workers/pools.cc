#include "engine/workers/pools.h"

#include <algorithm>

#include "engine/jobs/caller_requests.h"
#include "engine/jobs/job_runs.h"

namespace burdockrock::engine {

namespace {

// Between two moves, so that the effect of the last one shows first.
constexpr Duration kMoveInterval = milliseconds(2000);
constexpr Duration kPrepareRepeat = milliseconds(500);

bool HasWaiting(const State& state, const std::string& service) {
  return std::any_of(state.configuration.queues.begin(),
                     state.configuration.queues.end(),
                     [&](const QueuePolicy& queue) {
                       return queue.service == service &&
                              CountWaiting(state, queue.name) +
                                      CountWaitingElsewhere(state, queue.name) >
                                  0;
                     });
}

MoveMachine CommandOf(const Context& context, const PoolMove& move) {
  return {.machine = move.machine,
          .pool = move.pool,
          .fence = context.state.members.fence};
}

}  // namespace

bool HasStandby(const State& state) {
  const auto& services = state.configuration.services;
  return std::any_of(services.begin(), services.end(),
                     [](const ServicePolicy& it) { return it.standby; });
}

void UpdatePressure(Context& context) {
  PoolsState& pools = context.state.pools;
  for (const ServicePolicy& it : context.state.configuration.services) {
    if (!it.standby) {
      PoolPressure& pressure = pools.pressure[it.name];
      pressure = AddPressure(pressure, context.now,
                             HasWaiting(context.state, it.name));
    }
  }
}

std::optional<MoveMachine> NextMove(Context& context) {
  PoolsState& pools = context.state.pools;
  if (!HasPassed(context.now, pools.moved_at, kMoveInterval)) {
    return std::nullopt;
  }
  const PoolView view{.configuration = &context.state.configuration,
                      .machines = &context.state.upkeep.machines,
                      .pressure = pools.pressure,
                      .borrowed = pools.borrowed,
                      .impossible = pools.impossible};
  if (const auto in = ChooseMoveIn(view, context.now)) {
    pools.moved_at = context.now;
    pools.borrowed[in->machine] =
        context.state.upkeep.machines.at(in->machine).pool;
    return CommandOf(context, *in);
  }
  const auto back = ChooseMoveBack(view, context.now);
  if (!back) {
    return std::nullopt;
  }
  const std::string worker =
      context.state.upkeep.machines.at(back->machine).worker;
  if (pools.emptied.contains(worker)) {
    pools.moved_at = context.now;
    return CommandOf(context, *back);
  }
  const std::string owner = OwnerOfWorker(context, worker);
  if (!owner.empty() &&
      HasPassed(context.now, pools.prepare_sent_at, kPrepareRepeat)) {
    pools.prepare_sent_at = context.now;
    Send(context, owner, PrepareWorker{.worker = worker});
  }
  return std::nullopt;
}

void OnMoveAnswer(Context& context,
                  const MoveMachine& command,
                  const MachineAnswer& answer) {
  PoolsState& pools = context.state.pools;
  const auto borrowed = pools.borrowed.find(command.machine);
  const bool back =
      borrowed != pools.borrowed.end() && borrowed->second == command.pool;
  if (const auto* refused = std::get_if<MachineRefused>(&answer)) {
    if (refused->kind == MachineRefusalKind::kInvalid) {
      pools.impossible.insert({command.machine, command.pool});
      pools.borrowed.erase(command.machine);
    }
  } else if (std::holds_alternative<MachineTaken>(answer) && back) {
    pools.borrowed.erase(borrowed);
  }
  // Without a reply it counts as moved; the next listing shows its pool.
  context.Log(
      EventNumber::kMachineMoved,
      {{"machine", command.machine},
       {"pool", command.pool},
       {"fence", std::to_string(command.fence)},
       {"done", std::holds_alternative<MachineTaken>(answer) ? "1" : "0"}});
}

}  // namespace burdockrock::engine
