// Looks for attempts whose owner is gone.
//
// A task may be started again only when its last attempt is known not to run.
// The writer of its journal asks every member of the domain for the attempts
// that they know, with a raised generation, below which they then refuse
// offers. An attempt is lost when it was found nowhere and each worker that
// could have it is covered. A worker is covered when
// - its owner has shown after the search began that it is the owner (a member
//   that was paused may only believe so), and knows all that runs there; or
// - it is gone from the platform's list, and its last lease must have lapsed;
// or
// - every member of the domain says in one round that it has given the worker
//   no lease for longer than leases last.
// While a worker is not covered the task waits.
#ifndef BURDOCKROCK_SCHEDULER_SEARCH_H_
#define BURDOCKROCK_SCHEDULER_SEARCH_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "model/peer_message.h"
#include "model/time.h"

namespace burdockrock {

class Context;

struct Search {
  std::uint64_t generation = 0;
  std::uint64_t round = 0;
  std::set<std::string> covered;
  // By worker, the members that gave it no lease, in this round.
  std::map<std::string, std::set<std::string>> lapsed;
  Time round_started{0};
  Time started{0};
  Time next_round{0};  // an earlier timer is of a search that was replaced
};

// When this process first heard of a search.
struct SearchSeen {
  std::uint64_t generation = 0;
  Time at{0};
};

// By journal.
using SearchesSeen = std::map<std::string, SearchSeen>;
using Searches = std::map<std::string, Search>;

// Starts a search for the orphaned tasks of a journal, or starts it anew.
void StartSearch(Context& context, const std::string& log);
void OnSearchTimer(Context& context, const std::string& log);
void OnAttemptSearch(Context& context,
                     const std::string& from,
                     const AttemptSearch& search);
void OnAttemptSearchAnswer(Context& context,
                           const std::string& from,
                           const AttemptSearchAnswer& answer);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_SEARCH_H_
