// Searches for attempts whose owner is lost.
//
// A task may be started again only when its last attempt is known not to be
// running. The writer of its journal queries all members of the domain for the
// attempts that they know of. The query carries an advanced generation, and the
// members then refuse offers of lower generations. An attempt is lost when no
// member reports it and each worker that could run it is covered. A worker is
// covered if
// - its owner has verified its ownership since the search began (a member that
//   was paused may only assume it), and so knows all attempts there; or
// - the platform's list no longer has it, and its last lease must have lapsed;
//   or
// - all members of the domain report in one round that none of them has given
//   the worker a lease for longer than the lease duration.
// While a worker is not covered, the task waits.
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

// A running search of the journal's writer.
struct Search {
  std::uint64_t generation = 0;
  std::uint64_t round = 0;
  std::set<std::string> covered;  // workers
  // By worker, the members that reported in this round that their leases of it
  // have lapsed.
  std::map<std::string, std::set<std::string>> lapsed;
  Time round_started{0};
  Time started{0};
  Time next_round{0};  // an earlier timer belongs to a replaced search
};

// When this process received the first query of a search.
struct SearchSeen {
  std::uint64_t generation = 0;
  Time at{0};
};

// Keyed by the name of the journal.
using SearchesSeen = std::map<std::string, SearchSeen>;
using Searches = std::map<std::string, Search>;

// Starts or restarts the search for the orphaned tasks of a journal.
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
