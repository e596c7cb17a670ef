#include "engine/call_codec.h"

#include <utility>

#include <fmt/format.h>

#include "engine/call_fields.h"
#include "net/json.h"
#include "net/json_read.h"
#include "wire/caller_status.h"
#include "wire/variant_codec.h"

namespace burdockrock::engine {

namespace {

constexpr const char* kPath = "/v1/steps";

constexpr AlternativeNames<StoreRequest> kStoreMethods = {
    "read",        "range",       "watch",    "transaction",
    "grant_lease", "renew_lease", "end_lease"};
constexpr AlternativeNames<StoreAnswer> kStoreOutcomes = {
    "done", "conflict", "absent", "refused", "unknown", "rejected"};
constexpr AlternativeNames<WorkerRequest> kWorkerMethods = {"hold", "start",
                                                            "stop", "pace"};
constexpr AlternativeNames<WorkerAnswer> kWorkerOutcomes = {"done", "refused",
                                                            "unreached"};
constexpr const char* kAdviceMethod = "advise";
constexpr AlternativeNames<AdviceAnswer> kAdviceOutcomes = {"given", "failed"};

constexpr AlternativeNames<MachineRequest> kMachineMethods = {"list", "upkeep",
                                                              "move"};
constexpr AlternativeNames<MachineAnswer> kMachineOutcomes = {
    "page", "taken", "refused", "unanswered"};

Json::Value Envelope() {
  Json::Value envelope(Json::objectValue);
  envelope["jsonrpc"] = Json::StaticString("2.0");
  envelope["id"] = 1;  // constant: a connection has one call at a time
  return envelope;
}

Json::Value Call(const char* method, Json::Value params) {
  Json::Value call = Envelope();
  call["method"] = Json::StaticString(method);
  call["params"] = std::move(params);
  return call;
}

HttpRequest Post(const Json::Value& call) {
  return {.method = "POST", .path = kPath, .body = WriteJson(call)};
}

template <typename Answer>
std::string Result(const AlternativeNames<Answer>& names,
                   const Answer& answer) {
  Json::Value envelope = Envelope();
  envelope["result"]["outcome"] = Json::StaticString(names[answer.index()]);
  envelope["result"]["value"] = WriteAlternative(answer);
  return WriteJson(envelope);
}

struct Unanswered {
  bool may_have_run = true;
  std::string detail{};
};

template <typename Answer>
std::variant<Answer, Unanswered> ReadResult(
    const AlternativeNames<Answer>& names,
    const HttpResult& result) {
  if (const auto* failure = std::get_if<HttpFailure>(&result)) {
    return Unanswered{.may_have_run = failure->may_have_been_received,
                      .detail = failure->message};
  }
  const auto& response = std::get<HttpResponse>(result);
  if (response.status != kOkStatus) {
    const bool refused = response.status == kUnavailableStatus;
    return Unanswered{.may_have_run = !refused,
                      .detail = fmt::format("status {}", response.status)};
  }
  const auto parsed = ParseObject(response.body);
  if (const auto* error = std::get_if<DecodeError>(&parsed)) {
    return Unanswered{.detail = "unreadable answer: " + ToString(*error)};
  }
  const Json::Value& result_of_call =
      MemberOf(std::get<Json::Value>(parsed), "result");
  const auto outcome = ReadText(MemberOf(result_of_call, "outcome"));
  if (!outcome) {
    return Unanswered{.detail = "unreadable answer: no result"};
  }
  auto decoded = DecodeAlternative<Answer>(names, *outcome,
                                           MemberOf(result_of_call, "value"));
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    return Unanswered{.detail = "unreadable answer: " + ToString(*error)};
  }
  return std::get<Answer>(std::move(decoded));
}

template <typename Request>
Decoded<Request> ReadCall(const AlternativeNames<Request>& names,
                          const Json::Value& call) {
  const auto method = ReadText(MemberOf(call, "method"));
  const Json::Value& params = MemberOf(call, "params");
  if (!method || !params.isObject()) {
    return DecodeError{.path = "$",
                       .problem = "is no call",
                       .allowed = "an object with method and params"};
  }
  return DecodeAlternative<Request>(names, *method, params);
}

}  // namespace

HttpRequest EncodeStoreCall(const StoreRequest& request) {
  return Post(Call(kStoreMethods[request.index()], WriteAlternative(request)));
}

HttpRequest EncodeWorkerCall(const std::string& worker,
                             const WorkerRequest& request) {
  Json::Value call =
      Call(kWorkerMethods[request.index()], WriteAlternative(request));
  call["worker"] = worker;
  return Post(call);
}

HttpRequest EncodeAdviceCall(const AdviceRequest& request) {
  return Post(Call(kAdviceMethod, WriteValue(request)));
}

HttpRequest EncodeMachineCall(const std::string& holder,
                              const MachineRequest& request) {
  Json::Value call =
      Call(kMachineMethods[request.index()], WriteAlternative(request));
  call["holder"] = holder;
  return Post(call);
}

StoreAnswer DecodeStoreResult(const HttpResult& result) {
  auto read = ReadResult<StoreAnswer>(kStoreOutcomes, result);
  if (const auto* none = std::get_if<Unanswered>(&read)) {
    return none->may_have_run
               ? StoreAnswer(StoreUnknown{.detail = none->detail})
               : StoreAnswer(StoreRefused{.detail = none->detail});
  }
  return std::get<StoreAnswer>(std::move(read));
}

WorkerAnswer DecodeWorkerResult(const HttpResult& result) {
  auto read = ReadResult<WorkerAnswer>(kWorkerOutcomes, result);
  if (const auto* none = std::get_if<Unanswered>(&read)) {
    return WorkerUnreached{.may_have_run = none->may_have_run,
                           .detail = none->detail};
  }
  return std::get<WorkerAnswer>(std::move(read));
}

AdviceAnswer DecodeAdviceResult(const HttpResult& result) {
  auto read = ReadResult<AdviceAnswer>(kAdviceOutcomes, result);
  if (const auto* none = std::get_if<Unanswered>(&read)) {
    return AdviceFailed{.detail = none->detail};
  }
  return std::get<AdviceAnswer>(std::move(read));
}

MachineAnswer DecodeMachineResult(const HttpResult& result) {
  auto read = ReadResult<MachineAnswer>(kMachineOutcomes, result);
  if (const auto* none = std::get_if<Unanswered>(&read)) {
    return MachineUnanswered{.may_have_run = none->may_have_run,
                             .detail = none->detail};
  }
  return std::get<MachineAnswer>(std::move(read));
}

Decoded<StoreRequest> DecodeStoreCall(std::string_view body) {
  const auto parsed = ParseObject(body);
  if (const auto* error = std::get_if<DecodeError>(&parsed)) {
    return *error;
  }
  return ReadCall<StoreRequest>(kStoreMethods, std::get<Json::Value>(parsed));
}

Decoded<AddressedWorkerRequest> DecodeWorkerCall(std::string_view body) {
  const auto parsed = ParseObject(body);
  if (const auto* error = std::get_if<DecodeError>(&parsed)) {
    return *error;
  }
  const auto& call = std::get<Json::Value>(parsed);
  auto worker = ReadText(MemberOf(call, "worker"));
  if (!worker) {
    return DecodeError{.path = "worker",
                       .problem = "is missing",
                       .allowed = "the id of a worker"};
  }
  auto request = ReadCall<WorkerRequest>(kWorkerMethods, call);
  if (auto* error = std::get_if<DecodeError>(&request)) {
    return std::move(*error);
  }
  return AddressedWorkerRequest{
      .worker = *std::move(worker),
      .request = std::get<WorkerRequest>(std::move(request))};
}

Decoded<AdviceRequest> DecodeAdviceCall(std::string_view body) {
  const auto parsed = ParseObject(body);
  if (const auto* error = std::get_if<DecodeError>(&parsed)) {
    return *error;
  }
  return DecodeValue<AdviceRequest>(std::get<Json::Value>(parsed)["params"]);
}

Decoded<MachineRequest> DecodeMachineCall(std::string_view body) {
  const auto parsed = ParseObject(body);
  if (const auto* error = std::get_if<DecodeError>(&parsed)) {
    return *error;
  }
  return ReadCall<MachineRequest>(kMachineMethods,
                                  std::get<Json::Value>(parsed));
}

std::string EncodeStoreResult(const StoreAnswer& answer) {
  return Result<StoreAnswer>(kStoreOutcomes, answer);
}

std::string EncodeWorkerResult(const WorkerAnswer& answer) {
  return Result<WorkerAnswer>(kWorkerOutcomes, answer);
}

std::string EncodeAdviceResult(const AdviceAnswer& answer) {
  return Result<AdviceAnswer>(kAdviceOutcomes, answer);
}

std::string EncodeMachineResult(const MachineAnswer& answer) {
  return Result<MachineAnswer>(kMachineOutcomes, answer);
}

}  // namespace burdockrock::engine
