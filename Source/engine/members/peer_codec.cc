#include "engine/members/peer_codec.h"

#include <algorithm>
#include <array>
#include <utility>

#include "engine/members/peer_fields.h"
#include "wire/dom_reader.h"
#include "wire/text_writer.h"
#include "wire/variant_codec.h"

namespace burdockrock::engine {

namespace {

constexpr AlternativeNames<PeerMessage> kMethods = {
    "room_digest",     "task_offer",       "offer_answers",   "task_stops",
    "end_reports",     "ends_stored",      "run_queries",     "run_reports",
    "adopt_query",     "adopt_report",     "job_query",       "job_reply",
    "advice_ask",      "advice_reply",     "prepare_worker",  "worker_prepared",
    "lease_query",     "lease_report",     "digest_ask",      "parting",
    "workers_crashed", "quota_holdings",   "quota_grants",    "quota_claims",
    "relayed_digests", "jobs_handed_over", "runs_handed_over"};

template <std::size_t kIndex>
bool ReadAs(const JsonElement& value, PeerMessage& out) {
  return burdockrock::ReadDom(value, out.emplace<kIndex>());
}

using MessageReader = bool (*)(const JsonElement&, PeerMessage&);

template <std::size_t... kIndices>
constexpr auto MakeReaders(std::index_sequence<kIndices...> /*indices*/) {
  return std::array<MessageReader, sizeof...(kIndices)>{&ReadAs<kIndices>...};
}

bool ReadMessage(std::string_view method,
                 const JsonElement& value,
                 PeerMessage& out) {
  static constexpr auto kReaders =
      MakeReaders(std::make_index_sequence<std::variant_size_v<PeerMessage>>());
  const auto found = std::ranges::find(kMethods, method);
  return found != kMethods.end() && kReaders.at(static_cast<std::size_t>(
                                        found - kMethods.begin()))(value, out);
}

// A notification has no other members than these.
bool ReadNotification(const JsonElement& value, PeerNotification& out) {
  simdjson::dom::object notification;
  simdjson::dom::object params;
  JsonElement message;
  std::string_view version;
  std::string_view method;
  std::string_view from;
  if (value.get(notification) != simdjson::SUCCESS ||
      notification["jsonrpc"].get(version) != simdjson::SUCCESS ||
      notification["method"].get(method) != simdjson::SUCCESS ||
      notification["params"].get(params) != simdjson::SUCCESS ||
      params["from"].get(from) != simdjson::SUCCESS ||
      params["message"].get(message) != simdjson::SUCCESS) {
    return false;
  }
  constexpr std::size_t kMembers = 3;
  constexpr std::size_t kParams = 2;
  out.from = from;
  return version == "2.0" && notification.size() == kMembers &&
         params.size() == kParams && ReadMessage(method, message, out.message);
}

}  // namespace

std::span<const char* const> PeerMethods() {
  return kMethods;
}

Json::Value EncodePeerNotification(const std::string& from,
                                   const PeerMessage& message) {
  Json::Value params(Json::objectValue);
  params["from"] = from;
  params["message"] = WriteAlternative(message);
  Json::Value notification(Json::objectValue);
  notification["jsonrpc"] = Json::StaticString("2.0");
  notification["method"] = Json::StaticString(kMethods.at(message.index()));
  notification["params"] = std::move(params);
  return notification;
}

std::string WritePeerNotification(const std::string& from,
                                  const PeerMessage& message) {
  std::string text = R"({"jsonrpc":"2.0","method":")";
  text += kMethods.at(message.index());
  text += R"(","params":{"from":)";
  WriteQuoted(from, text);
  text += R"(,"message":)";
  std::visit([&](const auto& it) { burdockrock::WriteText(it, text); },
             message);
  text += "}}";
  return text;
}

std::variant<PeerMessage, DecodeError> DecodePeerMessage(
    std::string_view method,
    const Json::Value& params) {
  return DecodeAlternative<PeerMessage>(kMethods, method, params["message"]);
}

std::optional<std::vector<PeerNotification>> ReadPeerBatch(
    std::string_view body) {
  const auto root = ParseDom(body);
  simdjson::dom::array batch;
  if (!root || root->get(batch) != simdjson::SUCCESS || batch.size() == 0) {
    return std::nullopt;
  }
  std::vector<PeerNotification> notifications(batch.size());
  auto next = notifications.begin();
  for (const JsonElement it : batch) {
    if (!ReadNotification(it, *next++)) {
      return std::nullopt;
    }
  }
  return notifications;
}

}  // namespace burdockrock::engine
