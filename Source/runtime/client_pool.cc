#include "runtime/client_pool.h"

#include <utility>

namespace burdockrock {

namespace {

std::uint64_t BytesOf(const HttpClient& client) {
  return client.bytes_sent() + client.bytes_received();
}

}  // namespace

ClientPool::ClientPool(boost::asio::io_context& io, ClientPoolOptions options)
    : io_(io), options_(options) {}

HttpClient& ClientPool::Get(const std::string& address) {
  Entry& entry = clients_[address];
  entry.used = true;
  if (entry.client == nullptr) {
    entry.client = std::make_unique<HttpClient>(
        io_, HttpClientOptions{.address = address,
                               .max_connections = options_.max_connections,
                               .max_queued = options_.max_queued,
                               .connect_timeout = options_.connect_timeout});
  }
  return *entry.client;
}

void ClientPool::Sweep() {
  for (auto it = clients_.begin(); it != clients_.end();) {
    Entry& entry = it->second;
    const bool idle = entry.client->outstanding() == 0;
    if (std::exchange(entry.used, false) || !idle) {
      ++it;
      continue;
    }
    dropped_bytes_ += BytesOf(*entry.client);
    dropped_calls_ += entry.client->calls();
    it = clients_.erase(it);
  }
}

std::uint64_t ClientPool::bytes() const {
  std::uint64_t sum = dropped_bytes_;
  for (const auto& [address, entry] : clients_) {
    sum += BytesOf(*entry.client);
  }
  return sum;
}

std::uint64_t ClientPool::calls() const {
  std::uint64_t sum = dropped_calls_;
  for (const auto& [address, entry] : clients_) {
    sum += entry.client->calls();
  }
  return sum;
}

std::size_t ClientPool::outstanding() const {
  std::size_t sum = 0;
  for (const auto& [address, entry] : clients_) {
    sum += entry.client->outstanding();
  }
  return sum;
}

}  // namespace burdockrock
