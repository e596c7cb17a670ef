// Encodes messages between entry instances as JSON-RPC notifications.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_PEER_CODEC_H_
#define BURDOCKROCK_ENGINE_MEMBERS_PEER_CODEC_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <json/value.h>

#include "engine/members/peer_message.h"
#include "wire/decode_error.h"

namespace burdockrock::engine {

// Method names, one for each alternative of PeerMessage and in its order.
std::span<const char* const> PeerMethods();

// `from` is the sender's incarnation.
Json::Value EncodePeerNotification(const std::string& from,
                                   const PeerMessage& message);

// The same as text.
std::string WritePeerNotification(const std::string& from,
                                  const PeerMessage& message);

// Decodes the `params` of a notification with this method name.
std::variant<PeerMessage, DecodeError> DecodePeerMessage(
    std::string_view method,
    const Json::Value& params);

struct PeerNotification {
  std::string from{};  // the sender's incarnation
  PeerMessage message{};
};

// Reads a whole batch of notifications; none if any of them can't be read.
// DecodePeerMessage() then tells which one, and why.
std::optional<std::vector<PeerNotification>> ReadPeerBatch(
    std::string_view body);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_PEER_CODEC_H_
