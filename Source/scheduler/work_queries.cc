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
                 const WorkQueryArrived& query,
                 const std::string& writer) {
  Jobs& jobs = context.state().jobs;
  const std::uint64_t query_id = jobs.next_query++;
  jobs.forwarded_queries.emplace(
      query_id, ForwardedQuery{.reply = query.reply,
                               .id = query.id,
                               .cancel = query.cancel,
                               .deadline = context.now() + kQueryTimeout});
  context.Send(
      writer, AskWork{.ask = query_id, .id = query.id, .cancel = query.cancel});
}

}  // namespace

void OnWorkQuery(Context& context, const WorkQueryArrived& query) {
  const auto request = query.cancel ? CancelRequest(context, query.id)
                                    : RequestStatus(context, query.id);
  if (request) {
    context.Answer(query.reply, *request);
    return;
  }
  Job* job = FindJob(context, query.id);
  if (job != nullptr && query.cancel) {
    job->cancel_replies.push_back(query.reply);
    CancelJob(context, *job);
    return;
  }
  if (job != nullptr) {
    context.Answer(query.reply, *JobStatus(context, query.id));
    return;
  }
  const std::string log = LogOfJob(query.id);
  const std::string writer = log.empty() ? "" : WriterOf(context, log);
  if (writer.empty() && !log.empty()) {
    AnswerWriterUnknown(context, query.reply, query.id);
    return;
  }
  if (writer.empty() || writer == context.self()) {
    AnswerNotFound(context, query.reply, query.id);
    return;
  }
  QueryWriter(context, query, writer);
}

void OnPeerWorkQuery(Context& context,
                     const std::string& from,
                     const AskWork& query) {
  Job* job = FindJob(context, query.id);
  if (job == nullptr) {
    const bool writes =
        context.state().jobs.journals.contains(LogOfJob(query.id));
    context.Send(from, AskWorkAnswer{
                           .ask = query.ask, .found = false, .writes = writes});
    return;
  }
  if (query.cancel) {
    job->cancel_peer = from;
    job->cancel_query = query.ask;
    CancelJob(context, *job);
    return;
  }
  context.Send(from, AskWorkAnswer{.ask = query.ask,
                                   .found = true,
                                   .status = *JobStatus(context, query.id)});
}

// The writer may be lost together with the query: its caller is answered that
// it has to repeat the query. A cancellation may have been executed.
void ExpireForwardedQueries(Context& context) {
  Jobs& jobs = context.state().jobs;
  for (auto it = jobs.forwarded_queries.begin();
       it != jobs.forwarded_queries.end();) {
    const ForwardedQuery& query = it->second;
    if (context.now() < query.deadline) {
      ++it;
      continue;
    }
    Verdict verdict = NotRun{.reason = Reason::kNotReady,
                             .detail =
                                 "the writer of the job's journal does "
                                 "not answer; ask again",
                             .retry_after = kQueryRetryAfter};
    if (query.cancel) {
      verdict = MayHaveRun{.reason = Reason::kOwnerLost,
                           .detail =
                               "the writer of the job's journal does not "
                               "answer; cancel again"};
    }
    context.Answer(query.reply, WorkAnswer{.id = query.id, .verdict = verdict});
    it = jobs.forwarded_queries.erase(it);
  }
}

void OnPeerWorkReply(Context& context, const AskWorkAnswer& answer) {
  Jobs& jobs = context.state().jobs;
  const auto it = jobs.forwarded_queries.find(answer.ask);
  if (it == jobs.forwarded_queries.end()) {
    return;  // duplicate
  }
  const ForwardedQuery query = it->second;
  jobs.forwarded_queries.erase(it);
  if (!answer.found && !answer.writes) {
    // The journal has just moved to another writer, which may have the job.
    AnswerWriterUnknown(context, query.reply, query.id);
    return;
  }
  if (!answer.found) {
    AnswerNotFound(context, query.reply, query.id);
    return;
  }
  context.Answer(query.reply, answer.status);
}

}  // namespace burdockrock
