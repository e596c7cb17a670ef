#include "cli/job_wait.h"

#include <optional>

#include <fmt/format.h>

#include "cli/answer_report.h"
#include "cli/diagnostics.h"
#include "cli/progress.h"
#include "cli/status_text.h"
#include "cli/work_by_id.h"
#include "net/tcp.h"

namespace burdockrock {

namespace {

// So many looks in a row may fail while entry instances are replaced.
constexpr int kMaxFailedLooks = 20;

void Pause(boost::asio::io_context& io, Duration interval) {
  SteadyTimer timer(io);
  bool is_over = false;
  timer.expires_after(interval);
  timer.async_wait([&is_over](boost::system::error_code) { is_over = true; });
  io.restart();
  while (!is_over && io.run_one() > 0) {
  }
}

EntryResult Look(EntryClient& client, const std::string& id) {
  return client.Call({.path = "/v1/jobs/" + id}, {.idempotent = true});
}

bool HasState(const EntryResult& result) {
  const auto* answer = std::get_if<EntryAnswer>(&result);
  return answer != nullptr && answer->status == kStatusOk;
}

std::string FailureText(const EntryResult& result) {
  if (const auto* loss = std::get_if<NoAnswer>(&result)) {
    return loss->message;
  }
  const auto& answer = std::get<EntryAnswer>(result);
  return fmt::format("{} answered with status {}", answer.entry, answer.status);
}

// The last look at the job: its end, or the last of too many failures.
EntryResult LookUntilEnd(const Invocation& invocation,
                         EntryClient& client,
                         const std::string& id) {
  Progress progress(invocation.io, invocation.output);
  progress.SetText(fmt::format("{}: accepted", id));
  int failed_looks = 0;
  while (true) {
    EntryResult result = Look(client, id);
    if (HasState(result)) {
      failed_looks = 0;
      const Json::Value& body = std::get<EntryAnswer>(result).body;
      progress.SetText(fmt::format("{}: {}", id, ProgressText(body)));
      if (IsEnded(body)) {
        return result;
      }
    } else if (++failed_looks == kMaxFailedLooks) {
      return result;
    }
    Pause(invocation.io, invocation.poll_interval);
  }
}

}  // namespace

ExitCode WaitForJob(const Invocation& invocation,
                    EntryClient& client,
                    const std::string& id) {
  const EntryResult result = LookUntilEnd(invocation, client, id);
  if (!HasState(result)) {
    return Fail(invocation,
                fmt::format("job {} was accepted, but its end is not known: "
                            "{}; see 'burdockrock status {}'",
                            id, FailureText(result), id));
  }
  const Json::Value& body = std::get<EntryAnswer>(result).body;
  PrintAnswer(invocation, body, StatusText(body));
  return IsFinished(body) ? ExitCode::kOk : ExitCode::kFailed;
}

}  // namespace burdockrock
