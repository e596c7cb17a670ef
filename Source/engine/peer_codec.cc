#include "engine/peer_codec.h"

#include <array>
#include <cstddef>
#include <optional>
#include <utility>

#include "engine/peer_fields.h"
#include "wire/value_reader.h"
#include "wire/value_writer.h"

namespace burdockrock::engine {

namespace {

constexpr auto kMethods = std::to_array<const char*>(
    {"room_digest", "task_offer", "offer_answers", "task_stops", "end_reports",
     "ends_stored", "run_queries", "run_reports", "adopt_query", "adopt_report",
     "job_query", "job_reply", "advice_ask", "advice_reply"});
static_assert(kMethods.size() == std::variant_size_v<PeerMessage>);

using DecodedMessage = std::variant<PeerMessage, DecodeError>;

template <std::size_t kIndex>
DecodedMessage DecodeAs(const Json::Value& value) {
  using Message = std::variant_alternative_t<kIndex, PeerMessage>;
  auto decoded = DecodeValue<Message>(value);
  if (auto* error = std::get_if<DecodeError>(&decoded)) {
    return std::move(*error);
  }
  return PeerMessage(std::get<Message>(std::move(decoded)));
}

using Decoder = DecodedMessage (*)(const Json::Value&);

template <std::size_t... kIndices>
constexpr auto MakeDecoders(std::index_sequence<kIndices...> /*indices*/) {
  return std::array<Decoder, sizeof...(kIndices)>{&DecodeAs<kIndices>...};
}

// In the order of kMethods.
constexpr auto kDecoders =
    MakeDecoders(std::make_index_sequence<kMethods.size()>());

}  // namespace

std::span<const char* const> PeerMethods() {
  return kMethods;
}

Json::Value EncodePeerNotification(const std::string& from,
                                   const PeerMessage& message) {
  Json::Value params(Json::objectValue);
  params["from"] = from;
  params["message"] =
      std::visit([](const auto& it) { return WriteValue(it); }, message);
  Json::Value notification(Json::objectValue);
  notification["jsonrpc"] = Json::StaticString("2.0");
  notification["method"] = Json::StaticString(kMethods.at(message.index()));
  notification["params"] = std::move(params);
  return notification;
}

std::variant<PeerMessage, DecodeError> DecodePeerMessage(
    std::string_view method,
    const Json::Value& params) {
  for (std::size_t it = 0; it < kMethods.size(); ++it) {
    if (method == kMethods[it]) {
      return kDecoders.at(it)(params["message"]);
    }
  }
  return DecodeError{.problem = "there is no method " + std::string(method)};
}

}  // namespace burdockrock::engine
