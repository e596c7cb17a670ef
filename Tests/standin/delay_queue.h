// Calls functions after a delay, all over one timer.
#ifndef BURDOCKROCK_STANDIN_DELAY_QUEUE_H_
#define BURDOCKROCK_STANDIN_DELAY_QUEUE_H_

#include <functional>
#include <map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "model/time.h"
#include "net/http_server_options.h"

namespace burdockrock::standin {

// The monotonic clock.
Time MonotonicNow();

class DelayQueue {
 public:
  explicit DelayQueue(boost::asio::io_context& io);

  // Calls `function` at once when `delay` is 0, without a turn of the loop.
  void After(Duration delay, std::function<void()> function);

  // For an answer that is to get lost. Its connection would stay open for ever
  // after the client has given up, until no file descriptor is left; so it is
  // answered with 504 when every client must have given up.
  void Lose(HttpResponder respond);

 private:
  void Arm();
  void OnTimer();

  boost::asio::steady_timer timer_;
  Time armed_for_ = kForever;
  std::multimap<Time, std::function<void()>> queue_;
};

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_DELAY_QUEUE_H_
