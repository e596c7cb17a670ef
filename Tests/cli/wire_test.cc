// The command line against the codec that entry instances use: what it sends
// is read there, what is written there is read here.
#include <algorithm>
#include <optional>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <boost/asio/io_context.hpp>

#include "cli/command_line.h"
#include "net/http_server.h"
#include "wire/caller_codec.h"

namespace burdockrock {

namespace {

constexpr Duration kPollInterval(100);
constexpr char kBaseFile[] = BURDOCKROCK_ROOT "/Tests/cli/files/base.json";

// What a real body was read as; nothing while none or a wrong one came.
struct Received {
  std::optional<Request> request;
  std::optional<JobSpec> job;
  std::optional<ConfigProposal> proposal;
};

template <typename T>
void Keep(const std::variant<T, DecodeErrors>& decoded,
          std::optional<T>& kept) {
  if (const auto* value = std::get_if<T>(&decoded)) {
    kept = *value;
  }
}

struct Run {
  ExitCode exit = ExitCode::kUsage;
  std::string out;
  std::string err;
  Received received;
};

// Runs the words against an entry instance that gives the answers in turn, the
// last one to all further calls.
Run RunAgainst(std::vector<std::string> words,
               const std::vector<CallerAnswer>& answers) {
  Run run;
  std::size_t next = 0;
  boost::asio::io_context io;
  HttpServer server(
      io, {}, [&](const HttpRequest& request, const HttpResponder& responder) {
        Keep(DecodeRequestBody(request.body), run.received.request);
        Keep(DecodeJobBody(request.body), run.received.job);
        Keep(DecodeConfigBody(request.body), run.received.proposal);
        responder(EncodeCallerAnswer(answers[next]));
        next = std::min(next + 1, answers.size() - 1);
      });
  const auto port = server.Listen();
  REQUIRE(std::holds_alternative<std::uint16_t>(port));
  words.push_back("--entry");
  words.push_back(fmt::format("127.0.0.1:{}", std::get<std::uint16_t>(port)));
  std::ostringstream out;
  std::ostringstream err;
  Output output = {.out = out, .err = err};
  run.exit = RunCommandLine(words, output, io, kPollInterval);
  run.out = out.str();
  run.err = err.str();
  return run;
}

const std::vector<std::string> kSubmitRequest = {
    "submit",   "--service", "permit-desk", "--team",
    "guides",   "--urgency", "urgent",      "--deadline_ms",
    "2000",     "--id",      "mine-1",      "--key",
    "permit-9", "--payload", "El Tucuche",  "--noidempotent"};

const std::vector<std::string> kSubmitGang = {
    "submit", "--kind",         "gang", "--count",
    "4",      "--memory_mb",    "4096", "--processors_milli",
    "2000",   "--accelerators", "1",    "--run_time_ms",
    "60000"};

}  // namespace

TEST_CASE("a submitted request is read as it was meant") {
  const Run run = RunAgainst(
      kSubmitRequest,
      {WorkAnswer{.id = "mine-1", .verdict = Ran{.answer = "issued"}}});
  CHECK(run.exit == ExitCode::kOk);
  CHECK(run.out == "ran mine-1; its answer:\nissued\n");
  const Request expected = {.id = "mine-1",
                            .service = "permit-desk",
                            .team = "guides",
                            .urgency = Urgency::kUrgent,
                            .deadline = std::chrono::seconds(2),
                            .idempotent = false,
                            .key = "permit-9",
                            .payload = "El Tucuche"};
  REQUIRE(run.received.request);
  CHECK((*run.received.request == expected));
}

TEST_CASE("a submitted gang is read as it was meant") {
  const Run run =
      RunAgainst(kSubmitGang, {WorkAnswer{.id = "j1", .verdict = Accepted{}}});
  CHECK(run.exit == ExitCode::kOk);
  const JobSpec expected = {.kind = JobKind::kGang,
                            .count = 4,
                            .resources = {.processors_milli = 2000,
                                          .memory_mb = 4096,
                                          .accelerators = 1},
                            .run_time = std::chrono::minutes(1)};
  REQUIRE(run.received.job);
  CHECK((*run.received.job == expected));
}

TEST_CASE("each verdict of an entry instance is told") {
  struct Row {
    Verdict verdict;
    std::string out;
  };
  const std::vector<Row> rows = {
      {Ran{.failed = true, .answer = "no slot"},
       "ran and failed r1 after waiting 3 ms; its answer:\nno slot\n"},
      {NotRun{.reason = Reason::kOverloaded,
              .retry_after = std::chrono::milliseconds(250)},
       "not run r1: overloaded; submit it again in 250 ms\n"},
      {NotRun{.reason = Reason::kUnknownService, .detail = "none serves it"},
       "not run r1: unknown_service (none serves it); submitting it again "
       "unchanged won't help\n"},
      {MayHaveRun{.reason = Reason::kLeaseLapsed},
       "may have run r1: lease_lapsed; check its effect before anything else; "
       "with the same key it is not run twice\n"},
  };
  for (const Row& row : rows) {
    const Run run = RunAgainst(
        kSubmitRequest, {WorkAnswer{.id = "r1",
                                    .verdict = row.verdict,
                                    .waited = std::chrono::milliseconds(3)}});
    CHECK(run.exit == ExitCode::kFailed);
    CHECK(run.out == row.out);
  }
}

TEST_CASE("waiting ends at each end state of a job") {
  struct Row {
    WorkState state;
    ExitCode exit;
  };
  for (const Row& row : {Row{WorkState::kFinished, ExitCode::kOk},
                         Row{WorkState::kFailed, ExitCode::kFailed},
                         Row{WorkState::kCancelled, ExitCode::kFailed}}) {
    const Run run =
        RunAgainst({"submit", "--kind", "batch", "--wait"},
                   {WorkAnswer{.id = "j1", .verdict = Accepted{}},
                    WorkStatus{.id = "j1", .state = WorkState::kQueued},
                    WorkStatus{.id = "j1", .state = WorkState::kRunning},
                    WorkStatus{.id = "j1", .state = row.state}});
    CHECK(run.exit == row.exit);
    const std::string line =
        fmt::format("state: {}\n", WorkStateName(row.state));
    CHECK(run.out.find(line) != std::string::npos);
  }
}

TEST_CASE("a put policy is read whole, and a lost race names the winner") {
  const std::vector<std::string> words = {
      "config", "put", "--base", kBaseFile, "--expect", "7", "--author", "ana"};
  const Run run =
      RunAgainst(words, {ConfigConflict{.revision = 8, .author = "wei"}});
  CHECK(run.exit == ExitCode::kFailed);
  CHECK(run.err.find("revision 8 by 'wei' is in force") != std::string::npos);
  REQUIRE(run.received.proposal);
  CHECK(run.received.proposal->expect == 7);
}

}  // namespace burdockrock
