#include "cli/queues_store.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "engine/call_codec.h"
#include "net/json.h"

DEFINE_string(store, "", "The store of jobs of steps");

namespace burdockrock {

namespace {

constexpr std::chrono::seconds kStoreTimeout(5);

}  // namespace

FlagRule StoreFlag() {
  return {.name = "store", .value = "HOST:PORT", .required = true};
}

engine::StoreAnswer CallStoreOfFlag(const Invocation& invocation,
                                    const engine::StoreRequest& request) {
  EntryClient client(invocation.io, {FLAGS_store});
  const EntryResult result =
      client.Call(engine::EncodeStoreCall(request), {.timeout = kStoreTimeout});
  if (const auto* loss = std::get_if<NoAnswer>(&result)) {
    return engine::DecodeStoreResult(
        HttpFailure{.may_have_been_received = loss->may_have_run,
                    .message = loss->message});
  }
  const auto& answer = std::get<EntryAnswer>(result);
  return engine::DecodeStoreResult(
      HttpResponse{.status = answer.status, .body = WriteJson(answer.body)});
}

std::string StoreProblem(const engine::StoreAnswer& answer) {
  if (const auto* refused = std::get_if<engine::StoreRefused>(&answer)) {
    return fmt::format("the store did nothing: {}; try again", refused->detail);
  }
  if (const auto* unknown = std::get_if<engine::StoreUnknown>(&answer)) {
    return fmt::format(
        "the store's answer was lost, it may have taken effect: {}; see "
        "'burdockrock queues get' before trying again",
        unknown->detail);
  }
  if (const auto* rejected = std::get_if<engine::StoreRejected>(&answer)) {
    return fmt::format("the store does not accept this: {}", rejected->detail);
  }
  return "the store gave another answer than asked for; check --store";
}

}  // namespace burdockrock
