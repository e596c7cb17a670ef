// Messages between entry instances as JSON-RPC 2.0 notifications. Their
// params are {"from", "incarnation", "domain", "message": {..}}.
#ifndef BURDOCKROCK_WIRE_PEER_CODEC_H_
#define BURDOCKROCK_WIRE_PEER_CODEC_H_

#include <compare>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <json/value.h>

#include "model/peer_message.h"
#include "wire/decode_error.h"

namespace burdockrock {

// Who sends a message.
struct PeerSender {
  std::string from;  // the entry instance's id
  std::string incarnation;
  std::string domain;
  auto operator<=>(const PeerSender&) const = default;
};

struct PeerNotification {
  PeerSender sender;
  PeerMessage message;
  auto operator<=>(const PeerNotification&) const = default;
};

// The method's name of a message: "task_offer".
const char* PeerMethodName(const PeerMessage& message);

// The names of all methods.
std::vector<const char*> AllPeerMethods();

// The whole notification, one element of a JSON-RPC batch.
Json::Value EncodePeerNotification(const PeerSender& sender,
                                   const PeerMessage& message);

std::variant<PeerNotification, DecodeError> DecodePeerNotification(
    std::string_view method,
    const Json::Value& params);

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_PEER_CODEC_H_
