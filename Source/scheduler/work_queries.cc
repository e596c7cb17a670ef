// Status and cancellation of work, here or at the writer of its journal.
#include <string>

#include "scheduler/context.h"
#include "scheduler/job_status.h"
#include "scheduler/jobs.h"
#include "scheduler/requests.h"
#include "scheduler/tasks.h"

namespace burdockrock {

namespace {

constexpr Duration kAskRetryAfter = std::chrono::seconds(2);

void AnswerNotFound(Context& context, ReplyId reply, const std::string& id) {
  context.Answer(
      reply, WorkAnswer{.id = id,
                        .verdict = NotRun{.reason = Reason::kNotFound,
                                          .detail = "no such job or request"}});
}

void AskWriter(Context& context,
               const WorkAsked& asked,
               const std::string& writer) {
  Jobs& jobs = context.state().jobs;
  const std::uint64_t ask = jobs.next_ask++;
  jobs.asks.emplace(ask, asked.reply);
  context.Send(writer,
               AskWork{.ask = ask, .id = asked.id, .cancel = asked.cancel});
}

}  // namespace

void OnWorkAsked(Context& context, const WorkAsked& asked) {
  const auto request = asked.cancel ? CancelRequest(context, asked.id)
                                    : RequestStatus(context, asked.id);
  if (request) {
    context.Answer(asked.reply, *request);
    return;
  }
  Job* job = FindJob(context, asked.id);
  if (job != nullptr && asked.cancel) {
    job->cancel_reply = asked.reply;
    CancelJob(context, *job);
    return;
  }
  if (job != nullptr) {
    context.Answer(asked.reply, *JobStatus(context, asked.id));
    return;
  }
  const std::string log = LogOfJob(asked.id);
  const std::string writer = log.empty() ? "" : WriterOf(context, log);
  if (writer.empty() && !log.empty()) {
    context.Answer(asked.reply,
                   WorkAnswer{.id = asked.id,
                              .verdict = NotRun{
                                  .reason = Reason::kNotReady,
                                  .detail = "the entry instance that writes "
                                            "the job's journal is not known; "
                                            "ask again",
                                  .retry_after = kAskRetryAfter}});
    return;
  }
  if (writer.empty() || writer == context.self()) {
    AnswerNotFound(context, asked.reply, asked.id);
    return;
  }
  AskWriter(context, asked, writer);
}

void OnAskWork(Context& context, const std::string& from, const AskWork& ask) {
  Job* job = FindJob(context, ask.id);
  if (job == nullptr) {
    context.Send(from, AskWorkAnswer{.ask = ask.ask, .found = false});
    return;
  }
  if (ask.cancel) {
    job->cancel_peer = from;
    job->cancel_ask = ask.ask;
    CancelJob(context, *job);
    return;
  }
  context.Send(from, AskWorkAnswer{.ask = ask.ask,
                                   .found = true,
                                   .status = *JobStatus(context, ask.id)});
}

void OnAskWorkAnswer(Context& context, const AskWorkAnswer& answer) {
  Jobs& jobs = context.state().jobs;
  const auto it = jobs.asks.find(answer.ask);
  if (it == jobs.asks.end()) {
    return;  // doubled
  }
  const ReplyId reply = it->second;
  jobs.asks.erase(it);
  if (!answer.found) {
    AnswerNotFound(context, reply, answer.status.id);
    return;
  }
  context.Answer(reply, answer.status);
}

}  // namespace burdockrock
