#include "wire/platform_codec.h"

#include <string>
#include <utility>

#include <fmt/format.h>

#include "net/json.h"
#include "wire/caller_status.h"
#include "wire/value_reader.h"
#include "wire/value_writer.h"
#include "wire/work_fields.h"

namespace burdockrock {

namespace {

constexpr int kTooLargeStatus = 413;

using Decision = std::variant<PlatformResult, DecodeError>;

}  // namespace

// The value of a deleted key may be absent.
template <>
struct FieldsOf<KvItem> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("key", it.key);
    codec.Optional("value", it.value, std::string());
    codec.Field("revision", it.revision);
    codec.Optional("deleted", it.deleted, false);
  }
};

template <>
struct FieldsOf<KvItems> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("revision", it.revision);
    codec.Field("items", it.items);
  }
};

template <>
struct FieldsOf<KvDone> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("revision", it.revision);
  }
};

template <>
struct FieldsOf<KvConflict> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("revision", it.revision);
  }
};

namespace {

HttpRequest Encode(const KvGet& get) {
  return {.method = "GET", .path = "/v1/kv", .query = {{"key", get.key}}};
}

HttpRequest Encode(const KvPut& put) {
  Json::Value body(Json::objectValue);
  body["key"] = put.key;
  body["value"] = put.value;
  if (put.expect) {
    body["expect"] = Json::UInt64(*put.expect);
  }
  return {.method = "PUT", .path = "/v1/kv", .body = WriteJson(body)};
}

HttpRequest Encode(const KvDelete& it) {
  HttpRequest request{
      .method = "DELETE", .path = "/v1/kv", .query = {{"key", it.key}}};
  if (it.expect) {
    request.query["expect"] = std::to_string(*it.expect);
  }
  return request;
}

HttpRequest Encode(const KvRange& range) {
  return {.method = "GET",
          .path = "/v1/range",
          .query = {{"prefix", range.prefix}}};
}

HttpRequest Encode(const KvWatch& watch) {
  return {.method = "GET",
          .path = "/v1/watch",
          .query = {{"prefix", watch.prefix},
                    {"after", std::to_string(watch.after)},
                    {"wait_ms", std::to_string(ToMilliseconds(watch.wait))}}};
}

HttpRequest Encode(const InstancesWatch& watch) {
  return {.method = "GET",
          .path = "/v1/instances",
          .query = {{"after", std::to_string(watch.after)},
                    {"wait_ms", std::to_string(ToMilliseconds(watch.wait))}}};
}

template <typename T>
Decision Decode(const HttpResponse& response) {
  auto decoded = DecodeText<T>(response.body);
  if (auto* error = std::get_if<DecodeError>(&decoded)) {
    return std::move(*error);
  }
  return PlatformResult(std::get<T>(std::move(decoded)));
}

Decision DecodeItem(const HttpResponse& response) {
  auto decoded = DecodeText<KvItem>(response.body);
  if (auto* error = std::get_if<DecodeError>(&decoded)) {
    return std::move(*error);
  }
  auto& item = std::get<KvItem>(decoded);
  KvItems items{.revision = item.revision, .items = {}};
  items.items.push_back(std::move(item));
  return PlatformResult(std::move(items));
}

Decision DecodeOk(const PlatformOperation& operation,
                  const HttpResponse& response) {
  if (std::holds_alternative<KvGet>(operation)) {
    return DecodeItem(response);
  }
  if (std::holds_alternative<InstancesWatch>(operation)) {
    return Decode<InstanceList>(response);
  }
  const bool is_write = std::holds_alternative<KvPut>(operation) ||
                        std::holds_alternative<KvDelete>(operation);
  return is_write ? Decode<KvDone>(response) : Decode<KvItems>(response);
}

}  // namespace

HttpRequest EncodePlatformOperation(const PlatformOperation& operation) {
  return std::visit([](const auto& it) { return Encode(it); }, operation);
}

std::variant<PlatformResult, DecodeError> DecodePlatformAnswer(
    const PlatformOperation& operation,
    const HttpResponse& response) {
  switch (response.status) {
    case kOkStatus:
      return DecodeOk(operation, response);
    case kNotFoundStatus:
      return PlatformResult(KvMissing());
    case kConflictStatus:
      return Decode<KvConflict>(response);
    case kTooLargeStatus:
      return PlatformResult(KvTooLarge());
    default:
      break;
  }
  // A service that limits the rate of calls refuses before it reads them.
  const bool refused = response.status == kTooManyRequestsStatus;
  return PlatformResult(PlatformUnavailable{
      .may_have_taken_effect = !refused,
      .message = fmt::format("status {}", response.status)});
}

}  // namespace burdockrock
