#include "engine/members/message_subject.h"

#include <algorithm>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include <xxhash.h>

namespace burdockrock::engine {

namespace {

std::uint64_t Extend(std::uint64_t digest, std::string_view text) {
  return XXH64(text.data(), text.size(), digest);
}

template <typename Number>
requires std::is_integral_v<Number> || std::is_enum_v<Number> std::uint64_t
Extend(std::uint64_t digest, Number number) {
  const auto value = static_cast<std::uint64_t>(number);
  return XXH64(&value, sizeof(value), digest);
}

// Parts of one message are distinguished by the kind that comes first.
enum class PartKind { kJob, kRun, kEnd, kWorker, kRemembered, kTeam, kFlag };

template <typename... Fields>
std::uint64_t PartOf(PartKind kind, const Fields&... fields) {
  std::uint64_t digest = Extend(std::uint64_t{0}, kind);
  ((digest = Extend(digest, fields)), ...);
  return digest;
}

std::uint64_t PartOf(const RememberedWorker& it) {
  return PartOf(PartKind::kRemembered, it.worker, it.address, it.domain,
                it.service, it.draining);
}

std::uint64_t PartOf(const EndReport& it) {
  return PartOf(PartKind::kEnd, it.worker, it.sequence, it.task, it.run,
                it.how);
}

// A part that is always there, so that later messages may replace this one.
std::uint64_t WholePart() {
  return PartOf(PartKind::kFlag);
}

struct SubjectVisitor {
  MessageClass order = MessageClass::kRuns;
  std::vector<std::uint64_t> parts{};

  template <typename Items>
  void AddEach(const Items& items) {
    for (const auto& it : items) {
      parts.push_back(PartOf(it));
    }
  }

  void AddFlag(std::uint64_t number, bool is_set) {
    if (is_set) {
      parts.push_back(PartOf(PartKind::kFlag, number));
    }
  }

  void operator()(const LeaseQuery& message) {
    order = MessageClass::kLeases;
    for (const LeaseQueryItem& it : message.workers) {
      parts.push_back(PartOf(PartKind::kWorker, it.worker, it.number));
    }
  }

  // A later report has the later bounds.
  void operator()(const LeaseReport& message) {
    order = MessageClass::kLeases;
    for (const LeaseEnd& it : message.ends) {
      parts.push_back(PartOf(PartKind::kWorker, it.worker, it.number));
    }
  }

  void operator()(const StoppedRenewing&) {
    order = MessageClass::kLeases;
    parts.push_back(WholePart());
  }

  void operator()(const EndReports& message) { AddEach(message.ends); }

  void operator()(const EndsStored& message) {
    for (const StoredEnd& it : message.ends) {
      parts.push_back(PartOf(PartKind::kEnd, it.worker, it.sequence));
    }
  }

  // Never replaced: it must arrive before the reports that are sent after it.
  void operator()(const WorkersCrashed&) {}

  // Of the class of other reports of runs, which it must not follow when it is
  // older.
  void operator()(const AdoptReport& message) {
    for (const std::string& it : message.jobs) {
      parts.push_back(PartOf(PartKind::kJob, it));
    }
    for (const RunReport& it : message.runs) {
      parts.push_back(
          PartOf(PartKind::kRun, it.task, it.run, it.worker, it.state));
    }
    AddEach(message.ends);
    for (const CoveredWorker& it : message.covered) {
      parts.push_back(PartOf(PartKind::kWorker, it.worker, it.fence, it.lost));
    }
    AddEach(message.remembered);
    AddFlag(1, message.all_remembered);
    AddFlag(2, message.machines_compared);
    AddFlag(3, message.machines_unread);
  }

  void operator()(const JobReply& message) {
    order = MessageClass::kReplies;
    parts.push_back(
        PartOf(PartKind::kJob, message.call, message.known, message.denied));
  }

  void operator()(const PeerAdviceRequest&) { order = MessageClass::kReplies; }
  void operator()(const AdviceReply&) { order = MessageClass::kReplies; }
  void operator()(const QuotaGrants&) { order = MessageClass::kReplies; }
  void operator()(const QuotaClaims&) { order = MessageClass::kReplies; }

  void operator()(const QuotaHoldings& message) {
    order = MessageClass::kReplies;
    for (const QuotaHolding& it : message.teams) {
      parts.push_back(PartOf(PartKind::kTeam, it.team, it.claim));
    }
  }

  void operator()(const AdoptQuery& message) {
    order = MessageClass::kQueries;
    for (const JobGeneration& it : message.jobs) {
      parts.push_back(PartOf(PartKind::kJob, it.job, it.generation));
    }
    AddEach(message.remembered);
    AddFlag(1, message.wants_workers);
  }

  void operator()(const JobQuery& message) {
    order = MessageClass::kQueries;
    parts.push_back(
        PartOf(PartKind::kJob, message.call, message.kind, message.job));
  }

  void operator()(const RunQueries& message) {
    order = MessageClass::kQueries;
    for (const RunQuery& it : message.runs) {
      parts.push_back(PartOf(PartKind::kRun, it.task, it.run, it.worker));
    }
    AddEach(message.remembered);
  }

  void operator()(const DigestRequest&) {
    order = MessageClass::kDigests;
    parts.push_back(WholePart());
  }

  // The digests have rules of their own, by what they hold.
  void operator()(const RoomDigest&) { order = MessageClass::kDigests; }
  void operator()(const RelayedDigests&) { order = MessageClass::kDigests; }

  template <typename Other>
  void operator()(const Other&) {}
};

}  // namespace

MessageSubject SubjectOf(const PeerMessage& message) {
  SubjectVisitor visitor;
  std::visit(visitor, message);
  std::sort(visitor.parts.begin(), visitor.parts.end());
  return {.order = visitor.order, .parts = std::move(visitor.parts)};
}

}  // namespace burdockrock::engine
