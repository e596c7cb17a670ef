#include "standin/worker_server.h"

#include <algorithm>
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

void WorkerServer::Dispatch(const Call& call, Time now) {
  const auto parsed = ParseJson(call.request.body);
  if (const auto* error = std::get_if<JsonError>(&parsed)) {
    Answer(call.respond, EncodeError({error->message}));
    return;
  }
  const auto& body = std::get<Json::Value>(parsed);
  const auto handle = [&](const auto& decoded, const auto& carry_out) {
    if (const auto* error = std::get_if<CodecError>(&decoded)) {
      Answer(call.respond, EncodeError(*error));
    } else {
      carry_out(std::get<0>(decoded));
    }
  };
  const auto answer = [&](const auto& method) {
    return [&, method](const auto& command) {
      Answer(call.respond, Encode((worker_.*method)(command, now)));
    };
  };
  const std::string& path = call.request.path;
  if (call.request.method != "POST") {
    Answer(call.respond, NotFoundResponse());
  } else if (path == "/v1/run") {
    handle(DecodeRun(body),
           [&](const StartCommand& it) { Run(call, it, now); });
  } else if (path == "/v1/start") {
    handle(DecodeStart(body), answer(&WorkerModel::Start));
  } else if (path == "/v1/renew") {
    handle(DecodeRenew(body),
           [&](const RenewCommand& it) { Renew(call, it, now); });
  } else if (path == "/v1/stop") {
    handle(DecodeStop(body), answer(&WorkerModel::Stop));
  } else if (path == "/v1/claim") {
    handle(DecodeClaim(body), answer(&WorkerModel::Claim));
  } else if (path == "/v1/throttle") {
    handle(DecodeThrottle(body), answer(&WorkerModel::Throttle));
  } else if (path == "/v1/checkpoint") {
    handle(DecodeCheckpoint(body), answer(&WorkerModel::Checkpoint));
  } else {
    Answer(call.respond, NotFoundResponse());
  }
}

void WorkerServer::Run(const Call& call,
                       const StartCommand& command,
                       Time now) {
  worker_.Run(command, now,
              [this, respond = call.respond](const RunAnswer& answer) {
                Answer(respond, Encode(answer));
              });
}

void WorkerServer::Renew(const Call& call,
                         const RenewCommand& command,
                         Time now) {
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
