// Serves the platform's key-value service and list of instances over HTTP.
#ifndef BURDOCKROCK_STANDIN_PLATFORM_SERVER_H_
#define BURDOCKROCK_STANDIN_PLATFORM_SERVER_H_

#include <list>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "standin/platform_codec.h"
#include "standin/platform_store.h"
#include "standin/server_base.h"

namespace burdockrock::standin {

struct PlatformServerOptions {
  std::vector<std::string> listen;  // "IP:PORT"; the same service on each
  Duration latency{0};              // of each call
  PlatformStoreOptions store;
};

class PlatformServer : public ServerBase {
 public:
  PlatformServer(boost::asio::io_context& io,
                 PlatformServerOptions options,
                 DelayQueue& delays);

  // Nothing when all addresses listen.
  std::optional<NetError> Listen();

  // To be called after a change of the store from outside.
  void Pump();

  PlatformStore& store() { return store_; }
  const PlatformStore& store() const { return store_; }
  // Calls over these listening addresses do not arrive. With an address for
  // each failure domain this cuts a domain off from the platform.
  std::set<std::string>& cut_listeners() { return cut_listeners_; }
  std::size_t held_watches() const { return watches_.size(); }

 private:
  struct HeldWatch {
    PlatformOperation watch;
    HttpServer::Responder respond;
    std::string listener;
    Time deadline{0};
  };

  void OnRequest(const std::string& listener,
                 HttpRequest request,
                 HttpServer::Responder respond);
  void Dispatch(const std::string& listener,
                const HttpRequest& request,
                const HttpServer::Responder& respond);
  PlatformResult Carry(const PlatformCall& call, Time now);
  bool Hold(const std::string& listener,
            const PlatformCall& call,
            const PlatformResult& result,
            const HttpServer::Responder& respond,
            Time now);
  void AnswerHeldWatches(Time now);
  std::optional<PlatformResult> News(const HeldWatch& held, Time now) const;
  void OnTime(Time now) override;

  PlatformServerOptions options_;
  PlatformStore store_;
  std::set<std::string> cut_listeners_;
  std::list<HeldWatch> watches_;
};

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_PLATFORM_SERVER_H_
