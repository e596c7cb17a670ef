#include "engine/records/record_sweep.h"

#include "engine/jobs/job_table.h"
#include "engine/members/membership.h"
#include "engine/records/record_writer.h"
#include "engine/records/store_calls.h"

namespace burdockrock::engine {

namespace {

// A record is kept for four minutes after its job's end, so half a minute more
// is harmless. A sweep's stale reads cost a tenth of other reads.
constexpr Duration kSweepInterval = milliseconds(30'000);
// Wall clocks differ between instances and may jump by seconds.
constexpr Duration kClockMargin = milliseconds(60'000);
// Per page; the next sweep removes more.
constexpr std::size_t kMaxRemovals = 100;

constexpr const char* kSweepTask = "record sweep";

void ReadPage(Context& context) {
  SweepState& sweep = context.state.sweep;
  sweep.in_flight = true;
  SendStoreRequest(context,
                   StoreRange{.prefix = std::string(kJobPrefix),
                              .after = sweep.after,
                              .may_be_stale = true},
                   ForRecordSweep{});
}

bool IsExpired(const Context& context, const JobRecord& record) {
  const Duration kept = 2 * context.state.options.bounds.state_kept;
  const std::int64_t expires_ms =
      record.ended_ms + ToMilliseconds(kept + kClockMargin);
  return IsFinal(record.state) && context.wall_ms > expires_ms &&
         FindMember(context.state, record.owner) == nullptr;
}

void Remove(Context& context, const std::string& job, std::uint64_t revision) {
  QueueChange(context,
              Change{.kind = ChangeKind::kRemoveJob,
                     .job = job,
                     .conditions = {{.key = JobKey(job), .revision = revision}},
                     .removes = {JobKey(job), SpecKey(job)}});
}

void RemoveExpired(Context& context, const std::vector<StoreItem>& items) {
  std::size_t removed = 0;
  for (const StoreItem& it : items) {
    const auto decoded = DecodeJob(it.value);
    const auto* record = std::get_if<JobRecord>(&decoded);
    if (record == nullptr) {
      context.Log(EventNumber::kPlatformMalformed,
                  {{"key", it.key},
                   {"problem", ToString(std::get<DecodeError>(decoded))}});
      continue;
    }
    if (removed < kMaxRemovals && IsExpired(context, *record)) {
      ++removed;
      Remove(context, it.key.substr(kJobPrefix.size()), it.revision);
    }
  }
}

}  // namespace

void DriveSweep(Context& context) {
  SweepState& sweep = context.state.sweep;
  const bool due = HasPassed(context.now, sweep.swept_at, kSweepInterval);
  if (!due || sweep.in_flight || !IsRegistered(context.state) ||
      context.state.stop.requested) {
    return;
  }
  sweep.swept_at = context.now;
  if (ChooseMember(context.state, kSweepTask, {}) == context.self()) {
    sweep.after.clear();
    ReadPage(context);
  }
}

void OnSweepPage(Context& context, const StoreAnswer& answer) {
  SweepState& sweep = context.state.sweep;
  sweep.in_flight = false;
  const auto* page = std::get_if<StoreDone>(&answer);
  if (page == nullptr) {
    return;  // the next sweep reads it again
  }
  RemoveExpired(context, page->items);
  if (page->more && !page->items.empty()) {
    sweep.after = page->items.back().key;
    ReadPage(context);
  }
}

}  // namespace burdockrock::engine
