#include "engine/records/store_calls.h"

namespace burdockrock::engine {

namespace {

void RecordFailure(Context& context, const std::string& detail) {
  StoreState& store = context.state.store;
  store.last_failure = context.now;
  if (store.healthy) {
    store.healthy = false;
    context.Log(EventNumber::kPlatformUnreachable, {{"problem", detail}});
  }
}

void RecordSuccess(Context& context) {
  StoreState& store = context.state.store;
  store.last_answer = context.now;
  if (!store.healthy) {
    store.healthy = true;
    context.Log(EventNumber::kPlatformBack, {});
  }
}

}  // namespace

void SendStoreRequest(Context& context,
                      StoreRequest request,
                      StorePurpose purpose,
                      Duration timeout) {
  StoreState& store = context.state.store;
  const std::uint64_t call = ++store.last_call;
  ++store.total_calls;
  store.calls.emplace(call, std::move(purpose));
  context.Emit(CallStore{
      .call = call, .request = std::move(request), .timeout = timeout});
}

std::optional<StorePurpose> TakeStoreCall(Context& context,
                                          const StoreAnswered& event) {
  const auto node = context.state.store.calls.extract(event.call);
  if (node.empty()) {
    return std::nullopt;
  }
  // A watch may end without an answer though the store has no fault.
  const bool watching = std::holds_alternative<ForWatch>(node.mapped());
  if (const auto* refused = std::get_if<StoreRefused>(&event.answer)) {
    RecordFailure(context, refused->detail);
  } else if (const auto* unknown = std::get_if<StoreUnknown>(&event.answer)) {
    if (!watching) {
      RecordFailure(context, unknown->detail);
    }
  } else {
    RecordSuccess(context);
  }
  // The record writer logs rejected changes of jobs itself.
  const auto* rejected = std::get_if<StoreRejected>(&event.answer);
  if (rejected != nullptr && !std::holds_alternative<ForBatch>(node.mapped())) {
    ++context.state.totals.rejected_writes;
    context.Log(EventNumber::kWriteRejected, {{"problem", rejected->detail}});
  }
  return std::move(node.mapped());
}

bool StoreIsUnsteady(const Context& context) {
  return !HasPassed(context.now, context.state.store.last_failure,
                    kStoreUnsteadyPeriod);
}

}  // namespace burdockrock::engine
