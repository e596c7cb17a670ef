#include "runtime/serve.h"

#include <csignal>
#include <cstdio>
#include <functional>
#include <utility>
#include <variant>

#include <unistd.h>

#include <fmt/format.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "config/process_settings.h"
#include "runtime/clock.h"
#include "runtime/entry_instance.h"
#include "runtime/incarnation.h"

namespace burdockrock {

namespace {

constexpr int kFailed = 1;

// The first signal drains, the second one stops.
class StopSignals {
 public:
  StopSignals(boost::asio::io_context& io, std::function<void()> drain)
      : io_(io), drain_(std::move(drain)), signals_(io, SIGTERM, SIGINT) {
    Await();
  }

 private:
  void Await() {
    signals_.async_wait([this](boost::system::error_code ec, int /*number*/) {
      if (!ec) {
        OnSignal();
      }
    });
  }

  void OnSignal() {
    if (std::exchange(draining_, true)) {
      io_.stop();
      return;
    }
    Await();
    drain_();
  }

  boost::asio::io_context& io_;
  std::function<void()> drain_;
  boost::asio::signal_set signals_;
  bool draining_ = false;
};

int Run(const ProcessSettings& settings) {
  // A peer that closes while it is written to would end the process by
  // SIGPIPE; the write's error is dealt with instead.
  std::signal(SIGPIPE, SIG_IGN);
  const std::uint64_t now = WallMicroseconds();
  const auto process_id = static_cast<std::uint32_t>(getpid());

  boost::asio::io_context io(1);
  EntryInstance instance(
      io, {.settings = settings,
           .incarnation = MakeIncarnation(now, process_id),
           .seed = now ^ (static_cast<std::uint64_t>(process_id) << 32U),
           .on_stopped = [&io] { io.stop(); }});
  if (const auto error = instance.Start()) {
    fmt::print(stderr, "{}\n", error->message);
    return kFailed;
  }
  const StopSignals signals(io, [&instance] { instance.Drain(); });
  io.run();
  return 0;
}

}  // namespace

int Serve(const ServeOptions& options) {
  const auto settings = LoadProcessSettings(options.settings_file);
  if (const auto* errors = std::get_if<SettingErrors>(&settings)) {
    for (const SettingError& it : *errors) {
      fmt::print(stderr, "{}\n", ToString(it));
    }
    return kFailed;
  }
  return Run(std::get<ProcessSettings>(settings));
}

}  // namespace burdockrock
