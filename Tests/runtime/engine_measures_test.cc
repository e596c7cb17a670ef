// What the process measures of the engine: its queue, its timer, and what is
// open.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "engine/reducer.h"
#include "runtime/clock.h"
#include "runtime/engine_dump.h"
#include "runtime/engine_shell.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A shell whose effects go nowhere, and what it measured.
struct MeasuredShell {
  boost::asio::io_context io{};
  std::vector<Duration> waited{};
  std::vector<Duration> late{};
  EngineShell shell{
      io, engine::MakeState({.self = {.incarnation = "n0-1", .node = "n0"}}),
      EngineShellHooks{
          .edges = {.call_store = [](const engine::CallStore&) {},
                    .call_worker = [](const engine::CallWorker&) {},
                    .call_advice = [](const engine::CallAdvice&) {},
                    .call_machines = [](const engine::CallMachines&) {},
                    .answer_caller = [](const engine::AnswerCaller&) {}},
          .send_peer = [](const engine::SendPeer&) {},
          .write_log = [](const engine::WriteLog&) {},
          .end_process = [] {},
          .note_span = [](const engine::RecordSpan&) {},
          .step_took = [](Duration) {},
          .event_waited = [this](Duration it) { waited.push_back(it); },
          .timer_late = [this](Duration it) { late.push_back(it); }}};
};

bool HasLine(const Metrics& metrics, const std::string& line) {
  return metrics.ToText().find("\n" + line + "\n") != std::string::npos;
}

// A step of the reducer took 1.5 to 2 ms on instances of 0.12 cores, and
// nothing told how long an event had waited for its step.
TEST_CASE("The time of an event in the queue is measured from its arrival") {
  MeasuredShell measured;
  const Time before = SteadyNow();
  measured.shell.Handle(engine::TimePassed(), before - milliseconds(70));
  measured.shell.Handle(engine::TimePassed());
  REQUIRE(measured.waited.size() == 2);
  CHECK(measured.waited[0] >= milliseconds(70));
  CHECK(measured.waited[0] <= SteadyNow() - before + milliseconds(70));
  CHECK(measured.waited[1] >= Duration(0));
  CHECK(measured.waited[1] <= SteadyNow() - before);
}

TEST_CASE("A thread that is busy shows in the lateness of the timer") {
  static constexpr Duration kBusy = milliseconds(100);
  MeasuredShell measured;
  measured.shell.Handle(engine::TimePassed());  // arms the timer
  boost::asio::post(measured.io, [] {
    const Time until = SteadyNow() + kBusy;
    while (SteadyNow() < until) {
    }
  });
  while (measured.late.empty()) {
    measured.io.run_one();
  }
  // The timer was due 25 ms from the event on.
  CHECK(measured.late[0] >= kBusy - milliseconds(30));
  CHECK(measured.waited.size() == 2);
}

TEST_CASE("What is open, and since when, is served as gauges") {
  engine::State state = engine::MakeState({.self = {.incarnation = "n0-1"}});
  engine::Job job{.id = "j1", .created = seconds(90), .recovering = true};
  engine::Task stopping{.phase = engine::TaskPhase::kRunning,
                        .worker = "w1",
                        .stopping = true,
                        .stopping_since = seconds(96)};
  stopping.copy =
      engine::TaskCopy{.stopping = true, .stopping_since = seconds(95)};
  job.occurrences.resize(1);
  job.occurrences[0].steps.push_back({.tasks = {engine::Task(), stopping}});
  state.jobs.emplace("j1", job);
  state.active.insert("j1");
  state.owned["w1"] = {.claimed = true};
  state.owned["w1"].runs["j2.0.0.0"] = {.phase = engine::RunPhase::kStopping,
                                        .since = seconds(99)};
  state.owned["w2"] = {.unresponsive_since = seconds(80)};
  Metrics metrics;
  SetEngineMetrics(metrics, state, seconds(100));
  CHECK(HasLine(metrics, "burdockrock_recovering_jobs 1"));
  CHECK(HasLine(metrics, "burdockrock_oldest_recovery_seconds 10"));
  CHECK(HasLine(metrics, "burdockrock_open_claims 1"));
  CHECK(HasLine(metrics, "burdockrock_open_stops{side=\"job\"} 2"));
  CHECK(HasLine(metrics, "burdockrock_open_stops{side=\"worker\"} 1"));
  CHECK(HasLine(metrics, "burdockrock_oldest_stop_seconds{side=\"job\"} 5"));
  CHECK(HasLine(metrics, "burdockrock_oldest_stop_seconds{side=\"worker\"} 1"));

  // Gauges fall when it is over.
  state.active.clear();
  state.owned.clear();
  SetEngineMetrics(metrics, state, seconds(101));
  CHECK(HasLine(metrics, "burdockrock_recovering_jobs 0"));
  CHECK(HasLine(metrics, "burdockrock_oldest_recovery_seconds 0"));
  CHECK(HasLine(metrics, "burdockrock_open_claims 0"));
  CHECK(HasLine(metrics, "burdockrock_open_stops{side=\"job\"} 0"));
  CHECK(HasLine(metrics, "burdockrock_oldest_stop_seconds{side=\"worker\"} 0"));
}

TEST_CASE("What keeps a team's cap from use is served, and falls to 0") {
  engine::State state = engine::MakeState({.self = {.incarnation = "n0-1"}});
  engine::QuotaHolder applies{.grant = 4};
  engine::NoteApplied(seconds(90), 4, applies);
  engine::QuotaHolder refuses{.grant = 3};
  engine::NoteApplied(seconds(90), 1, refuses);
  engine::NoteApplied(seconds(99), 1, refuses);
  state.quota.highest_claims["red"] = 7;
  state.quota.accounts["red"].ledger = {
      .claim = 7,
      .settled = true,
      .holders = {{"n1-1", applies}, {"n2-1", refuses}},
      .left = {.processors_milli = 5000},
      .unclaimed = {.processors_milli = 3000}};
  state.totals.refused_grants = 2;
  Metrics metrics;
  SetEngineMetrics(metrics, state, seconds(100));
  CHECK(HasLine(
      metrics, "burdockrock_team_blocked_processors_milli{team=\"red\"} 3000"));
  CHECK(HasLine(metrics, "burdockrock_team_unapplied_grants{team=\"red\"} 1"));
  CHECK(HasLine(metrics, "burdockrock_grants_refused_total 2"));

  state.quota.accounts.clear();
  SetEngineMetrics(metrics, state, seconds(101));
  CHECK(HasLine(metrics,
                "burdockrock_team_blocked_processors_milli{team=\"red\"} 0"));
  CHECK(HasLine(metrics, "burdockrock_team_unapplied_grants{team=\"red\"} 0"));
}

}  // namespace

}  // namespace burdockrock
