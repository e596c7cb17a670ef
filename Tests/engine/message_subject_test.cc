// Which messages to a member make earlier ones superfluous.
#include "engine/members/message_subject.h"

#include <algorithm>

#include <doctest/doctest.h>

namespace burdockrock::engine {

namespace {

bool Replaces(const PeerMessage& later, const PeerMessage& earlier) {
  const MessageSubject replaced = SubjectOf(earlier);
  return !replaced.parts.empty() &&
         std::ranges::includes(SubjectOf(later).parts, replaced.parts);
}

}  // namespace

// Guards against rounds of queries that pile up for a member.
TEST_CASE("A round of queries replaces one that asked for no more") {
  const AdoptQuery one = {.jobs = {{.job = "a", .generation = 1}}};
  AdoptQuery two = one;
  two.jobs.push_back({.job = "b", .generation = 1});
  two.wants_workers = true;
  CHECK(Replaces(two, one));
  CHECK_FALSE(Replaces(one, two));
  AdoptQuery unlisted = one;
  unlisted.remembered.push_back({.worker = "w1"});
  CHECK_FALSE(Replaces(two, unlisted));
  CHECK(Replaces(
      RunQueries{.runs = {{.task = "t1", .run = 2}, {.task = "t2", .run = 1}}},
      RunQueries{.runs = {{.task = "t2", .run = 1}}}));
  CHECK(Replaces(LeaseQuery{.workers = {{.worker = "w1", .number = 2},
                                        {.worker = "w2", .number = 3}}},
                 LeaseQuery{.workers = {{.worker = "w1", .number = 2}}}));
  CHECK(Replaces(DigestRequest(), DigestRequest()));
  // Must arrive before the reports that are sent after it.
  CHECK_FALSE(Replaces(WorkersCrashed{.workers = {"w2", "w1"}},
                       WorkersCrashed{.workers = {"w1"}}));
}

// Guards against a later message that takes what only the earlier one says.
TEST_CASE("A message does not replace one that says something else") {
  // The job was adopted again since.
  CHECK_FALSE(Replaces(AdoptQuery{.jobs = {{.job = "a", .generation = 2}}},
                       AdoptQuery{.jobs = {{.job = "a", .generation = 1}}}));
  // Another claim of the worker.
  CHECK_FALSE(Replaces(LeaseQuery{.workers = {{.worker = "w1", .number = 3}}},
                       LeaseQuery{.workers = {{.worker = "w1", .number = 2}}}));
  // Another caller of the same job.
  CHECK_FALSE(Replaces(JobQuery{.call = 2, .job = "a"},
                       JobQuery{.call = 1, .job = "a"}));
  // A job that the sender has given up since.
  CHECK_FALSE(
      Replaces(JobReply{.call = 1}, JobReply{.call = 1, .known = true}));
  // A run that has ended, and whose end is stored, since.
  CHECK_FALSE(Replaces(
      AdoptReport{.jobs = {"a"}},
      AdoptReport{.jobs = {"a"}, .runs = {{.task = "a.0.0.0", .run = 1}}}));
  // A worker that the sender no longer owns.
  CHECK_FALSE(Replaces(
      AdoptReport{.jobs = {"a"}},
      AdoptReport{.jobs = {"a"}, .covered = {{.worker = "w1", .fence = 4}}}));
  // A run that has gone on since it stalled.
  CHECK_FALSE(Replaces(
      RunReports{.runs = {{.task = "t1", .state = RunState::kRunning}}},
      RunReports{.runs = {{.task = "t1", .state = RunState::kStalled}}}));
}

// Guards against offers and answers, which are sent once, that are not sent.
TEST_CASE("Messages that are not repeated replace none") {
  CHECK_FALSE(Replaces(TaskOffer{.job = "a"}, TaskOffer{.job = "a"}));
  CHECK_FALSE(Replaces(OfferAnswers(), OfferAnswers()));
  CHECK_FALSE(Replaces(PeerAdviceRequest(), PeerAdviceRequest()));
  CHECK_FALSE(Replaces(QuotaGrants(), QuotaGrants()));
}

// Guards against reports of runs that arrive after newer ones.
TEST_CASE("All reports of runs are of one class") {
  CHECK(SubjectOf(AdoptReport()).order == MessageClass::kRuns);
  CHECK(SubjectOf(EndReports()).order == MessageClass::kRuns);
  CHECK(SubjectOf(RunReports()).order == MessageClass::kRuns);
  CHECK(SubjectOf(OfferAnswers()).order == MessageClass::kRuns);
  CHECK(SubjectOf(LeaseReport()).order == MessageClass::kLeases);
  CHECK(SubjectOf(JobReply()).order == MessageClass::kReplies);
  CHECK(SubjectOf(AdoptQuery()).order == MessageClass::kQueries);
  CHECK(SubjectOf(RelayedDigests()).order == MessageClass::kDigests);
}

}  // namespace burdockrock::engine
