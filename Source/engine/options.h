// Options of an engine: its identity, the bounds of the platform and the codecs
// of the platform's documents.
#ifndef BURDOCKROCK_ENGINE_OPTIONS_H_
#define BURDOCKROCK_ENGINE_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "engine/configuration.h"
#include "engine/records/record.h"
#include "model/time.h"

namespace burdockrock::engine {

// Why a document of the store can't be decoded, for the log.
struct DocumentFault {
  std::string problem{};
};

// Keys and codecs of the platform's own documents in the store.
struct StoreDocuments {
  std::string worker_prefix = "worker/";
  // Prefix of all keys that operators write.
  std::string operator_prefix = "operator/";
  std::string configuration_key = "operator/configuration";
  std::string wave_prefix = "operator/wave/";
  std::string wave_status_prefix = "status/wave/";
  std::function<std::variant<WorkerInfo, DocumentFault>(std::string_view id,
                                                        std::string_view text)>
      decode_worker{};
  // Whether the worker's entry `now` differs from `before` only by a heartbeat.
  // If unset, every change of an entry is decoded.
  std::function<bool(std::string_view before, std::string_view now)>
      is_heartbeat{};
  std::function<std::variant<Configuration, DocumentFault>(
      std::string_view text)>
      decode_configuration{};
  std::function<std::variant<Wave, DocumentFault>(std::string_view text)>
      decode_wave{};
  std::function<std::string(std::uint64_t wave, bool completed)>
      encode_wave_status{};
};

// The platform's bounds, from the process's settings.
struct Bounds {
  Duration max_lease = std::chrono::milliseconds(6000);  // of runs
  Duration stop_timeout = std::chrono::milliseconds(400);
  Duration drain_time = std::chrono::milliseconds(2000);
  // How long the state of an ended job is kept.
  Duration state_kept = std::chrono::seconds(120);
  Duration min_lease_ttl = std::chrono::seconds(1);
  Duration grace = std::chrono::seconds(6);  // from the stop signal to the kill
  // Minimum time between commands to machines from two successive holders of
  // the duty.
  Duration duty_lease = std::chrono::seconds(3);
  // Longest time from the start of a lasting task until it is at work.
  Duration settle_time = std::chrono::milliseconds(4500);
  // Write calls per second that the store accepts from the whole deployment.
  std::uint32_t store_writes = 400;
  // Size of the largest value that the store accepts, in bytes.
  std::size_t max_value_bytes = 1'048'576;

  auto operator<=>(const Bounds&) const = default;
};

struct EngineOptions {
  MemberRecord self{};
  Bounds bounds{};
  StoreDocuments documents{};
  std::uint64_t seed = 1;
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_OPTIONS_H_
