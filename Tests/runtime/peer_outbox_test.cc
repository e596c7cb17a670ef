#include "runtime/peer_outbox.h"

#include <string>

#include <doctest/doctest.h>

namespace burdockrock {

namespace {

QueuedMessage MakeDigest(std::uint64_t sequence) {
  Digest digest;
  digest.sequence = sequence;
  return {.message = digest, .text = "d" + std::to_string(sequence)};
}

QueuedMessage MakeCancel(const std::string& id) {
  return {.message = CancelForward{id}, .text = id};
}

}  // namespace

TEST_CASE("a full outbox drops the oldest digest, then refuses") {
  PeerOutbox outbox({.max_waiting = 3});
  CHECK_FALSE(outbox.Add(MakeCancel("a")).has_value());
  CHECK_FALSE(outbox.Add(MakeDigest(1)).has_value());
  CHECK_FALSE(outbox.Add(MakeDigest(2)).has_value());
  CHECK_FALSE(outbox.Add(MakeCancel("b")).has_value());
  CHECK_FALSE(outbox.Add(MakeCancel("c")).has_value());
  const auto refused = outbox.Add(MakeCancel("d"));
  REQUIRE(refused.has_value());
  CHECK(refused->text == "d");
  CHECK(JoinBatch(outbox.TakeBatch()) == "[a,b,c]");
  CHECK(outbox.empty());
}

TEST_CASE("batches are bounded by number and bytes, never empty") {
  PeerOutbox outbox({.max_batch = 2, .max_batch_bytes = 5});
  for (const char* it : {"a", "b", "c", "longer than five", "dd", "eeee"}) {
    outbox.Add(MakeCancel(it));
  }
  CHECK(JoinBatch(outbox.TakeBatch()) == "[a,b]");
  CHECK(JoinBatch(outbox.TakeBatch()) == "[c]");
  CHECK(JoinBatch(outbox.TakeBatch()) == "[longer than five]");
  CHECK(JoinBatch(outbox.TakeBatch()) == "[dd]");
  CHECK(JoinBatch(outbox.TakeBatch()) == "[eeee]");
  CHECK(outbox.TakeBatch().empty());
}

}  // namespace burdockrock
