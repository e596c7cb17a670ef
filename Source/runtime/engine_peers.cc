#include "runtime/engine_peers.h"

#include <chrono>
#include <utility>

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <boost/asio/post.hpp>

#include "engine/members/peer_codec.h"
#include "net/json.h"
#include "runtime/clock.h"

namespace burdockrock {

namespace {

// A peer that takes longer is paused or cut off; what waits for it is repeated
// anyway, and a new connection finds it sooner than an old one that hangs.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(1000);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// Of notifications that wait for one peer; older ones are dropped first.
constexpr std::size_t kMaxWaitingBytes = 1'048'576;
constexpr std::size_t kMaxBatchBytes = 262'144;

constexpr int kOkStatus = 200;
// Some messages of the batch were garbled; the others were taken.
constexpr int kBadRequestStatus = 400;

std::optional<PeerFailure> FailureOf(const HttpResult& result, Duration took) {
  if (const auto* response = std::get_if<HttpResponse>(&result)) {
    const bool taken =
        response->status == kOkStatus || response->status == kBadRequestStatus;
    return taken ? std::nullopt : std::optional(PeerFailure::kRefused);
  }
  if (!std::get<HttpFailure>(result).may_have_been_received) {
    return PeerFailure::kNotConnected;
  }
  return took < kRequestTimeout ? PeerFailure::kBroken : PeerFailure::kNoAnswer;
}

}  // namespace

EnginePeerClient::EnginePeerClient(boost::asio::io_context& io,
                                   std::string incarnation,
                                   std::function<void(const LogLine&)> log)
    : io_(io),
      incarnation_(std::move(incarnation)),
      pool_(io, {.max_connections = 1, .connect_timeout = kConnectTimeout}),
      losses_(std::move(log)) {}

void EnginePeerClient::LogLosses() {
  losses_.WriteLines(SteadyNow());
}

void EnginePeerClient::Send(const engine::SendPeer& send) {
  Link& link = links_[send.address];
  const std::string& text = TextOf(send.message);
  const char* kind = engine::PeerMethods()[send.message.index()];
  EdgeTraffic& traffic = kinds_[kind];
  ++traffic.messages;
  traffic.bytes += text.size();
  link.waiting_bytes += text.size();
  link.waiting.push_back({.kind = kind, .text = text});
  while (link.waiting_bytes > kMaxWaitingBytes && link.waiting.size() > 1) {
    losses_.NoteDropped(send.address, link.waiting.front().kind);
    link.waiting_bytes -= link.waiting.front().text.size();
    link.waiting.pop_front();
  }
  if (!std::exchange(link.in_flight, true)) {
    FlushSoon(send.address);
  }
}

const std::string& EnginePeerClient::TextOf(
    const engine::PeerMessage& message) {
  if (last_message_ != message) {
    last_text_ =
        WriteJson(engine::EncodePeerNotification(incarnation_, message));
    last_message_ = message;
  }
  return last_text_;
}

// Deferred, so that all messages of one step go together.
void EnginePeerClient::FlushSoon(const std::string& address) {
  boost::asio::post(io_, [this, address, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      Flush(address);
    }
  });
}

void EnginePeerClient::Flush(const std::string& address) {
  Link& link = links_[address];
  if (link.waiting.empty()) {
    link.in_flight = false;
    return;
  }
  std::string body = "[";
  while (!link.waiting.empty() && body.size() < kMaxBatchBytes) {
    body += body.size() > 1 ? "," : "";
    body += link.waiting.front().text;
    link.waiting_bytes -= link.waiting.front().text.size();
    link.sent_kinds.push_back(link.waiting.front().kind);
    link.waiting.pop_front();
    ++messages_;
  }
  body += "]";
  HttpRequest request;
  request.method = "POST";
  request.path = "/rpc";
  request.body = std::move(body);
  link.sent_at = SteadyNow();
  pool_.Get(address).Send(
      std::move(request), kRequestTimeout,
      [this, address](const HttpResult& it) { OnResult(address, it); });
}

void EnginePeerClient::OnResult(const std::string& address,
                                const HttpResult& result) {
  Link& link = links_[address];
  const auto kinds = std::exchange(link.sent_kinds, {});
  if (const auto failure = FailureOf(result, SteadyNow() - link.sent_at)) {
    losses_.NoteFailedBatch(address, *failure);
    for (const char* it : kinds) {
      losses_.NoteDropped(address, it);
    }
  }
  Flush(address);
}

EdgeTraffic EnginePeerClient::traffic() const {
  return {.messages = messages_, .bytes = pool_.bytes()};
}

EnginePeerServer::EnginePeerServer(EnginePeerServerOptions options)
    : jsonrpc::AbstractServer<EnginePeerServer>(
          static_cast<PeerConnector&>(*this)),
      options_(std::move(options)) {
  for (const char* it : engine::PeerMethods()) {
    const jsonrpc::Procedure procedure(it, jsonrpc::PARAMS_BY_NAME, "from",
                                       jsonrpc::JSON_STRING, "message",
                                       jsonrpc::JSON_OBJECT, nullptr);
    bindAndAddNotification(procedure, nullptr);
  }
}

std::string EnginePeerServer::HandleBody(const std::string& body) {
  traffic_.bytes += body.size();
  std::string errors = Handle(body);
  if (!errors.empty()) {
    options_.log({.number = EventNumber::kPeerMalformed,
                  .fields = {{"problem", errors}}});
  }
  return errors;
}

// Overrides the library's table of member functions: all methods differ only
// in their message's type.
void EnginePeerServer::HandleNotificationCall(jsonrpc::Procedure& procedure,
                                              const Json::Value& params) {
  const std::string& method = procedure.GetProcedureName();
  auto decoded = engine::DecodePeerMessage(method, params);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                    method + " " + ToString(*error));
  }
  ++traffic_.messages;
  const auto& message = std::get<engine::PeerMessage>(decoded);
  ++kinds_[engine::PeerMethods()[message.index()]].messages;
  options_.on_message(
      {.from = params["from"].asString(),
       .message = std::get<engine::PeerMessage>(std::move(decoded))});
}

}  // namespace burdockrock
