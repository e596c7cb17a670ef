#include "cli/answer_report.h"
#include "cli/client_flags.h"
#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/entry_client.h"
#include "cli/job_wait.h"
#include "cli/progress.h"
#include "cli/setting_report.h"
#include "cli/submit_flags.h"
#include "cli/submit_verdict.h"

namespace burdockrock {

namespace {

SubmitVerdict Send(const Invocation& invocation,
                   EntryClient& client,
                   const Submission& submission) {
  Progress progress(invocation.io, invocation.output);
  progress.SetText("waiting for the answer");
  const EntryResult result =
      client.Call(submission.request, {.idempotent = submission.idempotent,
                                       .timeout = submission.timeout,
                                       .find_fault = FindVerdictFault});
  if (const auto* loss = std::get_if<NoAnswer>(&result)) {
    return VerdictOfNoAnswer(*loss);
  }
  return ReadVerdict(std::get<EntryAnswer>(result));
}

ExitCode Submit(const Invocation& invocation) {
  if (const auto fault = FindSubmitFault()) {
    return FailUsage(invocation.output, invocation.command, *fault);
  }
  auto from_file =
      IsFromFile()
          ? SubmissionFromFile()
          : std::variant<Submission, SettingErrors>(SubmissionFromFlags());
  if (const auto* errors = std::get_if<SettingErrors>(&from_file)) {
    return FailSettings(invocation, *errors);
  }
  const auto& submission = std::get<Submission>(from_file);
  EntryClient client(invocation.io, EntriesFromFlag());
  const SubmitVerdict verdict = Send(invocation, client, submission);
  if (submission.wait && verdict.kind == VerdictKind::kAccepted) {
    return WaitForJob(invocation, client, verdict.id);
  }
  PrintAnswer(invocation, VerdictJson(verdict),
              VerdictText(verdict, submission.idempotent));
  return IsSuccess(verdict) ? ExitCode::kOk : ExitCode::kFailed;
}

}  // namespace

Command SubmitCommand() {
  return {.name = "submit",
          .summary = "Submits a request, service, batch, gang or job of steps",
          .flags = ClientFlags(SubmitFlags()),
          .run = Submit};
}

}  // namespace burdockrock
