#include "standin/delay_queue.h"

#include <utility>

namespace burdockrock::standin {

namespace {

constexpr Duration kLoseFor = std::chrono::minutes(2);
constexpr int kGatewayTimeout = 504;

}  // namespace

Time MonotonicNow() {
  return std::chrono::duration_cast<Time>(
      std::chrono::steady_clock::now().time_since_epoch());
}

DelayQueue::DelayQueue(boost::asio::io_context& io) : timer_(io) {}

void DelayQueue::After(Duration delay, std::function<void()> function) {
  if (delay <= Duration(0)) {
    function();
    return;
  }
  queue_.emplace(MonotonicNow() + delay, std::move(function));
  Arm();
}

void DelayQueue::Lose(HttpResponder respond) {
  After(kLoseFor, [respond = std::move(respond)] {
    respond(HttpResponse{.status = kGatewayTimeout,
                         .body = "{}",
                         .content_type = "application/json",
                         .retry_after = std::nullopt});
  });
}

void DelayQueue::Arm() {
  if (queue_.empty() || queue_.begin()->first >= armed_for_) {
    return;
  }
  armed_for_ = queue_.begin()->first;
  timer_.expires_at(std::chrono::steady_clock::time_point(armed_for_));
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      OnTimer();
    }
  });
}

void DelayQueue::OnTimer() {
  armed_for_ = kForever;
  const Time now = MonotonicNow();
  while (!queue_.empty() && queue_.begin()->first <= now) {
    const std::function<void()> function = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    function();
  }
  Arm();
}

}  // namespace burdockrock::standin
