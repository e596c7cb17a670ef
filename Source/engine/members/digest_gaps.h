// Detects digests that were missed, and requests whole ones in their place.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_DIGEST_GAPS_H_
#define BURDOCKROCK_ENGINE_MEMBERS_DIGEST_GAPS_H_

#include <cstdint>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// The way on which a digest came.
enum class DigestRoute {
  kDirect,   // from its sender, in order
  kToRelay,  // from its sender, which sends others through another relay
  kRelayed,
};

// The sequence of the latest digest of the member that has come, also if one
// before it has not.
std::uint64_t LatestSequence(const State& state, const std::string& from);

// Whether no later digest of the member has told of the queue's waiting jobs.
bool IsLatestOfQueue(const State& state,
                     const std::string& from,
                     const RoomDigest& digest,
                     const std::string& queue);

// Compares the digest's sequence with what has come of its sender so far.
void NoteSequence(Context& context,
                  const std::string& from,
                  const RoomDigest& digest,
                  DigestRoute route);

// Requests what is due by now.
void RequestMissedDigests(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_DIGEST_GAPS_H_
