// Jobs of steps beside the other kinds of work in one entry instance, on
// burdockrock's own store, workers and advice service.
#ifndef BURDOCKROCK_RUNTIME_STEPS_INSTANCE_H_
#define BURDOCKROCK_RUNTIME_STEPS_INSTANCE_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/process_settings.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "net/net_error.h"
#include "runtime/engine_callers.h"
#include "runtime/engine_clients.h"
#include "runtime/engine_instance.h"

namespace burdockrock {

struct StepsInstanceOptions {
  ProcessSettings settings{};  // with a section for steps
  std::string incarnation{};   // of the process
  std::uint64_t seed = 1;
  std::function<void(std::string_view)> log_sink = nullptr;
  // As of EngineInstance.
  std::function<void()> on_drained = [] {};
};

// Everything runs on the thread that runs the io_context.
class StepsInstance {
 public:
  StepsInstance(boost::asio::io_context& io,
                const StepsInstanceOptions& options);
  StepsInstance(const StepsInstance&) = delete;
  StepsInstance& operator=(const StepsInstance&) = delete;

  std::optional<NetError> Start() { return instance_.Start(); }

  // Begins the planned stop.
  void Drain() { instance_.Drain(); }

  // For the end of the process, as of EngineInstance.
  std::vector<HttpServer*> servers() { return instance_.servers(); }

  // Takes a caller's request about jobs of steps; false if it is another one.
  bool Handle(const HttpRequest& request, const HttpResponder& responder);

 private:
  EngineInstanceOptions MakeInstanceOptions(
      const StepsInstanceOptions& options);

  EngineClients clients_;
  EngineCallers callers_;
  EngineInstance instance_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_STEPS_INSTANCE_H_
