#include "standin/platform_codec.h"

#include <charconv>
#include <string>
#include <utility>

#include "net/json.h"
#include "standin/field_reader.h"

namespace burdockrock::standin {

namespace {

constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
// Says that the call was refused before it took effect, which 503 does not.
constexpr int kTooManyRequests = 429;

using Call = std::variant<PlatformCall, CodecError>;

// Query members as a JSON object, so that FieldReader checks them too.
// Members that are whole numbers by their name become numbers.
std::variant<Json::Value, CodecError> QueryObject(const HttpRequest& request) {
  Json::Value object(Json::objectValue);
  for (const auto& [name, text] : request.query) {
    if (name == "key" || name == "prefix") {
      object[name] = text;
      continue;
    }
    Json::UInt64 n = 0;
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || stop != end) {
      return CodecError{"query " + name + " is not a whole number"};
    }
    object[name] = n;
  }
  return object;
}

Call Finish(FieldReader& reader, PlatformCall call) {
  std::string faults = reader.Faults();
  if (!faults.empty()) {
    return CodecError{std::move(faults)};
  }
  return call;
}

std::optional<Revision> ReadExpect(FieldReader& reader) {
  const Revision expect = reader.Count("expect", 0);
  return reader.Has("expect") ? std::optional(expect) : std::nullopt;
}

Call DecodeQuery(const HttpRequest& request, FieldReader& reader) {
  if (request.path == "/v1/kv" && request.method == "GET") {
    return Finish(reader, PlatformOperation(KvGet{.key = reader.Text("key")}));
  }
  if (request.path == "/v1/kv" && request.method == "DELETE") {
    KvDelete call{.key = reader.Text("key"), .expect = ReadExpect(reader)};
    return Finish(reader, PlatformOperation(std::move(call)));
  }
  if (request.path == "/v1/range") {
    return Finish(reader,
                  PlatformOperation(KvRange{.prefix = reader.Text("prefix")}));
  }
  if (request.path == "/v1/watch") {
    KvWatch call{.prefix = reader.Text("prefix"),
                 .after = reader.Count("after"),
                 .wait = reader.Milliseconds("wait_ms", Duration(0))};
    return Finish(reader, PlatformOperation(std::move(call)));
  }
  if (request.path == "/v1/instances") {
    InstancesWatch call{.after = reader.Count("after", 0),
                        .wait = reader.Milliseconds("wait_ms", Duration(0))};
    return Finish(reader, PlatformOperation(call));
  }
  return CodecError{"no call " + request.method + " " + request.path};
}

Call DecodeBody(const HttpRequest& request, FieldReader& reader) {
  if (request.path == "/v1/kv" && request.method == "PUT") {
    KvPut put{.key = reader.Text("key"),
              .value = reader.Text("value"),
              .expect = ReadExpect(reader)};
    const LeaseId lease = reader.Count("lease", 0);
    if (lease != 0) {
      return Finish(reader, LeasedPut{.put = std::move(put), .lease = lease});
    }
    return Finish(reader, PlatformOperation(std::move(put)));
  }
  if (request.path == "/v1/lease" && request.method == "POST") {
    return Finish(reader, LeaseGrant{.ttl = reader.Milliseconds("ttl_ms")});
  }
  if (request.path == "/v1/lease/renew" && request.method == "POST") {
    return Finish(reader, LeaseRenewal{.lease = reader.Count("lease")});
  }
  return CodecError{"no call " + request.method + " " + request.path};
}

HttpResponse Response(const Json::Value& body, int status) {
  return HttpResponse{.status = status,
                      .body = WriteJson(body),
                      .content_type = "application/json",
                      .retry_after = std::nullopt};
}

Json::Value EncodeItem(const KvItem& it) {
  Json::Value item;
  item["key"] = it.key;
  item["revision"] = static_cast<Json::UInt64>(it.revision);
  if (it.deleted) {
    item["deleted"] = true;
  } else {
    item["value"] = it.value;
  }
  return item;
}

Json::Value EncodeItems(const KvItems& items) {
  Json::Value body;
  body["revision"] = static_cast<Json::UInt64>(items.revision);
  body["items"] = Json::Value(Json::arrayValue);
  for (const KvItem& it : items.items) {
    body["items"].append(EncodeItem(it));
  }
  return body;
}

Json::Value EncodeInstance(const InstanceInfo& it) {
  Json::Value body;
  body["id"] = it.id;
  body["role"] = InstanceRoleName(it.role);
  if (it.role == InstanceRole::kMinion) {
    body["service"] = it.service;
  }
  body["domain"] = it.domain;
  body["rack"] = it.rack;
  body["address"] = it.address;
  body["state"] = it.leaving ? "leaving" : "live";
  body["capacity"] = EncodeResources(it.capacity);
  return body;
}

Json::Value EncodeInstances(const InstanceList& list) {
  Json::Value body;
  body["revision"] = static_cast<Json::UInt64>(list.revision);
  body["instances"] = Json::Value(Json::arrayValue);
  for (const InstanceInfo& it : list.instances) {
    body["instances"].append(EncodeInstance(it));
  }
  return body;
}

Json::Value EncodeNumber(const char* name, std::uint64_t n) {
  Json::Value body;
  body[name] = static_cast<Json::UInt64>(n);
  return body;
}

Json::Value EncodeText(const std::string& text) {
  Json::Value body;
  body["error"] = text;
  return body;
}

}  // namespace

PlatformAnswerForm AnswerFormOf(const PlatformCall& call) {
  if (std::holds_alternative<LeaseGrant>(call) ||
      std::holds_alternative<LeaseRenewal>(call)) {
    return PlatformAnswerForm::kLease;
  }
  const auto* operation = std::get_if<PlatformOperation>(&call);
  if (operation != nullptr && std::holds_alternative<KvGet>(*operation)) {
    return PlatformAnswerForm::kItem;
  }
  return PlatformAnswerForm::kItems;
}

Call DecodePlatformCall(const HttpRequest& request) {
  if (request.method == "GET" || request.method == "DELETE") {
    const auto query = QueryObject(request);
    if (const auto* error = std::get_if<CodecError>(&query)) {
      return *error;
    }
    FieldReader reader(std::get<Json::Value>(query), "query");
    return DecodeQuery(request, reader);
  }
  const auto body = ParseJson(request.body);
  if (const auto* error = std::get_if<JsonError>(&body)) {
    return CodecError{error->message};
  }
  FieldReader reader(std::get<Json::Value>(body), "$");
  return DecodeBody(request, reader);
}

std::optional<HttpResponse> EncodePlatformResult(const PlatformResult& result,
                                                 PlatformAnswerForm form) {
  constexpr int kOk = 200;
  if (const auto* it = std::get_if<KvItems>(&result)) {
    const bool one = form == PlatformAnswerForm::kItem;
    return Response(one ? EncodeItem(it->items.front()) : EncodeItems(*it),
                    kOk);
  }
  if (const auto* it = std::get_if<KvDone>(&result)) {
    const bool lease = form == PlatformAnswerForm::kLease;
    return Response(EncodeNumber(lease ? "lease" : "revision", it->revision),
                    kOk);
  }
  if (const auto* it = std::get_if<KvConflict>(&result)) {
    return Response(EncodeNumber("revision", it->revision), kConflict);
  }
  if (std::holds_alternative<KvMissing>(result)) {
    return Response(EncodeText("there is no such key or lease"), kNotFound);
  }
  if (std::holds_alternative<KvTooLarge>(result)) {
    return Response(EncodeText("the value is over 1000000 bytes"), kTooLarge);
  }
  if (const auto* it = std::get_if<InstanceList>(&result)) {
    return Response(EncodeInstances(*it), kOk);
  }
  const auto& unavailable = std::get<PlatformUnavailable>(result);
  if (unavailable.may_have_taken_effect) {
    return std::nullopt;
  }
  return Response(EncodeText(unavailable.message), kTooManyRequests);
}

}  // namespace burdockrock::standin
