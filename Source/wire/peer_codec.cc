#include "wire/peer_codec.h"

#include <array>
#include <utility>

#include "wire/peer_fields.h"
#include "wire/value_reader.h"
#include "wire/value_writer.h"
#include "wire/work_answer_codec.h"

namespace burdockrock {

namespace {

constexpr std::size_t kMethodCount = std::variant_size_v<PeerMessage>;

// In the order of PeerMessage's alternatives.
constexpr std::array<const char*, kMethodCount> kMethods = {
    "digest",
    "forward_request",
    "forward_answer",
    "cancel_forward",
    "task_offer",
    "task_refused",
    "task_update",
    "task_acknowledged",
    "task_go",
    "task_stop",
    "handover",
    "attempt_search",
    "attempt_search_answer",
    "adopt_log",
    "pull_documents",
    "config_document",
    "instances_document",
    "ask_work",
    "ask_work_answer",
};

template <std::size_t kIndex>
void ReadAlternative(const JsonPlace& place, PeerMessage& out) {
  ReadValue(place, out.emplace<kIndex>());
}

using Reader = void (*)(const JsonPlace&, PeerMessage&);

template <std::size_t... kIndexes>
constexpr std::array<Reader, kMethodCount> MakeReaders(
    std::index_sequence<kIndexes...> /*indexes*/) {
  return {&ReadAlternative<kIndexes>...};
}

constexpr std::array<Reader, kMethodCount> kReaders =
    MakeReaders(std::make_index_sequence<kMethodCount>());

template <typename Codec, typename Value>
void VisitSender(Codec& codec, Value& it) {
  codec.Name("from", it.from);
  codec.Name("incarnation", it.incarnation);
  codec.Name("domain", it.domain);
}

}  // namespace

const char* PeerMethodName(const PeerMessage& message) {
  return kMethods.at(message.index());
}

std::vector<const char*> AllPeerMethods() {
  return {kMethods.begin(), kMethods.end()};
}

Json::Value EncodePeerNotification(const PeerSender& sender,
                                   const PeerMessage& message) {
  Json::Value params(Json::objectValue);
  ObjectWriter writer(params);
  VisitSender(writer, sender);
  params["message"] =
      std::visit([](const auto& it) { return WriteValue(it); }, message);

  Json::Value notification(Json::objectValue);
  notification["jsonrpc"] = Json::StaticString("2.0");
  notification["method"] = Json::StaticString(PeerMethodName(message));
  notification["params"] = std::move(params);
  return notification;
}

std::variant<PeerNotification, DecodeError> DecodePeerNotification(
    std::string_view method,
    const Json::Value& params) {
  std::size_t index = 0;
  while (index < kMethodCount && method != kMethods[index]) {
    ++index;
  }
  DecodeErrors errors;
  const JsonPlace place(params, errors);
  ObjectReader reader(place);
  PeerNotification out;
  if (index == kMethodCount) {
    place.Fail("the method is unknown", "the methods of the peer protocol");
  } else if (reader.Begin()) {
    VisitSender(reader, out.sender);
    reader.Ignored("message");
    reader.End();
    kReaders[index](JsonPlace(params["message"], place, "message"),
                    out.message);
  }
  if (!errors.empty()) {
    return std::move(errors.front());
  }
  return out;
}

}  // namespace burdockrock
