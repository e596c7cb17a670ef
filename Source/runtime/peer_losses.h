// Counts and logs messages to other entry instances that were lost, sent again
// or replaced by later ones.
#ifndef BURDOCKROCK_RUNTIME_PEER_LOSSES_H_
#define BURDOCKROCK_RUNTIME_PEER_LOSSES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "model/time.h"
#include "observe/log.h"

namespace burdockrock {

// Why a request with a batch of messages failed.
enum class PeerFailure {
  kNotConnected,  // nothing was sent
  kBroken,        // the connection ended before the answer
  kNoAnswer,      // in time
  kRefused,       // the peer's server answered with an error
};

// The value of a metric's label, such as "no_answer".
const char* PeerFailureName(PeerFailure failure);

class PeerLosses {
 public:
  using Counts = std::map<std::string_view, std::uint64_t>;

  explicit PeerLosses(std::function<void(const LogLine&)> log);

  void NoteFailedBatch(const std::string& address, PeerFailure failure);
  // `kind` is one of engine::PeerMethods().
  void NoteDropped(const std::string& address, const char* kind);
  void NoteResent(const char* kind) { ++resent_[kind]; }
  void NoteReplaced(const char* kind) { ++replaced_[kind]; }

  // Writes one line for each peer whose last line was written long enough ago
  // and for which messages were dropped since.
  void WriteLines(Time now);

  const Counts& failed_batches() const { return failed_batches_; }  // by cause
  const Counts& dropped() const { return dropped_; }                // by kind
  const Counts& resent() const { return resent_; }                  // by kind
  const Counts& replaced() const { return replaced_; }              // by kind

 private:
  // Of one peer, since its last line.
  struct Unlogged {
    Counts failed_batches{};
    Counts dropped{};
    Time next_line = Time::min();
  };

  std::function<void(const LogLine&)> log_;
  Counts failed_batches_;
  Counts dropped_;
  Counts resent_;
  Counts replaced_;
  std::map<std::string, Unlogged> unlogged_;  // by address
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_PEER_LOSSES_H_
