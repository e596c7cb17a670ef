// JSON field names of the messages between entry instances.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_PEER_FIELDS_H_
#define BURDOCKROCK_ENGINE_MEMBERS_PEER_FIELDS_H_

#include "engine/members/crash_fields.h"
#include "engine/members/peer_message.h"
#include "engine/members/room_codec.h"
#include "engine/records/record_fields.h"

namespace burdockrock {

template <>
struct EnumText<engine::OfferOutcome> {
  static constexpr engine::OfferOutcome kLast = engine::OfferOutcome::kStopped;
  static constexpr auto* kName = &engine::OfferOutcomeName;
};

template <>
struct EnumText<engine::Standing> {
  static constexpr engine::Standing kLast = engine::Standing::kOverdue;
  static constexpr auto* kName = &engine::StandingName;
};

template <>
struct EnumText<engine::RunState> {
  static constexpr engine::RunState kLast = engine::RunState::kUnreachable;
  static constexpr auto* kName = &engine::RunStateName;
};

template <>
struct EnumText<engine::JobQueryKind> {
  static constexpr engine::JobQueryKind kLast = engine::JobQueryKind::kCancel;
  static constexpr auto* kName = &engine::JobQueryKindName;
};

template <>
struct FieldsOf<engine::QueueWaiting> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("queue", it.queue);
    codec.Optional("jobs", it.jobs, std::uint32_t{0});
  }
};

template <>
struct FieldsOf<engine::TeamArrivals> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("team", it.team);
    codec.Field("accepted", it.accepted);
  }
};

template <>
struct FieldsOf<engine::CapacityWait> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("team", it.team, std::string());
    codec.Optional("service", it.service, std::string());
    codec.Optional("urgent_ms", it.backlog.urgent, std::int64_t{0});
    codec.Optional("other_ms", it.backlog.other, std::int64_t{0});
    codec.Optional("deferred_ms", it.backlog.deferred, std::int64_t{0});
  }
};

template <>
struct FieldsOf<engine::MemberLoad> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("teams", it.teams, std::vector<engine::TeamArrivals>());
    codec.Optional("waits", it.waits, std::vector<engine::CapacityWait>());
  }
};

template <>
struct FieldsOf<engine::RoomDigest> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("sequence", it.sequence, std::uint64_t{0});
    codec.Optional("whole", it.whole, false);
    codec.Optional("workers", it.workers, std::vector<engine::WorkerRoom>());
    codec.Optional("waiting", it.waiting, std::vector<engine::QueueWaiting>());
    codec.Optional("advice_wait_ms", it.advice_wait, Duration(0));
    // A member of an older release sends one wait for calls of any priority.
    codec.Optional("advice_urgent_ms", it.advice_urgent_wait, it.advice_wait);
    codec.Optional("load", it.load, std::optional<engine::MemberLoad>());
    codec.Optional("pass_on", it.pass_on, false);
  }
};

template <>
struct FieldsOf<engine::RelayedDigest> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("from", it.from);
    codec.Field("digest", it.digest);
  }
};

template <>
struct FieldsOf<engine::RelayedDigests> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("digests", it.digests);
  }
};

template <>
struct FieldsOf<engine::HandedTask> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("index", it.index, std::uint32_t{0});
    codec.Optional("worker", it.worker, std::string());
    codec.Optional("checkpoint", it.checkpoint, std::string());
  }
};

template <>
struct FieldsOf<engine::HandedStep> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("occurrence", it.occurrence, std::uint32_t{0});
    codec.Optional("step", it.step, std::uint32_t{0});
    codec.Field("tasks", it.tasks);
  }
};

template <>
struct FieldsOf<engine::HandedCrash> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("occurrence", it.occurrence, std::uint32_t{0});
    codec.Optional("step", it.step, std::uint32_t{0});
    codec.Optional("index", it.index, std::uint32_t{0});
    codec.Field("ago_ms", it.ago);
  }
};

template <>
struct FieldsOf<engine::HandedJob> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("job", it.job);
    codec.Field("generation", it.generation);
    codec.Optional("steps", it.steps, std::vector<engine::HandedStep>());
    codec.Optional("crashes", it.crashes, std::vector<engine::HandedCrash>());
  }
};

template <>
struct FieldsOf<engine::JobsHandedOver> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("jobs", it.jobs);
  }
};

template <>
struct FieldsOf<engine::HandedRun> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("task", it.task);
    codec.Field("run", it.run);
    codec.Field("lasted_ms", it.lasted);
  }
};

template <>
struct FieldsOf<engine::HandedWorker> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("worker", it.worker);
    codec.Field("runs", it.runs);
  }
};

template <>
struct FieldsOf<engine::RunsHandedOver> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("workers", it.workers);
  }
};

template <>
struct FieldsOf<engine::OfferedTask> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("index", it.index, std::uint32_t{0});
    codec.Optional("run", it.run, std::uint64_t{0});
    codec.Field("worker", it.worker);
    codec.Optional("fence", it.fence, std::uint64_t{0});
    codec.Optional("ticket", it.ticket, std::string());
    codec.Optional("checkpoint", it.checkpoint, std::string());
    codec.Optional("alone_ms", it.alone_for, Duration(0));
    codec.Optional("waited_ms", it.waited, Duration(0));
  }
};

template <>
struct FieldsOf<engine::TaskOffer> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("job", it.job);
    codec.Optional("generation", it.generation, std::uint64_t{0});
    codec.Optional("occurrence", it.occurrence, std::uint32_t{0});
    codec.Optional("step", it.step, std::uint32_t{0});
    codec.Optional("payload", it.payload, std::string());
    codec.Field("spec", it.spec);
    codec.Optional("priority", it.priority, std::uint32_t{0});
    codec.Optional("preempts", it.preempts, false);
    codec.Optional("book_only", it.book_only, false);
    codec.Optional("renews", it.renews, false);
    codec.Optional("tasks", it.tasks, std::vector<engine::OfferedTask>());
  }
};

template <>
struct FieldsOf<engine::OfferAnswer> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("task", it.task);
    codec.Optional("run", it.run, std::uint64_t{0});
    codec.Field("worker", it.worker);
    codec.Field("outcome", it.outcome);
  }
};

template <>
struct FieldsOf<engine::OfferAnswers> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("answers", it.answers, std::vector<engine::OfferAnswer>());
    codec.Optional("rooms", it.rooms, std::vector<engine::WorkerRoom>());
  }
};

template <>
struct FieldsOf<engine::TaskStop> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("task", it.task);
    codec.Optional("run", it.run, std::uint64_t{0});
    codec.Field("worker", it.worker);
    codec.Optional("generation", it.generation, std::uint64_t{0});
  }
};

template <>
struct FieldsOf<engine::TaskStops> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("stops", it.stops, std::vector<engine::TaskStop>());
  }
};

template <>
struct FieldsOf<engine::EndReport> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("worker", it.worker);
    codec.Optional("sequence", it.sequence, std::uint64_t{0});
    codec.Field("task", it.task);
    codec.Optional("run", it.run, std::uint64_t{0});
    codec.Field("how", it.how);
    codec.Optional("checkpoint", it.checkpoint, std::string());
  }
};

template <>
struct FieldsOf<engine::EndReports> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("ends", it.ends, std::vector<engine::EndReport>());
  }
};

template <>
struct FieldsOf<engine::StoredEnd> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("worker", it.worker);
    codec.Optional("sequence", it.sequence, std::uint64_t{0});
  }
};

template <>
struct FieldsOf<engine::EndsStored> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("ends", it.ends, std::vector<engine::StoredEnd>());
  }
};

template <>
struct FieldsOf<engine::RunQuery> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("task", it.task);
    codec.Optional("run", it.run, std::uint64_t{0});
    codec.Field("worker", it.worker);
  }
};

template <>
struct FieldsOf<engine::RememberedWorker> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("worker", it.worker);
    codec.Field("address", it.address);
    codec.Field("domain", it.domain);
    codec.Field("service", it.service);
    codec.Optional("draining", it.draining, false);
  }
};

template <>
struct FieldsOf<engine::RunQueries> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("runs", it.runs, std::vector<engine::RunQuery>());
    codec.Optional("remembered", it.remembered,
                   std::vector<engine::RememberedWorker>());
  }
};

template <>
struct FieldsOf<engine::RunReport> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("task", it.task);
    codec.Optional("run", it.run, std::uint64_t{0});
    codec.Field("worker", it.worker);
    codec.Field("state", it.state);
    codec.Optional("checkpoint", it.checkpoint, std::string());
  }
};

template <>
struct FieldsOf<engine::RunReports> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("runs", it.runs, std::vector<engine::RunReport>());
  }
};

template <>
struct FieldsOf<engine::JobGeneration> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("job", it.job);
    codec.Optional("generation", it.generation, std::uint64_t{0});
  }
};

template <>
struct FieldsOf<engine::AdoptQuery> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("jobs", it.jobs, std::vector<engine::JobGeneration>());
    codec.Optional("remembered", it.remembered,
                   std::vector<engine::RememberedWorker>());
    codec.Optional("wants_workers", it.wants_workers, false);
    codec.Optional("known_workers", it.known_workers, std::uint64_t{0});
  }
};

template <>
struct FieldsOf<engine::CoveredWorker> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("worker", it.worker);
    codec.Optional("fence", it.fence, std::uint64_t{0});
    codec.Optional("gone", it.lost, false);
  }
};

template <>
struct FieldsOf<engine::AdoptReport> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("jobs", it.jobs, std::vector<std::string>());
    codec.Optional("runs", it.runs, std::vector<engine::RunReport>());
    codec.Optional("ends", it.ends, std::vector<engine::EndReport>());
    codec.Optional("covered", it.covered, std::vector<engine::CoveredWorker>());
    codec.Optional("remembered", it.remembered,
                   std::vector<engine::RememberedWorker>());
    codec.Optional("workers_digest", it.workers_digest, std::uint64_t{0});
    codec.Optional("all_remembered", it.all_remembered, false);
    codec.Optional("machines_compared", it.machines_compared, false);
    codec.Optional("machines_unread", it.machines_unread, false);
  }
};

template <>
struct FieldsOf<engine::JobQuery> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("call", it.call, std::uint64_t{0});
    codec.Field("question", it.kind);
    codec.Field("job", it.job);
    // Members of an older release refuse it; they are not sent it.
    codec.Optional("team", it.team, {});
  }
};

template <>
struct FieldsOf<engine::JobReply> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("call", it.call, std::uint64_t{0});
    codec.Optional("known", it.known, false);
    codec.Field("state", it.state);
    codec.Optional("cause", it.cause, std::string());
    codec.Optional("denied", it.denied, false);
  }
};

template <>
struct FieldsOf<engine::QuotaHolding> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("team", it.team);
    codec.Optional("claim", it.claim, std::uint64_t{0});
    codec.Optional("grant", it.grant, std::uint64_t{0});
    codec.Optional("held", it.held, Resources());
    codec.Optional("wanted", it.wanted, Resources());
    codec.Optional("least", it.least, Resources());
    // A member of an earlier release knows no priorities.
    codec.Optional("shared", it.shared, it.held);
    codec.Optional("urgent_wanted", it.urgent_wanted, Resources());
    codec.Optional("urgent_least", it.urgent_least, Resources());
    codec.Optional("other_charge", it.other_charge, Resources());
    // A member of an earlier release does not tell what its urgent runs take.
    codec.Optional("charge", it.charge, it.other_charge);
    codec.Optional("unknown", it.unknown, Resources());
    codec.Optional("excess_waiting", it.excess_waiting, Resources());
    codec.Optional("registration", it.registration, std::uint64_t{0});
  }
};

template <>
struct FieldsOf<engine::QuotaHoldings> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("teams", it.teams);
  }
};

template <>
struct FieldsOf<engine::QuotaGrant> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("team", it.team);
    codec.Field("claim", it.claim);
    codec.Field("number", it.number);
    codec.Optional("held", it.held, Resources());
    codec.Optional("cap", it.cap, Resources());
    codec.Optional("shared", it.shared, it.held);
    codec.Optional("taken", it.taken, Resources());
    codec.Optional("blocked", it.blocked, Resources());
    codec.Optional("registration", it.registration, std::uint64_t{0});
  }
};

template <>
struct FieldsOf<engine::QuotaGrants> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("teams", it.teams);
  }
};

template <>
struct FieldsOf<engine::QuotaClaim> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("team", it.team);
    codec.Field("claim", it.claim);
    codec.Optional("grant", it.grant, std::uint64_t{0});
  }
};

template <>
struct FieldsOf<engine::QuotaClaims> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("teams", it.teams);
  }
};

template <>
struct FieldsOf<engine::PeerAdviceRequest> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("call", it.call);
    codec.Field("step", it.step);
    codec.Optional("priority", it.priority, std::uint32_t{0});
    codec.Optional("standing", it.standing, engine::Standing::kInTime);
    codec.Optional("lasting", it.precedes, false);
    codec.Optional("waited_ms", it.waited, Duration(0));
    codec.Optional("expected_ms", it.expected, Duration(0));
    codec.Optional("patience_ms", it.timeout, Duration(0));
    codec.Optional("most_wait_ms", it.max_wait, Duration(0));
    codec.Field("workers", it.workers);
  }
};

template <>
struct FieldsOf<engine::AdvisedWorker> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("worker", it.worker);
    codec.Field("ticket", it.ticket);
  }
};

template <>
struct FieldsOf<engine::AdviceReply> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("call", it.call);
    codec.Optional("failed", it.failed, false);
    codec.Optional("declined", it.declined, false);
    codec.Optional("allowed", it.allowed, std::vector<engine::AdvisedWorker>());
    codec.Optional("advice_wait_ms", it.wait, Duration(0));
    codec.Optional("advice_urgent_ms", it.urgent_wait, it.wait);
  }
};

template <>
struct FieldsOf<engine::PrepareWorker> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("worker", it.worker);
  }
};

template <>
struct FieldsOf<engine::WorkerPrepared> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("worker", it.worker);
  }
};

template <>
struct FieldsOf<engine::LeaseQueryItem> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("worker", it.worker);
    codec.Field("number", it.number);
  }
};

template <>
struct FieldsOf<engine::LeaseQuery> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("workers", it.workers);
  }
};

template <>
struct FieldsOf<engine::LeaseEnd> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("worker", it.worker);
    codec.Field("number", it.number);
    codec.Optional("left_ms", it.left, Duration(0));
  }
};

template <>
struct FieldsOf<engine::LeaseReport> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("ends", it.ends, std::vector<engine::LeaseEnd>());
    codec.Optional("others_left_ms", it.others_left, Duration(0));
  }
};

template <>
struct FieldsOf<engine::StoppedRenewing> {
  template <typename Codec, typename Value>
  static void Visit(Codec& /*codec*/, Value& /*it*/) {}
};

template <>
struct FieldsOf<engine::DigestRequest> {
  template <typename Codec, typename Value>
  static void Visit(Codec& /*codec*/, Value& /*it*/) {}
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_ENGINE_MEMBERS_PEER_FIELDS_H_
