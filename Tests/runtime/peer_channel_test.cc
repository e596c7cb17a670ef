#include "runtime/peer_channel.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace burdockrock {

namespace {

using std::chrono::milliseconds;

constexpr Time kStart = std::chrono::seconds(100);

ChannelMessage Say(const std::string& text) {
  return {.to = "n2-4",
          .kind = "task_offer",
          .text = text,
          .queued_at = kStart,
          .useful_for = milliseconds(2000)};
}

ChannelMessage Digest(const std::string& text, DigestScope scope) {
  ChannelMessage message = Say(text);
  message.kind = "room_digest";
  message.digest = scope;
  return message;
}

// Asks or tells `parts`.
ChannelMessage Query(const std::string& text,
                     std::vector<std::uint64_t> parts,
                     const char* kind = "adopt_query") {
  ChannelMessage message = Say(text);
  message.kind = kind;
  message.subject = {.order = engine::MessageClass::kQueries,
                     .parts = std::move(parts)};
  return message;
}

ChannelMessage OfClass(const std::string& text, engine::MessageClass order) {
  ChannelMessage message = Say(text);
  message.subject.order = order;
  return message;
}

// A channel, and what it tells of its messages.
struct Recorded {
  explicit Recorded(std::size_t max_waiting_bytes = 100,
                    std::size_t max_batch_bytes = 8,
                    std::size_t min_batch_bytes = 8)
      : channel(
            {.max_waiting_bytes = max_waiting_bytes,
             .max_batch_bytes = max_batch_bytes,
             .min_batch_bytes = min_batch_bytes,
             .on_dropped = [this](const char* it) { dropped.push_back(it); },
             .on_resent = [this](const char* it) { resent.push_back(it); },
             .on_replaced =
                 [this](const char* it) { replaced.push_back(it); }}) {}

  std::string Take(Duration after = Duration(0)) {
    const auto batch = channel.TakeBatch(kStart + after);
    return batch ? fmt::format("{} {}", batch->number, batch->body) : "";
  }

  std::vector<std::string> dropped{};
  std::vector<std::string> resent{};
  std::vector<std::string> replaced{};
  PeerChannel channel;
};

}  // namespace

// Guards against messages that are lost with the request that carried them.
TEST_CASE("A batch is sent until it is acknowledged, and before later ones") {
  Recorded it;
  it.channel.Add(Say("aaaa"));
  it.channel.Add(Say("bbbb"));
  it.channel.Add(Say("cc"));
  CHECK(it.Take() == "1 [aaaa,bbbb]");
  it.channel.Add(Say("d"));
  CHECK(it.Take(milliseconds(1)) == "1 [aaaa,bbbb]");
  CHECK(it.resent.size() == 2);
  it.channel.Acknowledge();
  CHECK(it.Take(milliseconds(2)) == "2 [cc,d]");
  it.channel.Acknowledge();
  CHECK(it.Take(milliseconds(3)).empty());
  CHECK(it.resent.size() == 2);
  CHECK(it.dropped.empty());
}

// Guards against offers and replies that arrive when their sender has given
// them up.
TEST_CASE("A message is dropped when it is of no use any more") {
  Recorded it;
  ChannelMessage early = Say("aaaa");
  early.useful_for = milliseconds(500);
  it.channel.Add(early);
  it.channel.Add(Say("bbbb"));
  it.channel.Add(early);
  it.channel.Add(Say("cccc"));
  CHECK(it.Take() == "1 [aaaa,bbbb]");
  CHECK(it.Take(milliseconds(499)) == "1 [aaaa,bbbb]");
  CHECK(it.Take(milliseconds(500)) == "1 [bbbb]");
  it.channel.Acknowledge();
  CHECK(it.Take(milliseconds(600)) == "2 [cccc]");
  CHECK(it.Take(milliseconds(2000)).empty());
  CHECK(it.dropped.size() == 3);
}

// Guards against messages to a process that has ended which its successor at
// the same address takes for its own.
TEST_CASE("A batch is for one incarnation") {
  Recorded it;
  it.channel.Add(Say("a"));
  ChannelMessage next = Say("b");
  next.to = "n2-5";
  it.channel.Add(next);
  it.channel.Add(next);
  CHECK(it.Take() == "1 [a]");
  it.channel.DropBatch();
  CHECK(it.Take() == "2 [b,b]");
  CHECK(it.dropped.size() == 1);
}

// Guards against a peer that reads old digests before the one that counts.
TEST_CASE("A digest that a later one replaces is not sent again") {
  Recorded it;
  it.channel.Add(Digest("u1", DigestScope::kUnchanged));
  it.channel.Add(Digest("c1", DigestScope::kChanges));
  it.channel.Add(Digest("u2", DigestScope::kUnchanged));
  it.channel.Add(Say("o"));
  CHECK(it.Take() == "1 [c1,u2,o]");
  it.channel.Add(Digest("c2", DigestScope::kChanges));
  CHECK(it.Take() == "1 [c1,o]");
  it.channel.Add(Digest("w", DigestScope::kWhole));
  CHECK(it.Take() == "1 [o]");
  it.channel.Acknowledge();
  CHECK(it.Take() == "2 [w]");
  // They were not lost.
  CHECK(it.dropped.empty());
}

// Guards against repeats that pile up for a peer that does not answer, and that
// it would all have to handle.
TEST_CASE("A message that a later one repeats is not sent") {
  Recorded it;
  it.channel.Add(Query("a", {1, 2}));
  it.channel.Add(Query("b", {1, 2, 3}));
  CHECK(it.Take() == "1 [b]");
  it.channel.Add(Query("c", {1, 2, 3}));
  CHECK(it.Take() == "2 [c]");
  CHECK(it.resent.empty());
  CHECK(it.dropped.empty());
  CHECK(it.replaced.size() == 2);
}

// Guards against a query that is lost because a later one of its kind asks for
// something else, or is for another process.
TEST_CASE("A message that says more than a later one is sent") {
  Recorded it;
  it.channel.Add(Query("a", {1, 2}));
  it.channel.Add(Query("b", {2, 3}));
  it.channel.Add(Query("c", {1, 2, 3}, "run_queries"));
  it.channel.Add(Query("d", {}));
  ChannelMessage next = Query("e", {1, 2, 3});
  next.to = "n2-5";
  it.channel.Add(next);
  CHECK(it.Take() == "1 [a,b,c,d]");
  CHECK(it.replaced.empty());
}

// Guards against leases that run out, and runs that are taken for lost, while a
// peer that is short of processor time handles queries and digests.
TEST_CASE("Messages are sent by class, and within a class in order") {
  using engine::MessageClass;
  Recorded it(100, 100);
  it.channel.Add(OfClass("d", MessageClass::kDigests));
  it.channel.Add(OfClass("q", MessageClass::kQueries));
  it.channel.Add(OfClass("r1", MessageClass::kRuns));
  it.channel.Add(OfClass("r2", MessageClass::kRuns));
  it.channel.Add(OfClass("a", MessageClass::kReplies));
  it.channel.Add(OfClass("l", MessageClass::kLeases));
  CHECK(it.Take() == "1 [l,r1,r2,a,q,d]");
}

// Guards against a full channel that gives up ends of runs for digests.
TEST_CASE("A full channel drops messages of the last class first") {
  using engine::MessageClass;
  Recorded it(8, 100);
  it.channel.Add(OfClass("rrr", MessageClass::kRuns));
  it.channel.Add(OfClass("ddd", MessageClass::kDigests));
  it.channel.Add(OfClass("qqq", MessageClass::kQueries));
  CHECK(it.Take() == "1 [rrr,qqq]");
  CHECK(it.dropped.size() == 1);
}

// Guards against a peer that is short of processor time and gets all that has
// piled up at once.
TEST_CASE("Batches after a failure are small and grow while they are taken") {
  Recorded it(100, 8, 2);
  for (int n = 0; n < 6; ++n) {
    it.channel.Add(Say("xx"));
  }
  it.channel.NoteFailure();
  CHECK(it.Take() == "1 [xx]");
  it.channel.Acknowledge();
  CHECK(it.Take() == "2 [xx,xx]");
  it.channel.Acknowledge();
  CHECK(it.Take() == "3 [xx,xx,xx]");
}

TEST_CASE("A full channel drops its oldest messages") {
  Recorded it(8);
  it.channel.Add(Say("aaaa"));
  it.channel.Add(Say("bbbb"));
  it.channel.Add(Say("c"));
  it.channel.Add(Say("longer than the bound"));
  CHECK(it.dropped.size() == 3);
  CHECK(it.Take() == "1 [longer than the bound]");
}

}  // namespace burdockrock
