// One HTTP client for each address that is in use.
#ifndef BURDOCKROCK_RUNTIME_CLIENT_POOL_H_
#define BURDOCKROCK_RUNTIME_CLIENT_POOL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "model/time.h"
#include "net/http_client.h"
#include "net/tcp.h"

namespace burdockrock {

struct ClientPoolOptions {
  std::size_t max_connections = 8;  // to one address
  std::size_t max_queued = 1024;    // calls to one address
  Duration connect_timeout = std::chrono::seconds(1);
};

class ClientPool {
 public:
  ClientPool(boost::asio::io_context& io, ClientPoolOptions options);

  // Opens the client if there is none. The reference holds until the next
  // Sweep.
  HttpClient& Get(const std::string& address);

  // Drops the clients without outstanding calls that were not used since the
  // sweep before. Not from within an answer's handler.
  void Sweep();

  // Sent and received, with HTTP's headers.
  std::uint64_t bytes() const;
  std::uint64_t calls() const;
  std::size_t outstanding() const;
  std::size_t size() const { return clients_.size(); }

 private:
  struct Entry {
    std::unique_ptr<HttpClient> client;
    bool used = true;
  };

  boost::asio::io_context& io_;
  ClientPoolOptions options_;
  std::unordered_map<std::string, Entry> clients_;
  std::uint64_t dropped_bytes_ = 0;
  std::uint64_t dropped_calls_ = 0;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_CLIENT_POOL_H_
