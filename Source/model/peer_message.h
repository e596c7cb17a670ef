// Messages between entry instances. All are one-way and may be lost, late,
// doubled or reordered; each handler in the scheduler says why it bears that.
#ifndef BURDOCKROCK_MODEL_PEER_MESSAGE_H_
#define BURDOCKROCK_MODEL_PEER_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "model/attempt.h"
#include "model/caller_message.h"
#include "model/platform.h"
#include "model/resources.h"
#include "model/time.h"
#include "model/verdict.h"
#include "model/work.h"
#include "model/worker_message.h"

namespace burdockrock {

struct ServiceRoom {
  std::string service;
  std::int64_t free_slots = 0;
  std::int64_t waiting = 0;  // requests queued
  auto operator<=>(const ServiceRoom&) const = default;
};

// A journal that the sender writes; `generation` rises with each adoption.
struct LedLog {
  std::string name;
  std::uint64_t generation = 0;
  auto operator<=>(const LedLog&) const = default;
};

// What an entry instance tells its peers of itself each period.
struct Digest {
  std::uint64_t sequence = 0;
  bool serving = false;   // has a policy and may own workers
  bool draining = false;  // gives its workers away
  std::vector<ServiceRoom> services;
  Resources free;  // open owned workers, summed
  std::int64_t waiting_tasks = 0;
  std::uint32_t owned = 0;
  Revision config_revision = 0;
  Revision instances_revision = 0;
  Duration platform_age{0};  // since the platform's last answer
  std::vector<LedLog> logs;
  auto operator<=>(const Digest&) const = default;
};

// Asks a peer to run a request; answered by ForwardAnswer with the same id.
struct ForwardRequest {
  Request request;  // `deadline` is what is left of it
  auto operator<=>(const ForwardRequest&) const = default;
};

struct ForwardAnswer {
  WorkAnswer answer;
  auto operator<=>(const ForwardAnswer&) const = default;
};

struct CancelForward {
  std::string id;
  auto operator<=>(const CancelForward&) const = default;
};

// Asks the owner of other workers to start a task at once or refuse.
// `sequence` rises with each offer of a sender's incarnation to one peer, so
// that a doubled or late offer is known and dropped.
struct TaskOffer {
  std::uint64_t sequence = 0;
  std::string to_incarnation;
  std::uint64_t generation = 0;  // of the journal that the job is in
  AttemptId attempt;
  JobKind kind = JobKind::kBatch;
  Resources resources;
  std::string payload;
  bool hold = false;
  auto operator<=>(const TaskOffer&) const = default;
};

// Nothing was started for this offer, and nothing will be.
struct TaskRefused {
  std::uint64_t sequence = 0;
  AttemptId attempt;
  std::string reason;
  auto operator<=>(const TaskRefused&) const = default;
};

// The state of an attempt, told by its worker's owner to the job's journal
// writer; an ended one is told again until TaskAcknowledged.
struct TaskUpdate {
  AttemptReport report;
  std::string worker;
  auto operator<=>(const TaskUpdate&) const = default;
};

struct TaskAcknowledged {
  AttemptId attempt;
  auto operator<=>(const TaskAcknowledged&) const = default;
};

// Lets a held attempt run.
struct TaskGo {
  AttemptId attempt;
  auto operator<=>(const TaskGo&) const = default;
};

struct TaskStop {
  AttemptId attempt;
  auto operator<=>(const TaskStop&) const = default;
};

// Offers the ownership of a worker; the receiver claims it with a higher
// epoch.
struct Handover {
  std::string worker;
  Epoch epoch = 0;
  auto operator<=>(const Handover&) const = default;
};

// Asks for every attempt of the jobs in a journal. The receiver takes no
// further offers of a lower generation.
struct AttemptSearch {
  std::string log;
  std::uint64_t generation = 0;
  std::uint64_t round = 0;
  auto operator<=>(const AttemptSearch&) const = default;
};

struct AttemptSearchAnswer {
  std::string log;
  std::uint64_t round = 0;
  std::vector<TaskUpdate> found;
  // Workers that proved to be the sender's after the search began, and all of
  // whose attempts are in `found`.
  std::vector<std::string> covered;
  // Workers to which the sender has given no lease for so long that all of its
  // leases have lapsed.
  std::vector<std::string> lapsed;
  auto operator<=>(const AttemptSearchAnswer&) const = default;
};

// Asks the receiver to take over a journal whose writer is leaving.
struct AdoptLog {
  std::string log;
  auto operator<=>(const AdoptLog&) const = default;
};

// Asks for documents newer than these revisions.
struct PullDocuments {
  Revision config_revision = 0;
  Revision instances_revision = 0;
  auto operator<=>(const PullDocuments&) const = default;
};

struct ConfigDocument {
  ConfigView view;
  auto operator<=>(const ConfigDocument&) const = default;
};

struct InstancesDocument {
  InstanceList list;
  auto operator<=>(const InstancesDocument&) const = default;
};

// Asks the writer of a job's journal for its status, or to cancel it.
struct AskWork {
  std::uint64_t ask = 0;
  std::string id;
  bool cancel = false;
  auto operator<=>(const AskWork&) const = default;
};

struct AskWorkAnswer {
  std::uint64_t ask = 0;
  bool found = false;
  // The answering instance writes the job's journal; else that it does not
  // find the job says nothing.
  bool writes = true;
  WorkStatus status;
  auto operator<=>(const AskWorkAnswer&) const = default;
};

using PeerMessage = std::variant<Digest,
                                 ForwardRequest,
                                 ForwardAnswer,
                                 CancelForward,
                                 TaskOffer,
                                 TaskRefused,
                                 TaskUpdate,
                                 TaskAcknowledged,
                                 TaskGo,
                                 TaskStop,
                                 Handover,
                                 AttemptSearch,
                                 AttemptSearchAnswer,
                                 AdoptLog,
                                 PullDocuments,
                                 ConfigDocument,
                                 InstancesDocument,
                                 AskWork,
                                 AskWorkAnswer>;

}  // namespace burdockrock

#endif  // BURDOCKROCK_MODEL_PEER_MESSAGE_H_
