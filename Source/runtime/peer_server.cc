#include "runtime/peer_server.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>

#include "runtime/payload_bytes.h"
#include "wire/peer_codec.h"

namespace burdockrock {

std::string PeerConnector::Handle(const std::string& body) {
  response_.clear();
  try {
    OnRequest(body);
  } catch (const std::exception& error) {
    // jsoncpp throws for a text that is nested too deep, past the library.
    response_ = error.what();
  }
  return std::move(response_);
}

bool PeerConnector::SendResponse(const std::string& response, void* /*info*/) {
  response_ = response;
  return true;
}

PeerServer::PeerServer(PeerServerOptions options)
    : jsonrpc::AbstractServer<PeerServer>(static_cast<PeerConnector&>(*this)),
      options_(std::move(options)) {
  for (const char* it : AllPeerMethods()) {
    const jsonrpc::Procedure procedure(
        it, jsonrpc::PARAMS_BY_NAME, "from", jsonrpc::JSON_STRING,
        "incarnation", jsonrpc::JSON_STRING, "domain", jsonrpc::JSON_STRING,
        "message", jsonrpc::JSON_OBJECT, nullptr);
    bindAndAddNotification(procedure, nullptr);
  }
}

std::string PeerServer::HandleBody(const std::string& body) {
  traffic_.bytes += body.size();
  std::string errors = Handle(body);
  if (!errors.empty()) {
    options_.log({.number = EventNumber::kPeerMalformed,
                  .fields = {{"problem", errors}}});
  }
  traffic_.bytes += errors.size();
  return errors;
}

// Overrides the library's table of member functions: all methods differ only
// in their message's type.
void PeerServer::HandleNotificationCall(jsonrpc::Procedure& procedure,
                                        const Json::Value& params) {
  auto decoded = DecodePeerNotification(procedure.GetProcedureName(), params);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    throw jsonrpc::JsonRpcException(
        jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
        procedure.GetProcedureName() + " " + ToString(*error));
  }
  auto& notification = std::get<PeerNotification>(decoded);
  ++traffic_.messages;
  traffic_.bytes -= std::min<std::uint64_t>(PayloadBytes(notification.message),
                                            traffic_.bytes);
  options_.on_message(
      {.from = std::move(notification.sender.from),
       .incarnation = std::move(notification.sender.incarnation),
       .domain = std::move(notification.sender.domain),
       .message = std::move(notification.message)});
}

}  // namespace burdockrock
