// Counts what the entry instances of a group send and get for control, in
// messages and in bytes on the wire.
#ifndef BURDOCKROCK_TESTS_BENCH_WIRE_METER_H_
#define BURDOCKROCK_TESTS_BENCH_WIRE_METER_H_

#include <cstdint>
#include <map>
#include <string>

#include "scheduler/entry_group.h"

namespace burdockrock::bench {

// What HTTP adds to the body of one call in one direction: request or status
// line and headers. An estimate, not a measurement.
inline constexpr std::uint64_t kHttpBytes = 150;

struct Flow {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  void Add(std::uint64_t size) {
    ++messages;
    bytes += size;
  }
  auto operator<=>(const Flow&) const = default;
};

// Of one entry instance. `bytes` of calls to workers and the platform are
// those of the command and of its answer; of peer messages those sent and,
// apart, those addressed to it.
struct WireCounts {
  Flow digests;
  Flow digests_in;
  Flow other_peer;  // all but digests and forwards
  Flow other_peer_in;
  Flow forwards;
  Flow forwards_in;
  Flow renewals;
  Flow claims;
  Flow starts;  // starts, runs and stops
  Flow platform;

  // All but starts and forwards, which grow with the work.
  std::uint64_t ControlBytes() const;
  std::uint64_t ControlMessages() const;
  WireCounts& operator+=(const WireCounts& other);
};

// Counts from its making to its end.
class WireMeter {
 public:
  explicit WireMeter(EntryGroup& group);
  ~WireMeter();
  WireMeter(const WireMeter&) = delete;
  WireMeter& operator=(const WireMeter&) = delete;

  const std::map<std::string, WireCounts>& counts() const { return counts_; }
  WireCounts Total() const;
  // Of the entry instance with the most bytes for control.
  WireCounts Largest() const;
  // The most calls in one second of virtual time, of all entry instances.
  std::uint64_t PeakPlatformCalls() const;
  std::uint64_t PeakPeerMessages() const;

 private:
  void Note(const std::string& entry, const Effect& effect);
  void NotePeer(const std::string& entry, const SendPeer& send);
  void NoteWorker(const std::string& entry, const CallWorker& call);
  void NotePlatform(const std::string& entry, const CallPlatform& call);

  EntryGroup& group_;
  std::function<void(const std::string&, const Effect&)> before_;
  std::map<std::string, WireCounts> counts_;
  std::map<std::int64_t, std::uint64_t> platform_by_second_;
  std::map<std::int64_t, std::uint64_t> peer_by_second_;
};

}  // namespace burdockrock::bench

#endif  // BURDOCKROCK_TESTS_BENCH_WIRE_METER_H_
