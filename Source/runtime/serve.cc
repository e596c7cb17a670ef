#include "runtime/serve.h"

#include <csignal>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <unistd.h>

#include <fmt/format.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "config/process_settings.h"
#include "observe/standard_output.h"
#include "runtime/clock.h"
#include "runtime/entry_instance.h"
#include "runtime/incarnation.h"
#include "runtime/steps_instance.h"

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

// What identifies one run of the process.
struct Life {
  std::string incarnation;
  std::uint64_t seed = 1;
};

Life BeginLife() {
  const std::uint64_t now = WallMicroseconds();
  const auto process_id = static_cast<std::uint32_t>(getpid());
  return {.incarnation = MakeIncarnation(now, process_id),
          .seed = now ^ (static_cast<std::uint64_t>(process_id) << 32U)};
}

// The entry instance, and beside it the one for jobs of steps where the
// settings ask for it.
class Process {
 public:
  Process(boost::asio::io_context& io, const ProcessSettings& settings)
      : io_(io), instance_(io, MakeOptions(settings, BeginLife())) {}

  std::optional<NetError> Start() {
    auto error = steps_ ? steps_->Start() : std::nullopt;
    return error ? error : instance_.Start();
  }

  void Drain() { instance_.Drain(); }

 private:
  EntryInstanceOptions MakeOptions(const ProcessSettings& settings,
                                   const Life& life) {
    const auto log_sink = [this](std::string_view line) {
      output_.Write(line);
    };
    const auto on_drained = [this] { OnOneDrained(); };
    if (!settings.steps.store.empty()) {
      ++running_;
      steps_.emplace(io_, StepsInstanceOptions{.settings = settings,
                                               .incarnation = life.incarnation,
                                               .seed = life.seed,
                                               .log_sink = log_sink,
                                               .on_drained = on_drained});
    }
    return {
        .settings = settings,
        .incarnation = life.incarnation,
        .seed = life.seed,
        .log_sink = log_sink,
        .other_work =
            [this](const HttpRequest& request, const HttpResponder& responder) {
              return steps_ && steps_->Handle(request, responder);
            },
        .on_drain = [this] { DrainSteps(); },
        .on_drained = on_drained,
        .on_stopped = [this] { io_.stop(); }};
  }

  void DrainSteps() {
    if (steps_) {
      steps_->Drain();
    }
  }

  // Either half answers its callers until the other one has drained too.
  void OnOneDrained() {
    if (--running_ > 0) {
      return;
    }
    instance_.Finish(steps_ ? steps_->servers() : std::vector<HttpServer*>());
  }

  boost::asio::io_context& io_;
  StandardOutput output_;
  int running_ = 1;  // instances that have not drained
  std::optional<StepsInstance> steps_;
  EntryInstance instance_;
};

int Run(const ProcessSettings& settings) {
  // A peer that closes while it is written to would end the process by
  // SIGPIPE; the write's error is dealt with instead.
  std::signal(SIGPIPE, SIG_IGN);
  // The settings are read at the start only; a signal to read them again must
  // not end the process.
  std::signal(SIGHUP, SIG_IGN);
  boost::asio::io_context io(1);
  Process process(io, settings);
  if (const auto error = process.Start()) {
    fmt::print(stderr, "{}\n", error->message);
    return kFailed;
  }
  const StopSignals signals(io, [&process] { process.Drain(); });
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
