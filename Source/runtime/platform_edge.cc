#include "runtime/platform_edge.h"

#include <string>
#include <utility>

#include "wire/platform_codec.h"

namespace burdockrock {

namespace {

constexpr std::size_t kMaxCallConnections = 16;
constexpr std::size_t kMaxWatchConnections = 4;
// A range may return many values of kMaxPlatformValueBytes.
constexpr std::size_t kMaxResponseBytes = 67'108'864;

HttpClientOptions MakeClientOptions(const std::string& address,
                                    std::size_t connections) {
  return {.address = address,
          .max_connections = connections,
          .max_response_bytes = kMaxResponseBytes};
}

bool Waits(const PlatformOperation& operation) {
  if (const auto* watch = std::get_if<KvWatch>(&operation)) {
    return watch->wait > Duration(0);
  }
  const auto* instances = std::get_if<InstancesWatch>(&operation);
  return instances != nullptr && instances->wait > Duration(0);
}

}  // namespace

PlatformEdge::PlatformEdge(boost::asio::io_context& io,
                           PlatformEdgeOptions options)
    : options_(std::move(options)),
      calls_(io, MakeClientOptions(options_.address, kMaxCallConnections)),
      watches_(io, MakeClientOptions(options_.address, kMaxWatchConnections)) {}

void PlatformEdge::Call(const CallPlatform& call) {
  HttpClient& client = Waits(call.operation) ? watches_ : calls_;
  client.Send(
      EncodePlatformOperation(call.operation), call.timeout,
      [this, id = call.call,
       operation = call.operation](const HttpResult& result) {
        options_.on_answer({.call = id, .result = ToResult(operation, result)});
      });
}

PlatformResult PlatformEdge::ToResult(const PlatformOperation& operation,
                                      const HttpResult& result) const {
  if (const auto* failure = std::get_if<HttpFailure>(&result)) {
    return PlatformUnavailable{
        .may_have_taken_effect = failure->may_have_been_received,
        .message = failure->message};
  }
  auto decoded =
      DecodePlatformAnswer(operation, std::get<HttpResponse>(result));
  if (auto* read = std::get_if<PlatformResult>(&decoded)) {
    LogUnreadable(*read);
    return std::move(*read);
  }
  const std::string problem = ToString(std::get<DecodeError>(decoded));
  options_.log(
      {.number = EventNumber::kPlatformMalformed,
       .fields = {{"address", options_.address}, {"problem", problem}}});
  return PlatformUnavailable{.may_have_taken_effect = true, .message = problem};
}

void PlatformEdge::LogUnreadable(const PlatformResult& result) const {
  const auto* list = std::get_if<InstanceList>(&result);
  if (list == nullptr || list->unreadable.empty()) {
    return;
  }
  options_.log({.number = EventNumber::kPlatformMalformed,
                .fields = {{"address", options_.address},
                           {"rows", std::to_string(list->unreadable.size())},
                           {"problem", list->unreadable.front()}}});
}

EdgeTraffic PlatformEdge::traffic() const {
  const std::size_t outstanding = calls_.outstanding() + watches_.outstanding();
  return {.messages = 2 * calls() - outstanding,
          .bytes = calls_.bytes_sent() + calls_.bytes_received() +
                   watches_.bytes_sent() + watches_.bytes_received()};
}

}  // namespace burdockrock
