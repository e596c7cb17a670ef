#include "wire/worker_codec.h"

#include <array>
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

// {"accepted", "epoch", "capacity", "attempts"}
struct ClaimAnswer {
  bool accepted = false;
  ClaimAccepted claim;
};

// {"started": true}
struct StartAnswer {
  bool started = false;
};

// The body of every 409. Only a claim's has `accepted`, the others have
// `reason`.
struct Refusal {
  bool accepted = false;
  std::string reason;
  Epoch epoch = 0;
  std::string owner;
};

}  // namespace

template <>
struct FieldsOf<ClaimCommand> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("epoch", it.epoch);
    codec.Field("owner", it.owner);
    codec.Field("incarnation", it.incarnation);
  }
};

template <>
struct FieldsOf<StartCommand> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("epoch", it.epoch);
    codec.Field("attempt", it.attempt);
    codec.Field("resources", it.resources);
    codec.Field("payload", it.payload);
    codec.Field("lease_ms", it.lease);
    codec.Field("hold", it.hold);
  }
};

template <>
struct FieldsOf<RunCommand> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("epoch", it.epoch);
    codec.Field("attempt", it.attempt);
    codec.Field("resources", it.resources);
    codec.Field("payload", it.payload);
    codec.Field("lease_ms", it.lease);
  }
};

template <>
struct FieldsOf<RenewCommand> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("epoch", it.epoch);
    codec.Field("lease_ms", it.lease);
    codec.Field("wait_ms", it.wait);
    codec.Field("version", it.version);
    codec.Field("acknowledge", it.acknowledge);
    codec.Field("go", it.go);
  }
};

template <>
struct FieldsOf<StopCommand> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("epoch", it.epoch);
    codec.Field("attempts", it.attempts);
  }
};

template <>
struct FieldsOf<ClaimAnswer> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("accepted", it.accepted);
    codec.Field("epoch", it.claim.epoch);
    codec.Field("capacity", it.claim.capacity);
    codec.Field("attempts", it.claim.attempts);
  }
};

template <>
struct FieldsOf<StartAnswer> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("started", it.started);
  }
};

template <>
struct FieldsOf<RunEnded> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("outcome", it.outcome);
    codec.Field("answer", it.answer);
  }
};

template <>
struct FieldsOf<RenewDone> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("version", it.version);
    codec.Field("attempts", it.attempts);
    codec.Field("usage", it.usage);
  }
};

template <>
struct FieldsOf<StopDone> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("stopped", it.stopped);
  }
};

template <>
struct FieldsOf<Refusal> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("accepted", it.accepted, false);
    codec.Optional("reason", it.reason, std::string());
    codec.Field("epoch", it.epoch);
    codec.Field("owner", it.owner);
  }
};

namespace {

constexpr std::array<const char*, std::variant_size_v<WorkerCommand>> kPaths = {
    "/v1/claim", "/v1/start", "/v1/run", "/v1/renew", "/v1/stop"};

WorkerUnreachable Garbage(std::string message) {
  return {.may_have_been_received = true,
          .garbage = true,
          .message = std::move(message)};
}

WorkerUnreachable Garbage(const DecodeError& error) {
  return Garbage(ToString(error));
}

template <typename T>
WorkerResult Decode(const HttpResponse& response) {
  auto decoded = DecodeText<T>(response.body);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    return Garbage(*error);
  }
  return std::get<T>(std::move(decoded));
}

WorkerResult DecodeClaim(const HttpResponse& response) {
  auto decoded = DecodeText<ClaimAnswer>(response.body);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    return Garbage(*error);
  }
  auto& answer = std::get<ClaimAnswer>(decoded);
  if (!answer.accepted) {
    return Garbage("$.accepted: is false with status 200");
  }
  return std::move(answer.claim);
}

WorkerResult DecodeStart(const HttpResponse& response) {
  const auto decoded = DecodeText<StartAnswer>(response.body);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    return Garbage(*error);
  }
  if (!std::get<StartAnswer>(decoded).started) {
    return Garbage("$.started: is false with status 200");
  }
  return StartDone();
}

WorkerResult DecodeRun(const HttpResponse& response) {
  auto decoded = DecodeText<RunEnded>(response.body);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    return Garbage(*error);
  }
  auto& ended = std::get<RunEnded>(decoded);
  if (ended.outcome == Outcome::kNone) {
    return Garbage("$.outcome: is none");
  }
  return std::move(ended);
}

WorkerResult DecodeRefusal(WorkerCommandKind kind,
                           const HttpResponse& response) {
  auto decoded = DecodeText<Refusal>(response.body);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    return Garbage(*error);
  }
  auto& refusal = std::get<Refusal>(decoded);
  const bool is_claim = kind == WorkerCommandKind::kClaim;
  if (!is_claim && refusal.reason.empty()) {
    return Garbage("$.reason: is missing");
  }
  const bool is_start =
      kind == WorkerCommandKind::kStart || kind == WorkerCommandKind::kRun;
  if (is_start && refusal.reason != "stale_epoch") {
    return StartRefused{.reason = std::move(refusal.reason)};
  }
  return StaleEpoch{.epoch = refusal.epoch, .owner = std::move(refusal.owner)};
}

}  // namespace

WorkerCommandKind KindOf(const WorkerCommand& command) {
  return static_cast<WorkerCommandKind>(command.index());
}

HttpRequest EncodeWorkerCommand(const WorkerCommand& command) {
  HttpRequest request;
  request.method = "POST";
  request.path = kPaths.at(command.index());
  request.body = std::visit(
      [](const auto& it) { return WriteJson(WriteValue(it)); }, command);
  return request;
}

WorkerResult DecodeWorkerAnswer(WorkerCommandKind kind,
                                const HttpResponse& response) {
  if (response.status == kConflictStatus) {
    return DecodeRefusal(kind, response);
  }
  if (response.status != kOkStatus) {
    return Garbage(fmt::format("status {}", response.status));
  }
  switch (kind) {
    case WorkerCommandKind::kClaim:
      return DecodeClaim(response);
    case WorkerCommandKind::kStart:
      return DecodeStart(response);
    case WorkerCommandKind::kRun:
      return DecodeRun(response);
    case WorkerCommandKind::kRenew:
      return Decode<RenewDone>(response);
    case WorkerCommandKind::kStop:
      return Decode<StopDone>(response);
  }
  return Garbage("an unknown command");
}

}  // namespace burdockrock
