// Places queued tasks: on workers that this process owns or, by an offer, on
// workers of a peer in the same failure domain.
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

// Jobs with queued tasks, by urgency and team; each team's in order of arrival.
struct TaskQueue {
  using Teams = std::map<std::string, std::deque<std::string>>;
  std::array<Teams, kUrgencyCount> classes;
  // Number of times that each class came up; decides when lower classes go
  // first.
  std::array<std::uint64_t, kUrgencyCount> picks{};
  bool pass_needed = false;  // run a placement pass at the end of this step
  // A sweep tries the jobs behind those that passes reach, some at a time.
  bool sweeping = false;
  bool sweep_due = false;    // go on at the end of this step
  Time next_sweep{0};        // an earlier timer belongs to a sweep that ended
  bool sweep_again = false;  // passes ran since it began: room may have come
  // The next job that it tries, by class and team; none: the first.
  std::array<std::map<std::string, std::size_t>, kUrgencyCount> sweep;
};

// Adds the job to the queue, unless it is there, and requests a placement pass.
void QueueJob(Context& context, Job& job);

// Records the dispatch of a non-idempotent task before it is sent to a worker:
// after a crash, the next writer of the journal must know that the task may
// have run.
void RecordDispatch(Context& context, Job& job, std::uint32_t task);

// Runs one placement pass over the queued jobs, from the head.
void PlaceTasks(Context& context);

// Goes on with the sweep.
void SweepTasks(Context& context);

// The parameters of a start on an owned worker.
struct StartTask {
  AttemptId attempt;
  Resources resources;
  std::string payload;
  bool hold = false;       // reserve the room, run at the go
  std::string offered_by;  // the offering peer; empty for own jobs
  std::uint64_t offer_sequence = 0;
};
// Books the attempt and sends the start command. Returns false if the worker
// has no room.
bool StartOnWorker(Context& context,
                   WorkerRecord& worker,
                   const StartTask& start);

// Called when this process loses a worker that has the attempt. Makes the
// writer of the job's journal search for the attempt.
void OnAttemptMoved(Context& context, const Booking& booking);

// Handle the worker's reply to a start command and report it to the journal's
// writer.
void OnStartAccepted(Context& context,
                     WorkerRecord& worker,
                     const AttemptId& attempt);
void OnStartRejected(Context& context,
                     WorkerRecord& worker,
                     const AttemptId& attempt,
                     const std::string& why);

// Handles a worker's report that an attempt ended or is unknown to it.
void OnEndReported(Context& context,
                   WorkerRecord& worker,
                   const AttemptReport& report);

// Reports a running or ended attempt to the journal's writer. Without a known
// writer, an end is reported again later.
void ReportToWriter(Context& context,
                    const WorkerRecord& worker,
                    Booking& booking);

// Handle the messages between the writer of a job's journal and the owners of
// workers.
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

// Stops an attempt, on an owned worker or through the owner of its worker.
void StopAttempt(Context& context, Job& job, std::uint32_t task);
// Lets a held attempt run.
void GoAttempt(Context& context, Job& job, std::uint32_t task);

// Repeats offers, stops, goes and reports of ends that were not answered, and
// drops expired entries.
void OnOffersTimer(Context& context);

// Acknowledges an end that the journal has recorded, so that the worker may
// forget it. `owner` is the member that owns the worker; empty: this process.
void AcknowledgeEnd(Context& context,
                    const AttemptId& attempt,
                    const std::string& owner);

// Returns the member that writes the journal; empty when none is known.
std::string WriterOf(const Context& context, const std::string& log);

// Returns the owned worker that has the attempt; null when there is none.
WorkerRecord* FindBooking(Context& context, const AttemptId& attempt);

// Offers a task to a peer; also repeats an offer, under a new sequence number.
void OfferTask(Context& context,
               Job& job,
               std::uint32_t task,
               const std::string& peer,
               bool hold);

// Returns a peer with room for the task; empty when none is known.
std::string ChoosePeerForTask(Context& context, const Resources& need);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_TASKS_H_
