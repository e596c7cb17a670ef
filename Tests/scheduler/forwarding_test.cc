// Requests that are forwarded to a peer.
#include <doctest/doctest.h>

#include <vector>

#include "scheduler/entry_group.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

// Guards against forwarded requests that are answered only at their deadline,
// with "may have run", although no message was lost. The peer's slots were
// occupied since its digest, so that it refuses the request. It sent the
// refusal under an empty id, as the RequestEntry that holds the id had been
// erased, and the forwarding entry couldn't match it.
TEST_CASE("Admits a request again after a peer has refused its forward") {
  EntryGroup group({.entries = {2}, .workers = 0, .minions = 2});
  REQUIRE(Settle(group));
  group.Run(std::chrono::seconds(2));
  std::vector<ReplyId> replies;
  for (int it = 0; it < 10; ++it) {
    for (const std::string& entry : group.entries()) {
      replies.push_back(
          group.Submit(entry, DeskRequest("sleep_ms=100;answer=x")));
    }
  }
  group.Run(std::chrono::milliseconds(400));
  for (const ReplyId it : replies) {
    CHECK(group.VerdictOf(it) == Verdict(Ran{.answer = "x"}));
  }
  const Counters& counters = group.state("d0-e0").counters;
  CHECK(counters.forwards_refused > 0);
}

}  // namespace burdockrock
