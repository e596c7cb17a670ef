// Takes messages from other entry instances.
#ifndef BURDOCKROCK_RUNTIME_PEER_SERVER_H_
#define BURDOCKROCK_RUNTIME_PEER_SERVER_H_

#include <functional>
#include <string>

#include <jsonrpccpp/server.h>

#include "observe/log.h"
#include "runtime/edge_traffic.h"
#include "scheduler/event.h"

namespace burdockrock {

struct PeerServerOptions {
  std::function<void(PeerMessageReceived)> on_message{};
  std::function<void(const LogLine&)> log{};
};

// Hands JSON-RPC texts, however they came, to the library's dispatcher.
class PeerConnector : public jsonrpc::AbstractServerConnector {
 public:
  // The errors as JSON-RPC responses; empty if all of `body` was accepted.
  std::string Handle(const std::string& body);

  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* info) override;

 private:
  std::string response_;
};

// The notifications of the peer protocol. A garbled one is an error to its
// sender alone: the others of its batch are taken.
class PeerServer : private PeerConnector,
                   private jsonrpc::AbstractServer<PeerServer> {
 public:
  explicit PeerServer(PeerServerOptions options);

  // `body` is one notification or a batch. Returns the errors for its sender,
  // empty if there are none.
  std::string HandleBody(const std::string& body);

  EdgeTraffic traffic() const { return traffic_; }

 private:
  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& params) override;

  PeerServerOptions options_;
  EdgeTraffic traffic_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_PEER_SERVER_H_
