#include "standin/worker_server.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "net/address.h"
#include "net/json.h"
#include "standin/worker_codec.h"

namespace burdockrock::standin {

namespace {

constexpr int kNotFound = 404;
constexpr std::size_t kMaxBodyBytes = std::size_t{8} * 1024 * 1024;

HttpResponse NotFoundResponse() {
  return HttpResponse{.status = kNotFound,
                      .body = "{}",
                      .content_type = "application/json",
                      .retry_after = std::nullopt};
}

}  // namespace

WorkerServer::WorkerServer(boost::asio::io_context& io,
                           InstanceInfo info,
                           WorkerOptions options,
                           DelayQueue& delays)
    : io_(io),
      info_(std::move(info)),
      worker_(std::move(options)),
      delays_(delays),
      timer_(io) {}

std::optional<NetError> WorkerServer::Listen() {
  const auto address = ParseAddress(info_.address);
  if (const auto* error = std::get_if<NetError>(&address)) {
    return *error;
  }
  const auto& endpoint = std::get<TcpEndpoint>(address);
  HttpServerOptions options;
  options.address = endpoint.address().to_string();
  options.port = endpoint.port();
  options.max_body_bytes = kMaxBodyBytes;
  server_ = std::make_unique<HttpServer>(
      io_, options, [this](HttpRequest request, HttpServer::Responder respond) {
        OnRequest({std::move(request), std::move(respond)});
      });
  const auto listening = server_->Listen();
  if (const auto* error = std::get_if<NetError>(&listening)) {
    return *error;
  }
  return std::nullopt;
}

void WorkerServer::Close() {
  server_.reset();
  ++closes_;
  calls_in_pause_.clear();
  renewals_.clear();
}

void WorkerServer::Crash(bool forget_epoch) {
  Close();
  worker_.Crash(forget_epoch, MonotonicNow());
}

void WorkerServer::SetPaused(bool paused) {
  worker_.faults().paused = paused;
  const Time now = MonotonicNow();
  if (!paused) {
    for (const Call& it : std::exchange(calls_in_pause_, {})) {
      Dispatch(it, now);
    }
  }
  Pump(now);
}

void WorkerServer::OnRequest(Call call) {
  if (worker_.faults().paused) {
    calls_in_pause_.push_back(std::move(call));
    return;
  }
  if (faults_.slow <= Duration(0)) {
    const Time now = MonotonicNow();
    Dispatch(call, now);
    Pump(now);
    return;
  }
  delays_.After(faults_.slow, [this, call = std::move(call), at = closes_] {
    if (at != closes_) {
      return;
    }
    const Time now = MonotonicNow();
    Dispatch(call, now);
    Pump(now);
  });
}

WorkerServer::Route WorkerServer::FindRoute(const HttpRequest& request) {
  static const std::array<std::pair<std::string_view, Route>, 7> kRoutes = {{
      {"/v1/run", &WorkerServer::Run},
      {"/v1/start", &WorkerServer::CarryOut<DecodeStart, &WorkerModel::Start>},
      {"/v1/renew", &WorkerServer::Renew},
      {"/v1/stop", &WorkerServer::CarryOut<DecodeStop, &WorkerModel::Stop>},
      {"/v1/claim", &WorkerServer::CarryOut<DecodeClaim, &WorkerModel::Claim>},
      {"/v1/throttle",
       &WorkerServer::CarryOut<DecodeThrottle, &WorkerModel::Throttle>},
      {"/v1/checkpoint",
       &WorkerServer::CarryOut<DecodeCheckpoint, &WorkerModel::Checkpoint>},
  }};
  if (request.method != "POST") {
    return nullptr;
  }
  for (const auto& [path, route] : kRoutes) {
    if (path == request.path) {
      return route;
    }
  }
  return nullptr;
}

void WorkerServer::Dispatch(const Call& call, Time now) {
  const Route route = FindRoute(call.request);
  if (route == nullptr) {
    Answer(call.respond, NotFoundResponse());
    return;
  }
  const auto body = ParseJson(call.request.body);
  if (const auto* error = std::get_if<JsonError>(&body)) {
    Answer(call.respond, EncodeError({error->message}));
    return;
  }
  (this->*route)(call, std::get<Json::Value>(body), now);
}

template <auto decode, auto method>
void WorkerServer::CarryOut(const Call& call,
                            const Json::Value& body,
                            Time now) {
  const auto command = decode(body);
  if (const auto* error = std::get_if<CodecError>(&command)) {
    Answer(call.respond, EncodeError(*error));
    return;
  }
  Answer(call.respond, Encode((worker_.*method)(std::get<0>(command), now)));
}

void WorkerServer::Run(const Call& call, const Json::Value& body, Time now) {
  const auto command = DecodeRun(body);
  if (const auto* error = std::get_if<CodecError>(&command)) {
    Answer(call.respond, EncodeError(*error));
    return;
  }
  worker_.Run(std::get<StartCommand>(command), now,
              [this, respond = call.respond](const RunAnswer& answer) {
                Answer(respond, Encode(answer));
              });
}

void WorkerServer::Renew(const Call& call, const Json::Value& body, Time now) {
  const auto decoded = DecodeRenew(body);
  if (const auto* error = std::get_if<CodecError>(&decoded)) {
    Answer(call.respond, EncodeError(*error));
    return;
  }
  const auto& command = std::get<RenewCommand>(decoded);
  const RenewAnswer answer = worker_.Renew(command, now);
  const bool renewed = std::holds_alternative<Renewed>(answer);
  if (renewed && worker_.RenewWaits(command) && command.wait > Duration(0)) {
    renewals_.push_back({.command = command,
                         .respond = call.respond,
                         .deadline = now + command.wait});
    return;
  }
  Answer(call.respond, Encode(answer));
}

void WorkerServer::Answer(const HttpServer::Responder& respond,
                          std::optional<HttpResponse> response) {
  if (!response) {
    delays_.Lose(respond);
    return;
  }
  if (faults_.garbage_answers > 0) {
    --faults_.garbage_answers;
    response->body = "{garbage";
  }
  respond(std::move(*response));
}

void WorkerServer::Pump(Time now) {
  worker_.Advance(now);
  if (!worker_.faults().paused) {
    AnswerHeldRenewals(now);
  }
  Arm();
}

void WorkerServer::AnswerHeldRenewals(Time now) {
  for (auto it = renewals_.begin(); it != renewals_.end();) {
    if (worker_.RenewWaits(it->command) && it->deadline > now) {
      ++it;
      continue;
    }
    Answer(it->respond, Encode(worker_.AnswerRenew(it->command, now)));
    it = renewals_.erase(it);
  }
}

// While the worker is paused held renewals don't wake it; SetPaused does.
void WorkerServer::Arm() {
  Time next = worker_.NextEventTime();
  if (!worker_.faults().paused) {
    for (const HeldRenewal& it : renewals_) {
      next = std::min(next, it.deadline);
    }
  }
  if (next >= armed_for_) {
    return;
  }
  armed_for_ = next;
  timer_.expires_at(std::chrono::steady_clock::time_point(next));
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      armed_for_ = kForever;
      Pump(MonotonicNow());
    }
  });
}

}  // namespace burdockrock::standin
