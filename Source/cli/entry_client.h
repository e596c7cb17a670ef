// Asks the entry instances of a command in turn until one has answered.
#ifndef BURDOCKROCK_CLI_ENTRY_CLIENT_H_
#define BURDOCKROCK_CLI_ENTRY_CLIENT_H_

#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <json/value.h>
#include <boost/asio/io_context.hpp>

#include "model/time.h"
#include "net/http_message.h"

namespace burdockrock {

// The answer of one entry instance; its body is a JSON object.
struct EntryAnswer {
  std::string entry;
  int status = 0;
  Json::Value body;
  Duration retry_after{0};  // 0: not said
  // An entry instance asked before this one may have taken the request too.
  bool earlier_may_have_run = false;
};

// No entry instance answered.
struct NoAnswer {
  // False only when no entry instance can have taken the request.
  bool may_have_run = true;
  std::string message;  // what went wrong at each
  auto operator<=>(const NoAnswer&) const = default;
};

using EntryResult = std::variant<EntryAnswer, NoAnswer>;

struct CallOptions {
  // May be sent to the next entry instance after its answer was lost.
  bool idempotent = false;
  Duration timeout = std::chrono::seconds(10);  // at each entry instance
  // What is wrong with an answer, which then counts as lost; null: any JSON
  // object will do.
  std::function<std::optional<std::string>(const EntryAnswer&)> find_fault = {};
};

class EntryClient {
 public:
  // `entries` are "HOST:PORT"; `io` is run while waiting.
  EntryClient(boost::asio::io_context& io, std::vector<std::string> entries);

  // Goes on to the next entry instance when the last one is known not to have
  // received the request, when its answer is lost and the request is
  // idempotent, and when it did not run it and another may.
  EntryResult Call(const HttpRequest& request, const CallOptions& options);

 private:
  using OneResult = std::variant<EntryAnswer, NoAnswer>;

  OneResult CallOne(const std::string& entry,
                    const HttpRequest& request,
                    const CallOptions& options);

  boost::asio::io_context& io_;
  const std::vector<std::string> entries_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_ENTRY_CLIENT_H_
