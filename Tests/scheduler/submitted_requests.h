// Requests submitted by a test, each identified by a key, and the check that
// their verdicts are true.
#ifndef BURDOCKROCK_TESTS_SCHEDULER_SUBMITTED_REQUESTS_H_
#define BURDOCKROCK_TESTS_SCHEDULER_SUBMITTED_REQUESTS_H_

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "scheduler/entry_group.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

// Slots of the one minion per domain that most of these tests use.
inline constexpr int kSlots = 8;

inline Request KeyedRequest(const std::string& key, int sleep_ms) {
  return DeskRequest("sleep_ms=" + std::to_string(sleep_ms) + ";answer=" + key +
                     ";key=" + key);
}

// The submitted requests, by the key under which the recorder counts their
// runs.
class SubmittedRequests {
 public:
  explicit SubmittedRequests(EntryGroup& group) : group_(group) {}

  ReplyId Submit(const std::string& entry,
                 const std::string& key,
                 int sleep_ms) {
    return Submit(entry, key, KeyedRequest(key, sleep_ms));
  }

  ReplyId Submit(const std::string& entry,
                 const std::string& key,
                 const Request& request) {
    const ReplyId reply = group_.Submit(entry, request);
    submitted_.emplace_back(reply, key);
    return reply;
  }

  void SubmitMany(const std::string& entry,
                  const std::string& prefix,
                  int count,
                  int sleep_ms) {
    for (int it = 0; it < count; ++it) {
      Submit(entry, prefix + std::to_string(it), sleep_ms);
    }
  }

  // Checks that every request was answered; that one with the verdict "not run"
  // did not run, and one with "ran" ran once and got its own answer. Returns
  // the count of "not run" by reason.
  std::map<Reason, int> Check() const {
    std::map<Reason, int> refused;
    for (const auto& it : submitted_) {
      const ReplyId reply = it.first;
      const std::string& key = it.second;
      CAPTURE(key);
      const auto verdict = group_.VerdictOf(reply);
      REQUIRE(verdict);
      const std::uint64_t times = group_.recorder().ExecutionsOf(key);
      if (const auto* not_run = std::get_if<NotRun>(&*verdict)) {
        CHECK(times == 0);
        ++refused[not_run->reason];
      } else if (const auto* ran = std::get_if<Ran>(&*verdict)) {
        CHECK(times == 1);
        CHECK(ran->answer == key);
      }
    }
    CHECK(group_.Violations() == "");
    return refused;
  }

 private:
  EntryGroup& group_;
  std::vector<std::pair<ReplyId, std::string>> submitted_;
};

inline std::string NameOf(const char* prefix, int number) {
  return prefix + std::to_string(number);
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_SCHEDULER_SUBMITTED_REQUESTS_H_
