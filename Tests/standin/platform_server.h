// Serves the platform's key-value service and list of instances over HTTP.
#ifndef BURDOCKROCK_STANDIN_PLATFORM_SERVER_H_
#define BURDOCKROCK_STANDIN_PLATFORM_SERVER_H_

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "model/time.h"
#include "net/http_server.h"
#include "standin/delay_queue.h"
#include "standin/platform_codec.h"
#include "standin/platform_store.h"

namespace burdockrock::standin {

// Faults of the server beside those of the store.
struct PlatformServerFaults {
  // Calls take effect and are answered so much later.
  Duration slow{0};
  // So many of the next answers are not JSON.
  std::uint32_t garbage_answers = 0;
  // Calls over these listening addresses do not arrive. With an address for
  // each failure domain this cuts a domain off from the platform.
  std::set<std::string> cut_listeners;

  auto operator<=>(const PlatformServerFaults&) const = default;
};

struct PlatformServerOptions {
  std::vector<std::string> listen;  // "IP:PORT"; the same service on each
  Duration latency{0};              // of each call
  PlatformStoreOptions store;
};

class PlatformServer {
 public:
  // `delays` must outlive the server.
  PlatformServer(boost::asio::io_context& io,
                 PlatformServerOptions options,
                 DelayQueue& delays);

  // Nothing when all addresses listen.
  std::optional<NetError> Listen();

  // To be called after a change of the store from outside.
  void Pump();

  PlatformStore& store() { return store_; }
  const PlatformStore& store() const { return store_; }
  PlatformServerFaults& faults() { return faults_; }
  std::size_t held_watches() const { return watches_.size(); }

 private:
  struct HeldWatch {
    std::variant<KvWatch, InstancesWatch> watch;
    HttpServer::Responder respond;
    std::string listener;
    Time deadline{0};
  };

  std::optional<NetError> ListenOn(const std::string& address);
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
  void Answer(const PlatformResult& result,
              PlatformAnswerForm form,
              const HttpServer::Responder& respond);
  void AnswerHeldWatches(Time now);
  std::optional<PlatformResult> News(const HeldWatch& held, Time now) const;
  void Arm();

  boost::asio::io_context& io_;
  PlatformServerOptions options_;
  PlatformStore store_;
  PlatformServerFaults faults_;
  DelayQueue& delays_;
  boost::asio::steady_timer timer_;
  Time armed_for_ = kForever;
  std::list<HeldWatch> watches_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_PLATFORM_SERVER_H_
