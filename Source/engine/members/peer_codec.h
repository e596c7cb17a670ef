// Encodes messages between entry instances as JSON-RPC notifications.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_PEER_CODEC_H_
#define BURDOCKROCK_ENGINE_MEMBERS_PEER_CODEC_H_

#include <span>
#include <string>
#include <string_view>
#include <variant>

#include <json/value.h>

#include "engine/members/peer_message.h"
#include "wire/decode_error.h"

namespace burdockrock::engine {

// Method names, one for each alternative of PeerMessage and in its order.
std::span<const char* const> PeerMethods();

// `from` is the sender's incarnation.
Json::Value EncodePeerNotification(const std::string& from,
                                   const PeerMessage& message);

// Decodes the `params` of a notification with this method name.
std::variant<PeerMessage, DecodeError> DecodePeerMessage(
    std::string_view method,
    const Json::Value& params);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_PEER_CODEC_H_
