// Idempotency keys: a request marked non-idempotent is dispatched at most
// once, whichever entry instances its caller tries.
//
// The claim of a key is durable in one of kClaimShards logs before the first
// dispatch. Several entry instances append to a shard; the platform's
// compare-and-swap orders their writes, and an instance that finds the key
// claimed by another does not dispatch.
#ifndef BURDOCKROCK_SCHEDULER_CLAIMS_H_
#define BURDOCKROCK_SCHEDULER_CLAIMS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger/slot_log.h"
#include "model/verdict.h"

namespace burdockrock {

class Context;
struct RequestEntry;
struct Job;

// Must never change within a deployment, as a key is looked up in one shard
// only.
inline constexpr std::uint32_t kClaimShards = 8;

enum class ClaimState {
  kClaimed,     // dispatched, or about to be
  kReleased,    // known not to have been dispatched; may be claimed again
  kRan,         // succeeded with `answer`
  kFailed,      // ran and failed
  kMayHaveRun,  // the outcome is unknown
  kAccepted,    // a job, recorded in its journal
};

struct ClaimRecord {
  std::string id;      // of the request or job
  std::string writer;  // instance and incarnation
  ClaimState state = ClaimState::kClaimed;
  std::string answer;
  std::int64_t wall_ms = 0;  // time of the write, milliseconds since 1970

  auto operator<=>(const ClaimRecord&) const = default;
};

// The stored form of a claim; DecodeClaim returns nullopt for a malformed text.
std::string EncodeClaim(const ClaimRecord& claim);
std::optional<ClaimRecord> DecodeClaim(const std::string& text);

// Keys that this process is claiming or has unfinished work for.
struct Claims {
  std::map<std::string, std::string> active;  // by record key; value: work id
  // Requests and jobs that wait for a shard to be read, by log.
  std::map<std::string, std::vector<std::string>> waiting;
};

// Claims the key of a request or job. Continues with AdmitRequest or
// OnJobClaimed if the key is free; else finishes the request or job with the
// verdict that follows from the existing claim.
void ClaimKeyOfRequest(Context& context, RequestEntry& entry);
void ClaimKeyOfJob(Context& context, Job& job);

// Writes the outcome of a claimed request or job. Nothing waits for the write:
// a retry that arrives before it is durable is answered "may have run".
void SettleClaim(Context& context,
                 const std::string& team,
                 const std::string& key,
                 const std::string& id,
                 ClaimState state,
                 const std::string& answer);

// The append of a claim has completed.
void OnClaimAppended(Context& context,
                     const std::string& id,
                     AppendOutcome outcome);

// A shard has been read or is unreachable: looks up or refuses the requests and
// jobs that wait for it.
void OnClaimShardRead(Context& context, const std::string& log);

// Abandons the pending append for a request or job that will not be dispatched.
void GiveUpClaim(Context& context,
                 const std::string& team,
                 const std::string& key,
                 const std::string& id,
                 std::uint64_t ticket);

bool IsClaimLog(const std::string& log);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_CLAIMS_H_
