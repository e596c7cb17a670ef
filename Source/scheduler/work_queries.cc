// Status and cancellation of work, handled here or by the writer of its
// journal.
#include <string>

#include "scheduler/context.h"
#include "scheduler/job_status.h"
#include "scheduler/jobs.h"
#include "scheduler/requests.h"
#include "scheduler/tasks.h"

namespace burdockrock {

namespace {

constexpr Duration kQueryRetryAfter = std::chrono::seconds(2);
constexpr Duration kQueryTimeout = std::chrono::seconds(2);

void AnswerNotFound(Context& context, ReplyId reply, const std::string& id) {
  context.Answer(
      reply, WorkAnswer{.id = id,
                        .verdict = NotRun{.reason = Reason::kNotFound,
                                          .detail = "no such job or request"}});
}

void AnswerWriterUnknown(Context& context,
                         ReplyId reply,
                         const std::string& id) {
  context.Answer(
      reply,
      WorkAnswer{.id = id,
                 .verdict = NotRun{.reason = Reason::kNotReady,
                                   .detail = "the entry instance that writes "
                                             "the job's journal is not known; "
                                             "ask again",
                                   .retry_after = kQueryRetryAfter}});
}

void QueryWriter(Context& context,
                 const WorkQueryArrived& asked,
                 const std::string& writer) {
  Jobs& jobs = context.state().jobs;
  const std::uint64_t query_id = jobs.next_query++;
  jobs.forwarded_queries.emplace(query_id, ForwardedQuery{.reply = asked.reply,
                          .id = asked.id,
                          .cancel = asked.cancel,
                          .deadline = context.now() + kQueryTimeout});
  context.Send(writer,
               AskWork{.ask = query_id, .id = asked.id, .cancel = asked.cancel});
}

}  // namespace

void OnWorkQuery(Context& context, const WorkQueryArrived& asked) {
  const auto request = asked.cancel ? CancelRequest(context, asked.id)
                                    : RequestStatus(context, asked.id);
  if (request) {
    context.Answer(asked.reply, *request);
    return;
  }
  Job* job = FindJob(context, asked.id);
  if (job != nullptr && asked.cancel) {
    job->cancel_replies.push_back(asked.reply);
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
    AnswerWriterUnknown(context, asked.reply, asked.id);
    return;
  }
  if (writer.empty() || writer == context.self()) {
    AnswerNotFound(context, asked.reply, asked.id);
    return;
  }
  QueryWriter(context, asked, writer);
}

void OnPeerWorkQuery(Context& context,
                     const std::string& from,
                     const AskWork& ask) {
  Job* job = FindJob(context, ask.id);
  if (job == nullptr) {
    const bool writes =
        context.state().jobs.journals.contains(LogOfJob(ask.id));
    context.Send(
        from, AskWorkAnswer{.ask = ask.ask, .found = false, .writes = writes});
    return;
  }
  if (ask.cancel) {
    job->cancel_peer = from;
    job->cancel_query = ask.ask;
    CancelJob(context, *job);
    return;
  }
  context.Send(from, AskWorkAnswer{.ask = ask.ask,
                                   .found = true,
                                   .status = *JobStatus(context, ask.id)});
}

// The writer may be lost together with the query: its caller is answered that
// it has to repeat the query. A cancellation may have been executed.
void ExpireForwardedQueries(Context& context) {
  Jobs& jobs = context.state().jobs;
  for (auto it = jobs.forwarded_queries.begin();
       it != jobs.forwarded_queries.end();) {
    const ForwardedQuery& ask = it->second;
    if (context.now() < ask.deadline) {
      ++it;
      continue;
    }
    Verdict verdict = NotRun{.reason = Reason::kNotReady,
                             .detail =
                                 "the writer of the job's journal does "
                                 "not answer; ask again",
                             .retry_after = kQueryRetryAfter};
    if (ask.cancel) {
      verdict = MayHaveRun{.reason = Reason::kOwnerLost,
                           .detail =
                               "the writer of the job's journal does not "
                               "answer; cancel again"};
    }
    context.Answer(ask.reply, WorkAnswer{.id = ask.id, .verdict = verdict});
    it = jobs.forwarded_queries.erase(it);
  }
}

void OnPeerWorkReply(Context& context, const AskWorkAnswer& answer) {
  Jobs& jobs = context.state().jobs;
  const auto it = jobs.forwarded_queries.find(answer.ask);
  if (it == jobs.forwarded_queries.end()) {
    return;  // duplicate
  }
  const ForwardedQuery ask = it->second;
  jobs.forwarded_queries.erase(it);
  if (!answer.found && !answer.writes) {
    // The journal has just moved to another writer, which may have the job.
    AnswerWriterUnknown(context, ask.reply, ask.id);
    return;
  }
  if (!answer.found) {
    AnswerNotFound(context, ask.reply, ask.id);
    return;
  }
  context.Answer(ask.reply, answer.status);
}

}  // namespace burdockrock
