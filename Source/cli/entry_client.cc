#include "cli/entry_client.h"

#include <array>
#include <cstddef>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/ip/tcp.hpp>

#include "cli/json_text.h"
#include "net/http_client.h"
#include "net/json.h"

namespace burdockrock {

namespace {

// Reasons that speak of the one entry instance that gave them: another one
// may take the request. Not so for a full queue or a quota, where asking
// around would multiply the load.
constexpr std::array kInvitingReasons = {"draining", "not_ready",
                                         "platform_down"};

// A dump of a large cell is the longest answer.
constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024 * 1024;

bool InvitesElsewhere(const EntryAnswer& answer) {
  if (StringMember(answer.body, "verdict") != "not_run") {
    return false;
  }
  const std::string reason = StringMember(answer.body, "reason");
  for (const char* inviting : kInvitingReasons) {
    if (reason == inviting) {
      return true;
    }
  }
  return false;
}

// "IP:PORT" for "HOST:PORT", the first address found; the problem otherwise.
std::variant<std::string, NoAnswer> Resolve(const std::string& entry) {
  const std::size_t colon = entry.rfind(':');
  std::string host = entry.substr(0, colon);
  if (host.starts_with('[')) {
    return entry;
  }
  boost::asio::io_context io;
  boost::asio::ip::tcp::resolver resolver(io);
  boost::system::error_code ec;
  const auto found = resolver.resolve(host, entry.substr(colon + 1), ec);
  if (ec || found.empty()) {
    return NoAnswer{.may_have_run = false,
                    .message = fmt::format("{}: the host is not known", entry)};
  }
  const auto endpoint = found.begin()->endpoint();
  const std::string address = endpoint.address().to_string();
  if (endpoint.address().is_v6()) {
    return fmt::format("[{}]:{}", address, endpoint.port());
  }
  return fmt::format("{}:{}", address, endpoint.port());
}

NoAnswer LostAnswer(const std::string& entry, const std::string& problem) {
  return {.may_have_run = true,
          .message = fmt::format("{}: {}", entry, problem)};
}

void Append(std::string& text, const std::string& more) {
  if (!text.empty() && !more.empty()) {
    text += "; ";
  }
  text += more;
}

}  // namespace

EntryClient::EntryClient(boost::asio::io_context& io,
                         std::vector<std::string> entries)
    : io_(io), entries_(std::move(entries)) {}

EntryResult EntryClient::Call(const HttpRequest& request,
                              const CallOptions& options) {
  NoAnswer losses = {.may_have_run = false, .message = ""};
  std::optional<EntryAnswer> refusal;
  for (const std::string& entry : entries_) {
    OneResult result = CallOne(entry, request, options);
    if (auto* answer = std::get_if<EntryAnswer>(&result)) {
      answer->earlier_may_have_run = losses.may_have_run;
      refusal = std::move(*answer);
      if (!InvitesElsewhere(*refusal)) {
        return *refusal;
      }
      continue;
    }
    const auto& loss = std::get<NoAnswer>(result);
    losses.may_have_run |= loss.may_have_run;
    Append(losses.message, loss.message);
    if (loss.may_have_run && !options.idempotent) {
      return losses;
    }
  }
  // A refusal says more than that others did not answer, unless one of those
  // took the request and may have run it.
  if (refusal && !losses.may_have_run) {
    return *refusal;
  }
  return losses;
}

EntryClient::OneResult EntryClient::CallOne(const std::string& entry,
                                            const HttpRequest& request,
                                            const CallOptions& options) {
  const auto resolved = Resolve(entry);
  if (const auto* unknown = std::get_if<NoAnswer>(&resolved)) {
    return *unknown;
  }
  std::optional<HttpResult> result;
  HttpClient client(io_, {.address = std::get<std::string>(resolved),
                          .max_response_bytes = kMaxAnswerBytes});
  client.Send(request, options.timeout,
              [&result](HttpResult got) { result = std::move(got); });
  io_.restart();
  while (!result && io_.run_one() > 0) {
  }
  if (!result) {
    return LostAnswer(entry, "the connection ended without an answer");
  }
  if (const auto* failure = std::get_if<HttpFailure>(&*result)) {
    return NoAnswer{.may_have_run = failure->may_have_been_received,
                    .message = failure->message};
  }
  const auto& response = std::get<HttpResponse>(*result);
  auto parsed = ParseJson(response.body);
  const auto* body = std::get_if<Json::Value>(&parsed);
  if (body == nullptr || !body->isObject()) {
    return LostAnswer(entry,
                      fmt::format("its answer with status {} is not a JSON "
                                  "object",
                                  response.status));
  }
  EntryAnswer answer = {
      .entry = entry,
      .status = response.status,
      .body = *body,
      .retry_after = response.retry_after.value_or(std::chrono::seconds(0))};
  if (options.find_fault) {
    if (const auto fault = options.find_fault(answer)) {
      return LostAnswer(entry, *fault);
    }
  }
  return answer;
}

}  // namespace burdockrock
