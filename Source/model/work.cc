#include "model/work.h"

namespace burdockrock {

const char* UrgencyName(Urgency value) {
  switch (value) {
    case Urgency::kUrgent:
      return "urgent";
    case Urgency::kNormal:
      return "normal";
    case Urgency::kBatch:
      return "batch";
  }
  return "batch";
}

std::optional<Urgency> ParseUrgency(std::string_view text) {
  for (const Urgency it :
       {Urgency::kUrgent, Urgency::kNormal, Urgency::kBatch}) {
    if (text == UrgencyName(it)) {
      return it;
    }
  }
  return std::nullopt;
}

const char* JobKindName(JobKind value) {
  switch (value) {
    case JobKind::kService:
      return "service";
    case JobKind::kBatch:
      return "batch";
    case JobKind::kGang:
      return "gang";
  }
  return "gang";
}

std::optional<JobKind> ParseJobKind(std::string_view text) {
  for (const JobKind it :
       {JobKind::kService, JobKind::kBatch, JobKind::kGang}) {
    if (text == JobKindName(it)) {
      return it;
    }
  }
  return std::nullopt;
}

const char* InstanceRoleName(InstanceRole value) {
  switch (value) {
    case InstanceRole::kEntry:
      return "entry";
    case InstanceRole::kWorker:
      return "worker";
    case InstanceRole::kMinion:
      return "minion";
  }
  return "minion";
}

std::optional<InstanceRole> ParseInstanceRole(std::string_view text) {
  for (const InstanceRole it :
       {InstanceRole::kEntry, InstanceRole::kWorker, InstanceRole::kMinion}) {
    if (text == InstanceRoleName(it)) {
      return it;
    }
  }
  return std::nullopt;
}

}  // namespace burdockrock
