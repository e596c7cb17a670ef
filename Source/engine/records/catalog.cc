#include "engine/records/catalog.h"

#include "engine/jobs/questions.h"
#include "engine/records/store_calls.h"
#include "engine/workers/worker_listing.h"
#include "engine/workers/worker_runs.h"

namespace burdockrock::engine {

namespace {

// An owner that is gone is replaced within a second or so.
constexpr Duration kRecordAge = milliseconds(150);
// Entries that nobody asked for are forgotten.
constexpr Duration kKept = milliseconds(60'000);
// Whose a job is that has neither runs nor ends here counts for messages that
// are late, and for former owners that do not know yet that they are. They have
// given up after kMaxWithoutStore; fifty times as long costs little memory.
constexpr Duration kKnownKept = milliseconds(600'000);

std::size_t ReadsInFlight(const State& state) {
  std::size_t n = 0;
  for (const auto& [call, purpose] : state.store.calls) {
    const bool read = std::holds_alternative<ForJobRead>(purpose) ||
                      std::holds_alternative<ForSpecRead>(purpose);
    n += read ? 1 : 0;
  }
  return n;
}

// How many reads it has begun.
std::size_t Read(Context& context,
                 const std::string& job,
                 CatalogEntry& entry) {
  std::size_t reads = 0;
  if (entry.want_record && !entry.reading_record &&
      HasPassed(context.now, entry.read_at, kRecordAge)) {
    entry.want_record = false;
    entry.reading_record = true;
    entry.read_at = context.now;
    ++reads;
    AskStore(context, StoreRead{.key = JobKey(job)}, ForJobRead{.job = job});
  }
  if (entry.want_spec && !entry.reading_spec) {
    entry.want_spec = false;
    entry.reading_spec = true;
    ++reads;
    AskStore(context, StoreRead{.key = SpecKey(job)}, ForSpecRead{.job = job});
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

// Runs and ends on own workers learn from it whose they are.
void TellKnown(Context& context,
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

// Each job of which a task ran here leaves an entry. Small instances have 160
// MB, and would run out of it within days.
void ForgetKnown(Context& context) {
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
    for (const auto& [sequence, end] : worker.ends) {
      keep(end.row.task);
    }
  }
  for (auto& [job, it] : known) {
    it.last_update = it.last_update == Time(0) ? context.now : it.last_update;
  }
  std::erase_if(known, [&](const auto& it) {
    return HasPassed(context.now, it.second.last_update, kKnownKept);
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

void WantRecord(Context& context, const std::string& job) {
  if (job.empty()) {
    return;
  }
  CatalogEntry& entry = context.state.catalog[job];
  entry.used = context.now;
  entry.want_record = true;
  context.state.catalog_wanted.insert(job);
}

void WantSpec(Context& context, const std::string& job) {
  CatalogEntry& entry = context.state.catalog[job];
  entry.used = context.now;
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
      reads += Read(context, job, it->second);
    }
    return it == context.state.catalog.end() ||
           (!it->second.want_record && !it->second.want_spec);
  });
}

void ForgetUnused(Context& context) {
  ForgetKnown(context);
  std::erase_if(context.state.catalog, [&](const auto& it) {
    const CatalogEntry& entry = it.second;
    return !entry.reading_record && !entry.reading_spec &&
           HasPassed(context.now, entry.used, kKept);
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
    WantRecord(context, job);
    return;
  }
  entry.known_from = entry.read_at;
  TellKnown(context, job, entry);
  OnRecordKnown(context, job);
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
    WantSpec(context, job);
  }
}

}  // namespace burdockrock::engine
