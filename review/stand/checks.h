// The rules that the cases check, as far as they need them.
#ifndef BURDOCKROCK_REVIEW_STAND_CHECKS_H_
#define BURDOCKROCK_REVIEW_STAND_CHECKS_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "stand/minion.h"

namespace review {

struct Repeated {
  RunRecord done;
  RunRecord later;
};

// TWICE: a start after a run has ended `done`, if that end is taken note of
// then or later, and the minion's lease did not lapse between the two. None of
// the cases' steps has `concurrent`.
inline std::vector<Repeated> FindStartsAfterDone(
    const std::deque<RunRecord>& runs) {
  std::map<std::string, std::vector<RunRecord>> by_task;
  std::map<std::string, std::vector<std::int64_t>> lapses;  // by minion
  for (const RunRecord& it : runs) {
    by_task[it.task].push_back(it);
    if (it.how == "lapsed") {
      lapses[it.minion].push_back(it.ended);
    }
  }
  std::vector<Repeated> found;
  for (const auto& [task, all] : by_task) {
    for (const RunRecord& done : all) {
      bool counts = done.how == "done" && done.noted >= 0;
      for (const std::int64_t it : lapses[done.minion]) {
        counts = counts && !(it >= done.ended && it <= done.noted);
      }
      for (const RunRecord& later : all) {
        if (counts && later.started > done.ended) {
          found.push_back({done, later});
          counts = false;
        }
      }
    }
  }
  return found;
}

}  // namespace review

#endif  // BURDOCKROCK_REVIEW_STAND_CHECKS_H_
