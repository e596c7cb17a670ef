// Looks for attempts whose owner is gone.
//
// A task may be started again only when its last attempt is known not to run.
// The writer of its journal asks every member of the domain for the attempts
// that they know, with a raised generation, below which they then refuse
// offers. An attempt is lost when it was found nowhere and each worker that
// could have it is covered: its present owner claimed it, so that commands of
// an earlier owner are refused, and knows all that runs there. Workers that
// are gone from the platform's list count as covered once their last lease
// must have lapsed. While a worker is not covered the task waits.
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
  Time started{0};
  Time next_round{0};  // an earlier timer is of a search that was replaced
};

// By journal.
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
