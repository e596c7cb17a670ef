// How much instances tell each other, and that a message that is lost does no
// lasting harm.
#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/advice/advice_turns.h"
#include "engine/fleet.h"
#include "engine/members/peer_codec.h"
#include "engine/members/room_codec.h"
#include "net/json.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Messages of one kind that were sent between instances.
template <typename Message>
struct Counter {
  explicit Counter(Fleet& fleet) {
    fleet.on_peer = [this](const std::string&, const SendPeer& send) {
      if (const auto* it = std::get_if<Message>(&send.message)) {
        sent.push_back(*it);
      }
    };
  }
  std::vector<Message> sent{};
};

// An instance with 40 jobs a second in its fleet sent 18 stops a second though
// no job was cancelled. Each task that had ended was stopped once more, and the
// worker's owner, which no longer found the run, told its end a second time: 59
// messages with ends and 37 with stops a second where 30 with ends suffice.
TEST_CASE("A task that has ended is not stopped") {
  Fleet fleet;
  fleet.Settle();
  const Counter<TaskStops> stops(fleet);
  fleet.Submit("n0", "j1", Chain(2, 40));
  fleet.Run(seconds(5));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CHECK(stops.sent.size() == 0);
  CheckInvariants(fleet);
}

// `node` knows the room of all workers of `owner`.
bool KnowsRoomOf(const Fleet& fleet,
                 const std::string& node,
                 const std::string& owner) {
  const auto& owned = fleet.state(owner).owned;
  return std::all_of(owned.begin(), owned.end(), [&](const auto& it) {
    return fleet.state(node).view.at(it.first).free ==
           fleet.state(owner).view.at(it.first).free;
  });
}

// All rooms were told each second, 85 KB a second of an instance with nothing
// to do at 30 instances. Since they are not any more, one that missed a change
// must notice by the sequence and ask, or it offers in vain for ever.
TEST_CASE("Who missed a change of room asks for the whole") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(60)});
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return from == "n0" && to == "n1";
  };
  const Counter<DigestAsk> asks(fleet);
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(milliseconds(500));
  CHECK_FALSE(KnowsRoomOf(fleet, "n1", "n0"));
  CHECK(asks.sent.empty());
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
  fleet.Run(milliseconds(1500));
  CHECK(KnowsRoomOf(fleet, "n1", "n0"));
  CHECK(asks.sent.size() == 1);
}

// The room for an offer is set aside in the view of whoever offers, and comes
// back with the worker's next change. When the offer is lost there is no
// change.
TEST_CASE("Room that was set aside for a lost offer comes back") {
  Fleet fleet;
  fleet.Settle();
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return from == "n0" && to == "n1";
  };
  fleet.Submit("n0", "j1", OneStep(40));
  fleet.Run(milliseconds(200));
  fleet.Cancel("n0", "j1");
  fleet.Run(milliseconds(100));
  CHECK_FALSE(KnowsRoomOf(fleet, "n0", "n1"));
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
  fleet.Run(seconds(3));
  CHECK(KnowsRoomOf(fleet, "n0", "n1"));
}

// 320 of 707 offers were refused at an instance of a grown site. A task that is
// refused went elsewhere only after 20 ms, and the view of the worker that had
// refused stayed wrong until the next digest.
TEST_CASE("A refusal says what room there is, and the task goes elsewhere") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(60)});
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return from == "n1" && to == "n0";
  };
  fleet.Submit("n1", "j1", OneStep(16));
  fleet.Run(milliseconds(500));
  CHECK_FALSE(KnowsRoomOf(fleet, "n0", "n1"));
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
  const Counter<OfferAnswers> answers(fleet);
  fleet.Submit("n0", "j2", OneStep(32));
  fleet.Run(milliseconds(60));
  const bool told =
      std::any_of(answers.sent.begin(), answers.sent.end(),
                  [](const OfferAnswers& it) { return !it.rooms.empty(); });
  CHECK(told);
  CHECK(CountRuns(fleet, "j2") == 32);
  CheckInvariants(fleet);
}

// In a large fleet the members' waits for the advice service are told late. All
// instances took the first of those that were told idle: short calls queued
// there while others had nothing to do.
TEST_CASE("Calls for advice at one moment go to several members") {
  Fleet fleet({.instances = 9, .workers = 18, .advice = true});
  fleet.Settle();
  std::set<std::string> asked;
  std::size_t asks = 0;
  fleet.on_peer = [&](const std::string&, const SendPeer& send) {
    if (std::holds_alternative<AdviceAsk>(send.message)) {
      asked.insert(send.to);
      ++asks;
    }
  };
  for (const std::string& it : fleet.nodes()) {
    fleet.Submit(it, "job-" + it, OneStep(4));
  }
  fleet.Run(milliseconds(30));
  CHECK(asks >= 6);
  CHECK(asked.size() == 3);
}

// The wait that a member's digest had told was believed until the next one, 770
// ms later at 30 members, though its answers came meanwhile.
TEST_CASE("An answer with advice tells the member's wait") {
  Fleet fleet({.advice = true});
  fleet.Settle();
  fleet.DeliverPeerMessage(
      "n1", "n0-1", RoomDigest{.sequence = 1, .advice_wait = seconds(2)});
  CHECK(fleet.state("n1").advice.waits.at("n0-1") == seconds(2));
  std::vector<AdviceReply> replies;
  fleet.on_peer = [&](const std::string& from, const SendPeer& send) {
    if (const auto* it = std::get_if<AdviceReply>(&send.message)) {
      CHECK(it->wait == AdviceWait(fleet.state(from), fleet.now()));
      replies.push_back(*it);
    }
  };
  for (const char* it : {"j1", "j2", "j3", "j4"}) {
    fleet.Submit("n1", it, OneStep(4));
    fleet.Submit("n2", it + std::string("b"), OneStep(4));
  }
  fleet.Run(milliseconds(300));
  REQUIRE_FALSE(replies.empty());
  CHECK(std::any_of(replies.begin(), replies.end(), [](const AdviceReply& it) {
    return it.wait > Duration(0);
  }));
  CHECK(fleet.state("n1").advice.waits.at("n0-1") < seconds(1));
}

TEST_CASE("Rooms are read back as they were written, and are short") {
  const std::vector<WorkerRoom> rooms = {
      {.worker = "w1",
       .fence = 7,
       .version = 12,
       .free = {.processors_milli = 9400, .memory_mb = 48'000},
       .accepting = true,
       .slowness = 104},
      {.worker = "w2",
       .fence = 7,
       .version = 3,
       .yielding = {.processors_milli = 10, .memory_mb = 20, .accelerators = 1},
       .accepting = true},
      {.worker = "w3", .fence = 9, .gone = true},
  };
  for (const PeerMessage& it :
       {PeerMessage(RoomDigest{.sequence = 5, .whole = true, .workers = rooms}),
        PeerMessage(OfferAnswers{.rooms = rooms}), PeerMessage(DigestAsk())}) {
    const Json::Value written = EncodePeerNotification("n1-2", it);
    CHECK(std::get<PeerMessage>(DecodePeerMessage(written["method"].asString(),
                                                  written["params"])) == it);
  }
  CHECK(WriteJson(WriteValue(rooms)) ==
        R"([7,["w1",12,1,9400,48000,104],["w2",3,1,0,0,0,0,10,20,1],)"
        R"(9,["w3",0,2]])");
}

// An instance knew a job's former owner, a member still, and missed the
// questions of the present one and its offer. It then answered none of its
// questions about the run, since a former owner must not hear that a run is not
// there, and two jobs of a run of random faults stood still for 50 s, a task of
// each offered.
TEST_CASE("Who knows a job's former owner learns of the present one") {
  Fleet fleet;
  fleet.Settle();
  fleet.DeliverPeerMessage("n1", "n2-1", AdoptQuery{.jobs = {{"j1", 1}}});
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return from == "n0" && to == "n1";
  };
  fleet.Submit("n0", "j1", OneStep(30));
  fleet.Run(milliseconds(300));
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
  fleet.Run(seconds(5));
  CHECK(fleet.StateOf("n0", "j1") == JobState::kCompleted);
  CheckInvariants(fleet);
}

// A member of the release before tells one wait, for calls of any priority.
// Read as no wait at all for urgent ones, it drew all of them.
TEST_CASE("Who tells one wait for advice tells it for urgent calls, too") {
  Json::Value params = EncodePeerNotification(
      "n1-2", RoomDigest{.advice_wait = milliseconds(700),
                         .advice_urgent_wait = milliseconds(40)})["params"];
  params["message"].removeMember("advice_urgent_ms");
  const RoomDigest read = std::get<RoomDigest>(
      std::get<PeerMessage>(DecodePeerMessage("room_digest", params)));
  CHECK(read.advice_wait == milliseconds(700));
  CHECK(read.advice_urgent_wait == milliseconds(700));
}

TEST_CASE("A damaged room is refused") {
  const Json::Value good = EncodePeerNotification(
      "n1-2", RoomDigest{.workers = {{.worker = "w1", .fence = 7}}});
  const char* const damaged[] = {"[[]]",
                                 "7",
                                 R"([-1,["w1"]])",
                                 R"(["w1"])",
                                 R"([7,[3]])",
                                 R"([7,["w1",1,3]])",
                                 R"([7,["w1",1,1,1000000001]])",
                                 R"([7,["w1",1,1,0,0,4294967296]])",
                                 R"([7,["w1",1,1,0,0,0,0,0,0,0,0]])"};
  for (const char* it : damaged) {
    INFO(it);
    Json::Value params = good["params"];
    params["message"]["workers"] = std::get<Json::Value>(
        ParseJson(fmt::format(R"({{"rooms":{}}})", it)))["rooms"];
    CHECK(std::holds_alternative<DecodeError>(
        DecodePeerMessage("room_digest", params)));
  }
}

}  // namespace

}  // namespace burdockrock::engine
