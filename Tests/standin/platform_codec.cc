#include "standin/platform_codec.h"

#include <utility>

#include "net/json.h"
#include "wire/platform_codec.h"
#include "wire/platform_fields.h"
#include "wire/value_reader.h"
#include "wire/value_writer.h"

namespace burdockrock {

template <>
struct FieldsOf<standin::LeaseGrant> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("ttl_ms", it.ttl);
  }
};

template <>
struct FieldsOf<standin::LeaseRenewal> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("lease", it.lease);
  }
};

template <>
struct FieldsOf<standin::LeasedPut> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    FieldsOf<KvPut>::Visit(codec, it.put);
    codec.Optional("lease", it.lease, standin::LeaseId{0});
  }
};

}  // namespace burdockrock

namespace burdockrock::standin {

namespace {

template <typename T>
Decoded<PlatformCall> Decode(const HttpRequest& request) {
  auto decoded = DecodeText<T>(request.body);
  if (auto* error = std::get_if<DecodeError>(&decoded)) {
    return std::move(*error);
  }
  return PlatformCall(std::get<T>(std::move(decoded)));
}

}  // namespace

Decoded<PlatformCall> DecodePlatformCall(const HttpRequest& request) {
  if (request.method == "POST" && request.path == "/v1/lease") {
    return Decode<LeaseGrant>(request);
  }
  if (request.method == "POST" && request.path == "/v1/lease/renew") {
    return Decode<LeaseRenewal>(request);
  }
  if (request.method == "PUT" && request.path == "/v1/kv") {
    auto call = Decode<LeasedPut>(request);
    auto* decoded = std::get_if<PlatformCall>(&call);
    auto* put = decoded == nullptr ? nullptr : std::get_if<LeasedPut>(decoded);
    if (put != nullptr && put->lease == 0) {
      return PlatformCall(PlatformOperation(std::move(put->put)));
    }
    return call;
  }
  auto operation = DecodePlatformOperation(request);
  if (auto* error = std::get_if<DecodeError>(&operation)) {
    return std::move(*error);
  }
  return PlatformCall(std::get<PlatformOperation>(std::move(operation)));
}

std::optional<HttpResponse> EncodePlatformResult(const PlatformCall& call,
                                                 const PlatformResult& result) {
  const auto* unavailable = std::get_if<PlatformUnavailable>(&result);
  if (unavailable != nullptr && unavailable->may_have_taken_effect) {
    return std::nullopt;
  }
  const auto* done = std::get_if<KvDone>(&result);
  const bool is_lease = std::holds_alternative<LeaseGrant>(call) ||
                        std::holds_alternative<LeaseRenewal>(call);
  if (is_lease && done != nullptr) {
    const LeaseRenewal lease{.lease = done->revision};
    return HttpResponse{.status = 200, .body = WriteJson(WriteValue(lease))};
  }
  const auto* operation = std::get_if<PlatformOperation>(&call);
  return EncodePlatformAnswer(
      operation == nullptr ? PlatformOperation(KvPut()) : *operation, result);
}

}  // namespace burdockrock::standin
