// A small blocking HTTP/1.1 server and client for the review's cases.
#ifndef BURDOCKROCK_REVIEW_STAND_HTTP_H_
#define BURDOCKROCK_REVIEW_STAND_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

namespace review {

struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 200;
  std::string body = "{}";
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

inline std::string DecodePercent(const std::string& text) {
  std::string out;
  for (std::size_t it = 0; it < text.size(); ++it) {
    if (text[it] == '%' && it + 2 < text.size()) {
      out += static_cast<char>(
          std::strtol(text.substr(it + 1, 2).c_str(), nullptr, 16));
      it += 2;
    } else {
      out += text[it];
    }
  }
  return out;
}

// A connection's input, read up to a delimiter or a length.
class Input {
 public:
  explicit Input(int fd) : fd_(fd) {}

  std::optional<std::string> ReadHead() {
    while (true) {
      const std::size_t end = buffer_.find("\r\n\r\n");
      if (end != std::string::npos) {
        std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        return head;
      }
      if (!Fill()) {
        return std::nullopt;
      }
    }
  }

  std::optional<std::string> ReadBytes(std::size_t size) {
    while (buffer_.size() < size) {
      if (!Fill()) {
        return std::nullopt;
      }
    }
    std::string bytes = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return bytes;
  }

 private:
  bool Fill() {
    char bytes[16384];
    const ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

// Reads the header lines of `head` that follow its first line.
inline std::map<std::string, std::string> ParseHeaders(
    const std::string& head) {
  std::map<std::string, std::string> headers;
  std::size_t at = head.find("\r\n");
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t start = at + 2;
    at = head.find("\r\n", start);
    const std::string line = head.substr(start, at - start);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    for (char& it : name) {
      it = static_cast<char>(std::tolower(it));
    }
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
  return headers;
}

inline std::size_t BodySize(const std::map<std::string, std::string>& headers) {
  const auto it = headers.find("content-length");
  return it == headers.end() ? 0
                             : std::strtoul(it->second.c_str(), nullptr, 10);
}

inline const char* ReasonOf(int status) {
  return status == 200 ? "OK" : "Other";
}

// Serves each connection by a thread. A handler that returns nothing closes the
// connection without a response.
class Server {
 public:
  using Handler = std::function<std::optional<Response>(const Request&)>;

  Server(const Address& address, Handler handler)
      : shared_(std::make_shared<Shared>()) {
    shared_->handler = std::move(handler);
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in name = ToSockaddr(address);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0 ||
        listen(fd_, 512) != 0) {
      close(fd_);
      throw std::runtime_error("can't listen at " + address.Text());
    }
    std::thread([fd = fd_, shared = shared_] { Accept(fd, shared); }).detach();
  }

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Ends all connections, as the end of a process does.
  ~Server() {
    shared_->closed = true;
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
    const std::lock_guard lock(shared_->mutex);
    for (const int it : shared_->connections) {
      shutdown(it, SHUT_RDWR);
    }
  }

 private:
  struct Shared {
    Handler handler;
    std::atomic<bool> closed = false;
    std::mutex mutex;
    std::set<int> connections;
  };

  static void Accept(int listener, std::shared_ptr<Shared> shared) {
    while (!shared->closed) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (shared->closed || errno == EBADF || errno == EINVAL) {
          return;
        }
        continue;
      }
      const int yes = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      {
        const std::lock_guard lock(shared->mutex);
        shared->connections.insert(fd);
      }
      if (shared->closed) {
        shutdown(fd, SHUT_RDWR);
      }
      std::thread([fd, shared] { Serve(fd, *shared); }).detach();
    }
  }

  static void Serve(int fd, Shared& shared) {
    Input input(fd);
    while (auto request = Read(input)) {
      if (shared.closed) {
        break;
      }
      const auto response = shared.handler(*request);
      if (!response || shared.closed) {
        break;
      }
      const std::string text =
          "HTTP/1.1 " + std::to_string(response->status) + " " +
          ReasonOf(response->status) +
          "\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
      if (!SendAll(fd, text)) {
        break;
      }
    }
    const std::lock_guard lock(shared.mutex);
    shared.connections.erase(fd);
    close(fd);
  }

  static std::optional<Request> Read(Input& input) {
    const auto head = input.ReadHead();
    if (!head) {
      return std::nullopt;
    }
    Request request;
    const std::size_t first = head->find(' ');
    const std::size_t second = head->find(' ', first + 1);
    request.method = head->substr(0, first);
    std::string target = head->substr(first + 1, second - first - 1);
    const std::size_t mark = target.find('?');
    request.path = DecodePercent(target.substr(0, mark));
    if (mark != std::string::npos) {
      ParseQuery(target.substr(mark + 1), request.query);
    }
    request.headers = ParseHeaders(*head);
    auto body = input.ReadBytes(BodySize(request.headers));
    if (!body) {
      return std::nullopt;
    }
    request.body = std::move(*body);
    return request;
  }

  static void ParseQuery(const std::string& text,
                         std::map<std::string, std::string>& out) {
    std::size_t start = 0;
    while (start < text.size()) {
      std::size_t end = text.find('&', start);
      end = end == std::string::npos ? text.size() : end;
      const std::string pair = text.substr(start, end - start);
      const std::size_t equals = pair.find('=');
      if (equals != std::string::npos) {
        out[DecodePercent(pair.substr(0, equals))] =
            DecodePercent(pair.substr(equals + 1));
      }
      start = end + 1;
    }
  }

  int fd_ = -1;
  std::shared_ptr<Shared> shared_;
};

// Calls on a connection of its own. Nothing if there was no whole response.
inline std::optional<Response> Call(const Address& address,
                                    const std::string& method,
                                    const std::string& path,
                                    const std::string& host,
                                    const std::string& body,
                                    int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{};
  limit.tv_sec = timeout_ms / 1000;
  limit.tv_usec = (timeout_ms % 1000) * 1000;
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in name = ToSockaddr(address);
  std::optional<Response> response;
  const std::string text =
      method + " " + path + " HTTP/1.1\r\nHost: " + host +
      "\r\nX-Deadline-Ms: " + std::to_string(timeout_ms) +
      "\r\nConnection: close\r\nContent-Type: application/json\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0 &&
      SendAll(fd, text)) {
    Input input(fd);
    if (const auto head = input.ReadHead()) {
      Response got;
      got.status = std::atoi(head->c_str() + head->find(' ') + 1);
      if (auto rest = input.ReadBytes(BodySize(ParseHeaders(*head)))) {
        got.body = std::move(*rest);
        response = std::move(got);
      }
    }
  }
  close(fd);
  return response;
}

}  // namespace review

#endif  // BURDOCKROCK_REVIEW_STAND_HTTP_H_
