#include "scheduler/config_state.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "config/policy_document.h"
#include "scheduler/context.h"

namespace burdockrock {

namespace {

constexpr char kConfigPrefix[] = "config/";
constexpr Duration kWatchWait = std::chrono::seconds(20);
constexpr Duration kWatchTimeoutMargin = std::chrono::seconds(3);
constexpr Duration kWriteTimeout = std::chrono::seconds(3);
constexpr Duration kMinBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaxBackoff = std::chrono::seconds(5);
constexpr Duration kPlatformRetryAfter = std::chrono::seconds(2);

std::vector<std::string> ErrorLines(const SettingErrors& errors) {
  std::vector<std::string> lines;
  lines.reserve(errors.size());
  for (const SettingError& it : errors) {
    lines.push_back(ToString(it));
  }
  return lines;
}

// Retries the watch with exponential backoff and jitter, so that the processes
// don't all call the platform at once when it is available again.
void RetryWatch(Context& context) {
  ConfigState& config = context.state().config;
  config.backoff = std::clamp(config.backoff * 2, kMinBackoff, kMaxBackoff);
  config.retry_at = context.now() + context.Jitter(config.backoff);
  context.ScheduleAt(config.retry_at, TimerKind::kWatch);
}

std::string AuthorOf(const std::string& document) {
  const auto parsed = ParsePolicyDocument(document, 0);
  const auto* policy = std::get_if<PolicyDocument>(&parsed);
  return policy == nullptr ? "" : policy->author;
}

void AnswerUnavailable(Context& context, ReplyId reply, bool may_have_run) {
  if (may_have_run) {
    context.Answer(
        reply,
        WorkAnswer{.verdict = MayHaveRun{
                       .reason = Reason::kPlatformDown,
                       .detail = "the platform's answer was lost; read the "
                                 "configuration back before trying again"}});
    return;
  }
  context.Answer(reply,
                 WorkAnswer{.verdict = NotRun{
                                .reason = Reason::kPlatformDown,
                                .detail = "the configuration can't be stored",
                                .retry_after = kPlatformRetryAfter}});
}

void ReadBack(Context& context, ConfigWritePurpose purpose) {
  purpose.reading_back = true;
  context.CallPlatform(KvGet{.key = kPolicyKey}, kWriteTimeout,
                       std::move(purpose));
}

void OnReadBack(Context& context,
                const ConfigWritePurpose& purpose,
                const PlatformResult& result) {
  const auto* items = std::get_if<KvItems>(&result);
  if (items == nullptr || items->items.empty()) {
    const bool is_missing = std::holds_alternative<KvMissing>(result);
    AnswerUnavailable(context, purpose.reply, !is_missing);
    return;
  }
  const KvItem& item = items->items.front();
  ApplyConfig(context, {.revision = item.revision, .document = item.value});
  if (item.value == purpose.document) {
    context.Log(EventNumber::kLostAnswerSettled, {{"key", kPolicyKey}});
    context.Answer(purpose.reply, ConfigStored{.revision = item.revision});
    return;
  }
  if (item.revision == purpose.expect) {
    // The write may still be in progress; only the operator can decide.
    AnswerUnavailable(context, purpose.reply, true);
    return;
  }
  const std::string author = AuthorOf(item.value);
  context.Log(EventNumber::kConfigurationConflict, {{"winner", author}});
  context.Answer(purpose.reply,
                 ConfigConflict{.revision = item.revision, .author = author});
}

}  // namespace

void ApplyConfig(Context& context, const ConfigView& view) {
  ConfigState& config = context.state().config;
  if (view.revision <= config.latest_revision) {
    if (view.revision < config.latest_revision) {
      context.Log(EventNumber::kConfigurationRefusedOlder,
                  {{"revision", std::to_string(view.revision)},
                   {"in_force", std::to_string(config.view.revision)}});
    }
    return;
  }
  config.latest_revision = view.revision;
  const auto parsed = ParsePolicyDocument(view.document, view.revision);
  std::vector<std::string> errors;
  if (const auto* faults = std::get_if<SettingErrors>(&parsed)) {
    errors = ErrorLines(*faults);
  } else {
    auto resolved = ResolvePolicy(std::get<PolicyDocument>(parsed),
                                  context.state().self.site);
    if (const auto* faults = std::get_if<SettingErrors>(&resolved)) {
      errors = ErrorLines(*faults);
    } else {
      config.policy = std::get<Policy>(std::move(resolved));
    }
  }
  if (!errors.empty()) {
    context.Log(EventNumber::kConfigurationInvalid,
                {{"revision", std::to_string(view.revision)},
                 {"error", errors.front()}});
    return;
  }
  config.view = view;
  config.loaded = true;
  SetWriteBudget(context.state());
  // Quotas and weights of teams may have changed.
  context.state().tasks.pass_needed = true;
  context.Log(EventNumber::kConfigurationApplied,
              {{"revision", std::to_string(view.revision)}});
  // Sends the document to the peers of the domain without waiting for the next
  // digest, so that the change takes effect sooner.
  for (const auto& [id, peer] : context.state().membership.peers) {
    if (IsDomainPeer(context, peer) &&
        peer.digest.config_revision < view.revision) {
      context.Send(id, ConfigDocument{.view = view});
    }
  }
}

void OnConfigRequested(Context& context, const ConfigRequested& asked) {
  const ConfigState& config = context.state().config;
  if (!config.loaded) {
    context.Answer(
        asked.reply,
        WorkAnswer{.verdict = NotRun{.reason = Reason::kNotReady,
                                     .detail = "no configuration is known yet",
                                     .retry_after = kPlatformRetryAfter}});
    return;
  }
  context.Answer(asked.reply, config.view);
}

void OnConfigProposed(Context& context, const ConfigProposed& proposed) {
  const auto parsed = ParsePolicyDocument(proposed.document, proposed.expect);
  if (const auto* faults = std::get_if<SettingErrors>(&parsed)) {
    context.Answer(proposed.reply, InvalidInput{.errors = ErrorLines(*faults)});
    return;
  }
  const SettingErrors faults =
      CheckPolicyDocument(std::get<PolicyDocument>(parsed));
  if (!faults.empty()) {
    context.Answer(proposed.reply, InvalidInput{.errors = ErrorLines(faults)});
    return;
  }
  context.CallPlatform(KvPut{.key = kPolicyKey,
                             .value = proposed.document,
                             .expect = proposed.expect},
                       kWriteTimeout,
                       ConfigWritePurpose{.reply = proposed.reply,
                                          .expect = proposed.expect,
                                          .document = proposed.document});
}

void OnConfigWritten(Context& context,
                     const ConfigWritePurpose& purpose,
                     const PlatformResult& result) {
  if (purpose.reading_back) {
    OnReadBack(context, purpose, result);
    return;
  }
  if (const auto* done = std::get_if<KvDone>(&result)) {
    ApplyConfig(context,
                {.revision = done->revision, .document = purpose.document});
    context.Answer(purpose.reply, ConfigStored{.revision = done->revision});
    return;
  }
  if (std::holds_alternative<KvConflict>(result)) {
    ReadBack(context, purpose);
    return;
  }
  if (std::holds_alternative<KvTooLarge>(result)) {
    context.Answer(purpose.reply,
                   InvalidInput{.errors = {"the document is larger than the "
                                           "platform's 1 MB for a value"}});
    return;
  }
  // The reply was lost, and the write may have taken effect. A second write
  // could overwrite a later change of another operator; reading back can't.
  const auto* lost = std::get_if<PlatformUnavailable>(&result);
  if (lost != nullptr && !lost->may_have_taken_effect) {
    AnswerUnavailable(context, purpose.reply, false);
    return;
  }
  ReadBack(context, purpose);
}

void OnWatchTimer(Context& context) {
  State& state = context.state();
  ConfigState& config = state.config;
  // Each process reads the platform itself until it has both documents, from
  // the platform or from a peer.
  const bool must_read =
      config.latest_revision == 0 || !state.membership.has_instances;
  if (!must_read && !IsWatcher(context)) {
    return;
  }
  if (context.now() < config.retry_at) {
    return;
  }
  const Duration wait = must_read ? Duration(0) : kWatchWait;
  if (!config.watching) {
    config.watching = true;
    const bool first = config.latest_revision == 0;
    if (first) {
      context.CallPlatform(KvRange{.prefix = kConfigPrefix},
                           kWatchTimeoutMargin, ConfigWatchPurpose{});
    } else {
      context.CallPlatform(KvWatch{.prefix = kConfigPrefix,
                                   .after = config.latest_revision,
                                   .wait = wait},
                           wait + kWatchTimeoutMargin, ConfigWatchPurpose{});
    }
  }
  if (!config.watching_instances) {
    config.watching_instances = true;
    // The list may be known while the policy is still missing.
    const Duration list_wait =
        state.membership.has_instances ? kWatchWait : wait;
    context.CallPlatform(
        InstancesWatch{.after = state.membership.instances.revision,
                       .wait = list_wait},
        list_wait + kWatchTimeoutMargin, InstancesWatchPurpose{});
  }
}

void OnConfigWatched(Context& context, const PlatformResult& result) {
  ConfigState& config = context.state().config;
  config.watching = false;
  const auto* items = std::get_if<KvItems>(&result);
  if (items == nullptr) {
    RetryWatch(context);
    return;
  }
  for (const KvItem& it : items->items) {
    if (it.key == kPolicyKey && !it.deleted) {
      ApplyConfig(context, {.revision = it.revision, .document = it.value});
    }
  }
  if (config.latest_revision == 0) {
    // No policy has been stored yet. If this counted as a success, it would
    // reset the backoff each time, and each process would call the platform
    // several times a second until there is a policy.
    if (!config.absence_logged) {
      config.absence_logged = true;
      context.Log(EventNumber::kConfigurationAwaited, {});
    }
    RetryWatch(context);
    return;
  }
  config.backoff = Duration(0);
  context.ScheduleAt(context.now(), TimerKind::kWatch);
}

void OnInstancesWatched(Context& context, const PlatformResult& result) {
  ConfigState& config = context.state().config;
  config.watching_instances = false;
  const auto* list = std::get_if<InstanceList>(&result);
  if (list == nullptr) {
    RetryWatch(context);
    return;
  }
  if (config.latest_revision != 0) {
    config.backoff = Duration(0);
  }
  ApplyInstances(context, *list);
  context.ScheduleAt(context.now(), TimerKind::kWatch);
}

}  // namespace burdockrock
