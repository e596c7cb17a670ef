// How much instances tell each other, and that a message that is lost does no
// lasting harm.
#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "engine/fleet.h"

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
  CheckPromises(fleet);
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
  CheckPromises(fleet);
}

}  // namespace

}  // namespace burdockrock::engine
