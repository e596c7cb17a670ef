#include "wire/platform_codec.h"

#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "net/json.h"
#include "net/json_read.h"
#include "wire/caller_status.h"
#include "wire/platform_fields.h"
#include "wire/value_reader.h"
#include "wire/value_writer.h"

namespace burdockrock {

namespace {

constexpr int kTooLargeStatus = 413;

using Decision = std::variant<PlatformResult, DecodeError>;

}  // namespace

namespace {

template <typename T>
Decoded<PlatformOperation> DecodeFields(const Json::Value& fields) {
  auto decoded = DecodeValue<T>(fields);
  if (auto* error = std::get_if<DecodeError>(&decoded)) {
    return std::move(*error);
  }
  return PlatformOperation(std::get<T>(std::move(decoded)));
}

// The fields of a put are its body's, those of other calls the query's.
constexpr std::string_view kMethodWithBody = "PUT";

struct Route {
  const char* method;
  const char* path;
  Decoded<PlatformOperation> (*decode)(const Json::Value& fields);
};

constexpr std::array<Route, std::variant_size_v<PlatformOperation>> kRoutes = {{
    {"GET", "/v1/kv", &DecodeFields<KvGet>},
    {"PUT", "/v1/kv", &DecodeFields<KvPut>},
    {"DELETE", "/v1/kv", &DecodeFields<KvDelete>},
    {"GET", "/v1/range", &DecodeFields<KvRange>},
    {"GET", "/v1/watch", &DecodeFields<KvWatch>},
    {"GET", "/v1/instances", &DecodeFields<InstancesWatch>},
}};

// Text that should be a number and is none stays text, which DecodeFields
// refuses.
Json::Value ReadQuery(const HttpRequest& request) {
  Json::Value fields(Json::objectValue);
  for (const auto& [name, text] : request.query) {
    std::uint64_t n = 0;
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, n);
    const bool is_number =
        name != "key" && name != "prefix" && ec == std::errc() && stop == end;
    fields[name] = is_number ? WriteValue(n) : Json::Value(text);
  }
  return fields;
}

HttpResponse Response(const Json::Value& body, int status = kOkStatus) {
  return {.status = status, .body = WriteJson(body)};
}

HttpResponse ErrorResponse(const std::string& message, int status) {
  Json::Value body;
  body["error"] = message;
  return Response(body, status);
}

struct AnswerEncoder {
  const PlatformOperation& operation;

  HttpResponse operator()(const KvItems& it) const {
    const bool one = std::holds_alternative<KvGet>(operation);
    return Response(one ? WriteValue(it.items.front()) : WriteValue(it));
  }
  HttpResponse operator()(const KvConflict& it) const {
    return Response(WriteValue(it), kConflictStatus);
  }
  HttpResponse operator()(const KvMissing&) const {
    return ErrorResponse("there is no such key or lease", kNotFoundStatus);
  }
  HttpResponse operator()(const KvTooLarge&) const {
    return ErrorResponse(
        fmt::format("the value is over {} bytes", kMaxPlatformValueBytes),
        kTooLargeStatus);
  }
  HttpResponse operator()(const PlatformUnavailable& it) const {
    return ErrorResponse(it.message, it.may_have_taken_effect
                                         ? kUnavailableStatus
                                         : kTooManyRequestsStatus);
  }
  template <typename T>
  HttpResponse operator()(const T& it) const {
    return Response(WriteValue(it));
  }
};

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
  const Route& route = kRoutes.at(operation.index());
  HttpRequest request{.method = route.method, .path = route.path};
  const Json::Value fields =
      std::visit([](const auto& it) { return WriteValue(it); }, operation);
  if (route.method == kMethodWithBody) {
    request.body = WriteJson(fields);
    return request;
  }
  for (const std::string& name : fields.getMemberNames()) {
    request.query[name] =
        ReadText(fields[name]).value_or(WriteJson(fields[name]));
  }
  return request;
}

std::variant<PlatformOperation, DecodeError> DecodePlatformOperation(
    const HttpRequest& request) {
  for (const Route& it : kRoutes) {
    if (request.method != it.method || request.path != it.path) {
      continue;
    }
    if (request.method != kMethodWithBody) {
      return it.decode(ReadQuery(request));
    }
    auto body = ParseObject(request.body);
    if (auto* error = std::get_if<DecodeError>(&body)) {
      return std::move(*error);
    }
    return it.decode(std::get<Json::Value>(body));
  }
  return DecodeError{.path = request.path,
                     .problem = request.method + " is no call to the platform",
                     .allowed = "a call of the key-value service"};
}

HttpResponse EncodePlatformAnswer(const PlatformOperation& operation,
                                  const PlatformResult& result) {
  return std::visit(AnswerEncoder{.operation = operation}, result);
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
