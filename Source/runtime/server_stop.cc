#include "runtime/server_stop.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "runtime/clock.h"

namespace burdockrock {

namespace {

constexpr Duration kPoll = std::chrono::milliseconds(20);
// Lets the last answers leave before the deadline.
constexpr Duration kLastAnswerTime = std::chrono::milliseconds(200);

}  // namespace

LogLine StoppedLine(const ServerStopOutcome& outcome) {
  return {
      .number = EventNumber::kStopped,
      .fields = {{"unanswered", std::to_string(outcome.unanswered)},
                 {"connections", std::to_string(outcome.connections)},
                 {"took_ms", std::to_string(ToMilliseconds(outcome.took))}}};
}

ServerStop::ServerStop(boost::asio::io_context& io, ServerStopOptions options)
    : options_(std::move(options)), timer_(io) {}

void ServerStop::Announce() {
  for (HttpServer* it : options_.callers) {
    it->AnnounceStop();
  }
}

void ServerStop::Finish(Time deadline) {
  if (std::exchange(finishing_, true)) {
    return;
  }
  began_ = SteadyNow();
  deadline_ = std::max(deadline, began_ + kLastAnswerTime);
  for (HttpServer* it : options_.callers) {
    it->StopAccepting();
  }
  for (HttpServer* it : options_.others) {
    it->AnnounceStop();
  }
  Check();
}

ServerStopOutcome ServerStop::Outcome() const {
  ServerStopOutcome outcome{.took = SteadyNow() - began_};
  for (const HttpServer* it : options_.callers) {
    outcome.unanswered += it->unanswered_count();
    outcome.connections += it->connection_count();
  }
  for (const HttpServer* it : options_.others) {
    outcome.unanswered += it->unanswered_count();
  }
  return outcome;
}

void ServerStop::GiveUp() {
  if (std::exchange(gave_up_, true)) {
    return;
  }
  for (HttpServer* it : options_.callers) {
    it->AnswerAll(options_.last_answer);
  }
}

void ServerStop::Check() {
  const ServerStopOutcome outcome = Outcome();
  if (SteadyNow() >= deadline_ - kLastAnswerTime) {
    GiveUp();
  }
  const bool all_ended =
      outcome.unanswered == 0 && outcome.connections == 0 &&
      std::ranges::none_of(options_.callers, &HttpServer::is_accepting) &&
      options_.messages_sent();
  if (all_ended || SteadyNow() >= deadline_) {
    return options_.on_done(outcome);
  }
  timer_.expires_after(kPoll);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Check();
    }
  });
}

}  // namespace burdockrock
