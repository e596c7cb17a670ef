// How much instances tell each other, and that a message that is lost does no
// lasting harm.
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

}  // namespace

}  // namespace burdockrock::engine
