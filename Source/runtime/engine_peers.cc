#include "runtime/engine_peers.h"

#include <chrono>
#include <utility>

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <boost/asio/post.hpp>

#include "engine/members/peer_codec.h"
#include "net/json.h"

namespace burdockrock {

namespace {

// A peer that takes longer is paused or cut off; what waits for it is repeated
// anyway, and a new connection finds it sooner than an old one that hangs.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(1000);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// Of notifications that wait for one peer; older ones are dropped first.
constexpr std::size_t kMaxWaitingBytes = 1'048'576;
constexpr std::size_t kMaxBatchBytes = 262'144;

}  // namespace

EnginePeerClient::EnginePeerClient(boost::asio::io_context& io,
                                   std::string incarnation)
    : io_(io),
      incarnation_(std::move(incarnation)),
      pool_(io, {.max_connections = 1, .connect_timeout = kConnectTimeout}) {}

void EnginePeerClient::Send(const engine::SendPeer& send) {
  Link& link = links_[send.address];
  const std::string& text = TextOf(send.message);
  EdgeTraffic& kind = kinds_[engine::PeerMethods()[send.message.index()]];
  ++kind.messages;
  kind.bytes += text.size();
  link.waiting_bytes += text.size();
  link.waiting.push_back(text);
  while (link.waiting_bytes > kMaxWaitingBytes && link.waiting.size() > 1) {
    link.waiting_bytes -= link.waiting.front().size();
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
    body += link.waiting.front();
    link.waiting_bytes -= link.waiting.front().size();
    link.waiting.pop_front();
    ++messages_;
  }
  body += "]";
  HttpRequest request;
  request.method = "POST";
  request.path = "/rpc";
  request.body = std::move(body);
  pool_.Get(address).Send(
      std::move(request), kRequestTimeout,
      [this, address](const HttpResult&) { Flush(address); });
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
