#include "cli/submit_verdict.h"

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

#include "cli/json_text.h"
#include "net/json_read.h"

namespace burdockrock {

namespace {

// In the order of VerdictKind.
constexpr std::array kVerdictNames = {"ran", "not_run", "may_have_run",
                                      "accepted"};

constexpr std::int64_t kUnreachableRetryMs = 1000;

std::optional<VerdictKind> ParseVerdictKind(const std::string& name) {
  const auto it = std::find(kVerdictNames.begin(), kVerdictNames.end(), name);
  if (it == kVerdictNames.end()) {
    return std::nullopt;
  }
  return static_cast<VerdictKind>(it - kVerdictNames.begin());
}

const char* VerdictKindName(VerdictKind kind) {
  return kVerdictNames[static_cast<std::size_t>(kind)];
}

// The path and what is allowed are missing in errors of a whole body.
std::string ErrorLine(const Json::Value& error) {
  const std::string path = StringMember(error, "path");
  const std::string allowed = StringMember(error, "allowed");
  return fmt::format("{}{}{}{}{}", path, path.empty() ? "" : ": ",
                     StringMember(error, "problem"),
                     allowed.empty() ? "" : "; allowed: ", allowed);
}

// " ID", or nothing while the work has none.
std::string IdText(const SubmitVerdict& verdict) {
  return verdict.id.empty() ? "" : " " + verdict.id;
}

std::string ReasonText(const SubmitVerdict& verdict) {
  if (verdict.detail.empty()) {
    return verdict.reason;
  }
  return fmt::format("{} ({})", verdict.reason, verdict.detail);
}

std::string RanText(const SubmitVerdict& verdict) {
  const std::string waited =
      verdict.waited_ms
          ? fmt::format(" after waiting {} ms", *verdict.waited_ms)
          : "";
  return fmt::format("ran{}{}{}; its answer:\n{}\n",
                     verdict.failed ? " and failed" : "", IdText(verdict),
                     waited, verdict.answer);
}

std::string NotRunText(const SubmitVerdict& verdict) {
  const std::string next =
      verdict.retry_after_ms > 0
          ? fmt::format("submit it again in {} ms", verdict.retry_after_ms)
          : "submitting it again unchanged won't help";
  std::string text = fmt::format("not run{}: {}; {}\n", IdText(verdict),
                                 ReasonText(verdict), next);
  for (const std::string& line : verdict.errors) {
    text += "  " + line + "\n";
  }
  return text;
}

std::string MayHaveRunText(const SubmitVerdict& verdict, bool idempotent) {
  const char* next =
      idempotent ? "it is idempotent: submit it again"
                 : "check its effect before anything else; with the same key "
                   "it is not run twice";
  return fmt::format("may have run{}: {}; {}\n", IdText(verdict),
                     ReasonText(verdict), next);
}

std::string AcceptedText(const SubmitVerdict& verdict) {
  return fmt::format("accepted{}; see 'burdockrock status{}'\n",
                     IdText(verdict), IdText(verdict));
}

}  // namespace

std::optional<std::string> FindVerdictFault(const EntryAnswer& answer) {
  const std::string name = StringMember(answer.body, "verdict");
  const auto kind = ParseVerdictKind(name);
  if (!kind) {
    return fmt::format("its answer with status {} has no verdict",
                       answer.status);
  }
  if (*kind == VerdictKind::kRan && !answer.body["answer"].isString()) {
    return "its verdict is ran, but the answer is missing";
  }
  if (*kind == VerdictKind::kAccepted &&
      StringMember(answer.body, "id").empty()) {
    return "its verdict is accepted, but the id is missing";
  }
  return std::nullopt;
}

SubmitVerdict ReadVerdict(const EntryAnswer& answer) {
  const Json::Value& body = answer.body;
  SubmitVerdict verdict = {
      .kind = ParseVerdictKind(StringMember(body, "verdict"))
                  .value_or(VerdictKind::kMayHaveRun),
      .failed = ReadBool(MemberOf(body, "failed")).value_or(false),
      .id = StringMember(body, "id"),
      .answer = StringMember(body, "answer"),
      .waited_ms = IntegerMember(body, "waited_ms"),
      .reason = StringMember(body, "reason"),
      .detail = StringMember(body, "detail"),
      .retry_after_ms = IntegerMember(body, "retry_after_ms")
                            .value_or(ToMilliseconds(answer.retry_after)),
      .errors = ErrorLines(body)};
  // The refusal holds for the entry instance that gave it. One asked before
  // may have taken the work, and its answer was lost.
  if (verdict.kind == VerdictKind::kNotRun && answer.earlier_may_have_run) {
    return {
        .kind = VerdictKind::kMayHaveRun,
        .reason = "connection_lost",
        .detail = fmt::format("an answer was lost before {} said not run: {}",
                              answer.entry, verdict.reason)};
  }
  return verdict;
}

SubmitVerdict VerdictOfNoAnswer(const NoAnswer& loss) {
  if (loss.may_have_run) {
    return {.kind = VerdictKind::kMayHaveRun,
            .reason = "connection_lost",
            .detail = loss.message};
  }
  return {.kind = VerdictKind::kNotRun,
          .reason = "unreachable",
          .detail = loss.message,
          .retry_after_ms = kUnreachableRetryMs};
}

std::string VerdictText(const SubmitVerdict& verdict, bool idempotent) {
  switch (verdict.kind) {
    case VerdictKind::kRan:
      return RanText(verdict);
    case VerdictKind::kNotRun:
      return NotRunText(verdict);
    case VerdictKind::kMayHaveRun:
      return MayHaveRunText(verdict, idempotent);
    case VerdictKind::kAccepted:
      return AcceptedText(verdict);
  }
  return "";
}

Json::Value VerdictJson(const SubmitVerdict& verdict) {
  Json::Value json(Json::objectValue);
  json["verdict"] = VerdictKindName(verdict.kind);
  if (!verdict.id.empty()) {
    json["id"] = verdict.id;
  }
  if (verdict.kind == VerdictKind::kRan) {
    json["answer"] = verdict.answer;
    json["failed"] = verdict.failed;
    if (verdict.waited_ms) {
      json["waited_ms"] = Json::Int64(*verdict.waited_ms);
    }
    return json;
  }
  if (verdict.kind == VerdictKind::kAccepted) {
    return json;
  }
  json["reason"] = verdict.reason;
  if (!verdict.detail.empty()) {
    json["detail"] = verdict.detail;
  }
  if (verdict.kind == VerdictKind::kNotRun) {
    json["retry_after_ms"] = Json::Int64(verdict.retry_after_ms);
  }
  for (const std::string& line : verdict.errors) {
    json["errors"].append(line);
  }
  return json;
}

bool IsSuccess(const SubmitVerdict& verdict) {
  return verdict.kind == VerdictKind::kAccepted ||
         (verdict.kind == VerdictKind::kRan && !verdict.failed);
}

std::vector<std::string> ErrorLines(const Json::Value& body) {
  std::vector<std::string> lines;
  const Json::Value& errors = body["errors"];
  if (!errors.isArray()) {
    return lines;
  }
  for (const Json::Value& error : errors) {
    if (!error.isObject()) {
      continue;
    }
    lines.push_back(ErrorLine(error));
  }
  return lines;
}

}  // namespace burdockrock
