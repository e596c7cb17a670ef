#include "engine/records/catalog.h"

#include "engine/jobs/caller_requests.h"
#include "engine/records/store_calls.h"
#include "engine/workers/worker_listing.h"
#include "engine/workers/worker_runs.h"

namespace burdockrock::engine {

namespace {

// Shortest interval between two reads of a record: a lost owner is replaced
// within about a second.
constexpr Duration kRecordReadInterval = milliseconds(150);
// Entries that were not used for this long are removed.
constexpr Duration kEntryTtl = milliseconds(60'000);
// The owner of a job without runs or ends here is still needed for late
// messages and for former owners that do not know yet that they were replaced.
// These have given up after kMaxRenewalWithoutStore; fifty times that costs
// little memory.
constexpr Duration kKnownJobTtl = milliseconds(600'000);

std::size_t ReadsInFlight(const State& state) {
  std::size_t n = 0;
  for (const auto& [call, purpose] : state.store.calls) {
    const bool read = std::holds_alternative<ForJobRead>(purpose) ||
                      std::holds_alternative<ForSpecRead>(purpose);
    n += read ? 1 : 0;
  }
  return n;
}

// Starts the reads that the entry needs now. Returns their number.
std::size_t StartReads(Context& context,
                       const std::string& job,
                       CatalogEntry& entry) {
  std::size_t reads = 0;
  if (entry.want_record && !entry.reading_record &&
      HasPassed(context.now, entry.read_at, kRecordReadInterval)) {
    entry.want_record = false;
    entry.reading_record = true;
    entry.read_at = context.now;
    ++reads;
    SendStoreRequest(context, StoreRead{.key = JobKey(job)},
                     ForJobRead{.job = job});
  }
  if (entry.want_spec && !entry.reading_spec) {
    entry.want_spec = false;
    entry.reading_spec = true;
    ++reads;
    SendStoreRequest(context, StoreRead{.key = SpecKey(job)},
                     ForSpecRead{.job = job});
  }
  return reads;
}

const StoreItem* ItemOf(const StoreAnswer& answer) {
  const auto* done = std::get_if<StoreDone>(&answer);
  return done == nullptr || done->items.empty() ? nullptr : &done->items[0];
}

bool IsAbsent(const StoreAnswer& answer) {
  return std::holds_alternative<StoreAbsent>(answer);
}

// Updates the owner to which runs and ends on own workers are reported.
void UpdateKnownJob(Context& context,
                    const std::string& job,
                    const CatalogEntry& entry) {
  const auto it = context.state.known.find(job);
  if (it == context.state.known.end()) {
    return;
  }
  KnownJob& known = it->second;
  if (entry.absent) {
    known.ended = true;
  } else if (entry.record->generation >= known.generation) {
    NoteOwner(known, entry.record->owner, entry.record->generation);
    known.ended = IsFinal(entry.record->state);
  }
  if (known.ended) {
    StopRunsOfJob(context, job);
  }
}

// Each job of which a task ran here adds an entry. Without removal, small
// instances with 160 MB of memory would exhaust it within days.
void RemoveUnusedKnownJobs(Context& context) {
  auto& known = context.state.known;
  const auto keep = [&](const std::string& task) {
    const auto name = ParseTaskName(task);
    const auto it = name ? known.find(name->job) : known.end();
    if (it != known.end()) {
      it->second.last_update = context.now;
    }
  };
  for (const auto& [id, worker] : context.state.owned) {
    for (const auto& [task, run] : worker.runs) {
      keep(task);
    }
    for (const auto& [task, it] : worker.unread) {
      keep(task);
    }
    for (const auto& [sequence, end] : worker.ends) {
      keep(end.row.task);
    }
  }
  for (auto& [job, it] : known) {
    it.last_update = it.last_update == Time(0) ? context.now : it.last_update;
  }
  std::erase_if(known, [&](const auto& it) {
    return HasPassed(context.now, it.second.last_update, kKnownJobTtl);
  });
}

}  // namespace

void NoteOwner(KnownJob& known,
               const std::string& owner,
               std::uint64_t generation) {
  if (known.owner != owner || known.generation != generation) {
    known.adopted = Time(0);
  }
  known.owner = owner;
  known.generation = generation;
}

void RequestRecord(Context& context, const std::string& job) {
  if (job.empty()) {
    return;
  }
  CatalogEntry& entry = context.state.catalog[job];
  entry.used_at = context.now;
  entry.want_record = true;
  context.state.catalog_wanted.insert(job);
}

void RequestSpec(Context& context, const std::string& job) {
  CatalogEntry& entry = context.state.catalog[job];
  entry.used_at = context.now;
  if (entry.spec) {
    DescribeRuns(context, job, *entry.spec);
  } else {
    entry.want_spec = true;
    context.state.catalog_wanted.insert(job);
  }
}

void DriveCatalog(Context& context) {
  auto& wanted = context.state.catalog_wanted;
  if (wanted.empty()) {
    return;
  }
  std::size_t reads = ReadsInFlight(context.state);
  std::erase_if(wanted, [&](const std::string& job) {
    const auto it = context.state.catalog.find(job);
    if (it != context.state.catalog.end() && reads < kMaxReadsInFlight) {
      reads += StartReads(context, job, it->second);
    }
    return it == context.state.catalog.end() ||
           (!it->second.want_record && !it->second.want_spec);
  });
}

void ForgetUnused(Context& context) {
  RemoveUnusedKnownJobs(context);
  std::erase_if(context.state.catalog, [&](const auto& it) {
    const CatalogEntry& entry = it.second;
    return !entry.reading_record && !entry.reading_spec &&
           HasPassed(context.now, entry.used_at, kEntryTtl);
  });
}

void OnJobRead(Context& context,
               const std::string& job,
               const StoreAnswer& answer) {
  CatalogEntry& entry = context.state.catalog[job];
  entry.reading_record = false;
  if (const StoreItem* item = ItemOf(answer)) {
    auto decoded = DecodeJob(item->value);
    if (const auto* error = std::get_if<DecodeError>(&decoded)) {
      context.Log(EventNumber::kPlatformMalformed,
                  {{"key", item->key}, {"problem", ToString(*error)}});
      return;
    }
    entry.record = std::get<JobRecord>(std::move(decoded));
    entry.record_revision = item->revision;
    entry.absent = false;
  } else if (IsAbsent(answer)) {
    entry.record.reset();
    entry.absent = true;
  } else {
    RequestRecord(context, job);
    return;
  }
  entry.known_from = entry.read_at;
  UpdateKnownJob(context, job, entry);
  OnRecordRead(context, job);
}

void OnSpecRead(Context& context,
                const std::string& job,
                const StoreAnswer& answer) {
  CatalogEntry& entry = context.state.catalog[job];
  entry.reading_spec = false;
  if (const StoreItem* item = ItemOf(answer)) {
    auto decoded = DecodeSpec(item->value);
    if (const auto* error = std::get_if<DecodeError>(&decoded)) {
      context.Log(EventNumber::kPlatformMalformed,
                  {{"key", item->key}, {"problem", ToString(*error)}});
      return;
    }
    entry.spec = std::get<JobSpec>(std::move(decoded));
    DescribeRuns(context, job, *entry.spec);
  } else if (!IsAbsent(answer)) {
    RequestSpec(context, job);
  }
}

}  // namespace burdockrock::engine
