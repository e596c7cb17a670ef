// Places waiting tasks: on this process's own workers, or by offer on those of
// a peer in the same failure domain.
#ifndef BURDOCKROCK_SCHEDULER_TASKS_H_
#define BURDOCKROCK_SCHEDULER_TASKS_H_

#include <array>
#include <deque>
#include <map>
#include <string>

#include "model/attempt.h"
#include "model/peer_message.h"
#include "model/work.h"
#include "model/worker_message.h"
#include "placement/placement_index.h"

namespace burdockrock {

class Context;
struct Job;
struct WorkerRecord;
struct Booking;

// The jobs that have waiting tasks, by urgency and team, each team's in order
// of arrival.
struct TaskQueue {
  using Teams = std::map<std::string, std::deque<std::string>>;
  std::array<Teams, kUrgencyCount> classes;
  std::array<std::uint64_t, kUrgencyCount> picks{};
  bool pass_needed = false;  // a pass is to be made at the end of this step
};

// A job has waiting tasks.
void QueueJob(Context& context, Job& job);

// Records the dispatch of a non-idempotent task before it leaves: after a
// crash the next writer must know that the task may have run.
void RecordDispatch(Context& context, Job& job, std::uint32_t task);

// One pass over the waiting jobs.
void PlaceTasks(Context& context);

// Starts an attempt on an owned worker. False when it has no room.
struct StartTask {
  AttemptId attempt;
  Resources resources;
  std::string payload;
  bool hold = false;
  std::string offered_by;
  std::uint64_t offer_sequence = 0;
};
bool StartOnWorker(Context& context,
                   WorkerRecord& worker,
                   const StartTask& start);

// The worker was taken from this process while the attempt was there. Its
// journal's writer is told to look for it.
void OnAttemptMoved(Context& context, const Booking& booking);

// The worker's answers, passed to the journal's writer.
void OnStartAccepted(Context& context,
                     WorkerRecord& worker,
                     const AttemptId& attempt);
void OnStartRejected(Context& context,
                     WorkerRecord& worker,
                     const AttemptId& attempt,
                     const std::string& why);

// The worker says that an attempt ended, or no longer has it.
void OnEndReported(Context& context,
                   WorkerRecord& worker,
                   const AttemptReport& report);

// Tells the journal's writer of a running or ended attempt.
void ReportToWriter(Context& context,
                    const WorkerRecord& worker,
                    Booking& booking);

void OnTaskOffer(Context& context,
                 const std::string& from,
                 const TaskOffer& offer);
void OnTaskRefused(Context& context,
                   const std::string& from,
                   const TaskRefused& refused);
void OnTaskUpdate(Context& context,
                  const std::string& from,
                  const TaskUpdate& update);
void OnTaskAcknowledged(Context& context, const AttemptId& attempt);
void OnTaskGo(Context& context, const AttemptId& attempt);
void OnTaskStop(Context& context,
                const std::string& from,
                const AttemptId& attempt);

// Stops an attempt wherever it is.
void StopAttempt(Context& context, Job& job, std::uint32_t task);
void GoAttempt(Context& context, Job& job, std::uint32_t task);

// Repeats offers and ends that were not answered.
void OnOffersTimer(Context& context);

// The attempt's end is recorded: its worker may forget it.
void AcknowledgeEnd(Context& context,
                    const AttemptId& attempt,
                    const std::string& owner);

// The member that writes the journal; empty when none is known.
std::string WriterOf(const Context& context, const std::string& log);

// Looks for the worker that holds the attempt.
WorkerRecord* FindBooking(Context& context, const AttemptId& attempt);

// Sends an offer of a task to a peer; used again to repeat it.
void OfferTask(Context& context,
               Job& job,
               std::uint32_t task,
               const std::string& peer,
               bool hold);

// A peer with room for the task; empty when none is known.
std::string ChoosePeerForTask(Context& context, const Resources& need);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_TASKS_H_
