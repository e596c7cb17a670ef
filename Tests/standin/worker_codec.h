// The wire form of commands to workers and minions and of their answers.
#ifndef BURDOCKROCK_STANDIN_WORKER_CODEC_H_
#define BURDOCKROCK_STANDIN_WORKER_CODEC_H_

#include <optional>
#include <string>
#include <variant>

#include <json/value.h>

#include "net/http_message.h"
#include "standin/worker_messages.h"

namespace burdockrock::standin {

// Why a body was refused.
struct CodecError {
  std::string message;
  auto operator<=>(const CodecError&) const = default;
};

template <class Command>
using Decoded = std::variant<Command, CodecError>;

Decoded<ClaimCommand> DecodeClaim(const Json::Value& body);
Decoded<StartCommand> DecodeStart(const Json::Value& body);
// As DecodeStart, without `hold`.
Decoded<StartCommand> DecodeRun(const Json::Value& body);
Decoded<RenewCommand> DecodeRenew(const Json::Value& body);
Decoded<StopCommand> DecodeStop(const Json::Value& body);
Decoded<ThrottleCommand> DecodeThrottle(const Json::Value& body);
Decoded<CheckpointCommand> DecodeCheckpoint(const Json::Value& body);

// Nothing for NoAnswer.
std::optional<HttpResponse> Encode(const ClaimAnswer& answer);
std::optional<HttpResponse> Encode(const StartAnswer& answer);
std::optional<HttpResponse> Encode(const RunAnswer& answer);
std::optional<HttpResponse> Encode(const RenewAnswer& answer);
std::optional<HttpResponse> Encode(const StopAnswer& answer);
std::optional<HttpResponse> Encode(const ThrottleAnswer& answer);
std::optional<HttpResponse> Encode(const CheckpointAnswer& answer);

Json::Value EncodeResources(const Resources& resources);

// 400 with what is wrong.
HttpResponse EncodeError(const CodecError& error);

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_WORKER_CODEC_H_
