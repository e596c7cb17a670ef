// Gets requests about jobs of steps from an HTTP server and gives the engine's
// answers back. How they look on the wire is a codec's.
#ifndef BURDOCKROCK_RUNTIME_ENGINE_CALLERS_H_
#define BURDOCKROCK_RUNTIME_ENGINE_CALLERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <variant>

#include "engine/event.h"
#include "net/http_message.h"
#include "net/http_server_options.h"
#include "observe/log.h"

namespace burdockrock {

struct EngineCallerCodec {
  // The response is the refusal of a request that can't be read.
  std::function<std::variant<engine::CallerRequest, HttpResponse>(
      const HttpRequest&)>
      decode{};
  std::function<HttpResponse(const engine::CallerRequest&,
                             const engine::CallerAnswer&)>
      encode{};
};

struct EngineCallersOptions {
  EngineCallerCodec codec{};
  std::function<void(engine::EventBody)> on_event{};
  std::function<void(const LogLine&)> log{};
};

class EngineCallers {
 public:
  explicit EngineCallers(EngineCallersOptions options);
  EngineCallers(const EngineCallers&) = delete;
  EngineCallers& operator=(const EngineCallers&) = delete;

  void Handle(const HttpRequest& request, const HttpResponder& responder);

  // An answer whose call is not known is dropped: its caller has had one.
  void Answer(const engine::AnswerCaller& answer);

  // Logs what the server dealt with itself.
  void OnProblem(const HttpServerProblem& problem) const;

  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    engine::CallerRequest request{};  // without its spec
    HttpResponder responder{};
  };

  EngineCallersOptions options_;
  std::uint64_t last_call_ = 0;
  std::map<std::uint64_t, Waiting> waiting_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_ENGINE_CALLERS_H_
