#include "scheduler/job_records.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>
#include <variant>

#include <json/value.h>

#include "net/json.h"
#include "net/json_read.h"
#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"
#include "scheduler/task_crashes.h"
#include "wire/record_codec.h"

namespace burdockrock {

namespace {

constexpr char kJobPrefix[] = "job/";
constexpr char kEndPrefix[] = "end/";
constexpr char kDispatchPrefix[] = "dispatch/";
constexpr char kCancelPrefix[] = "cancel/";
constexpr char kCrashPrefix[] = "crash/";

struct EndName {
  TaskState state;
  const char* name;
};

constexpr std::array<EndName, 4> kEndNames = {{
    {TaskState::kDone, "done"},
    {TaskState::kFailed, "failed"},
    {TaskState::kMayHaveRun, "may_have_run"},
    {TaskState::kCancelled, "cancelled"},
}};

const char* NameOfEnd(TaskState state) {
  for (const EndName& it : kEndNames) {
    if (it.state == state) {
      return it.name;
    }
  }
  return "failed";
}

std::optional<TaskState> ParseEnd(const std::string& name) {
  for (const EndName& it : kEndNames) {
    if (name == it.name) {
      return it.state;
    }
  }
  return std::nullopt;
}

// "end/ID/TASK" and "dispatch/ID/TASK"
std::string TaskKey(const char* prefix, const Job& job, std::uint32_t task) {
  return prefix + job.id + "/" + std::to_string(task);
}

struct TaskName {
  std::string job;
  std::uint32_t task = 0;
};

std::optional<TaskName> ParseTaskKey(const std::string& key,
                                     const char* prefix) {
  const std::string start(prefix);
  const std::size_t split = key.rfind('/');
  if (!key.starts_with(start) || split < start.size()) {
    return std::nullopt;
  }
  return TaskName{
      .job = key.substr(start.size(), split - start.size()),
      .task = static_cast<std::uint32_t>(ParseCount(key.substr(split + 1)))};
}

std::optional<Json::Value> ParseObject(const std::string& text) {
  auto parsed = ParseJson(text);
  auto* value = std::get_if<Json::Value>(&parsed);
  if (value == nullptr || !value->isObject()) {
    return std::nullopt;
  }
  return std::move(*value);
}

std::optional<Job> DecodeJob(const LogRecord& record) {
  const auto value = ParseObject(record.body);
  if (!value) {
    return std::nullopt;
  }
  auto spec = JobSpecFromJson((*value)["spec"]);
  if (!std::holds_alternative<JobSpec>(spec)) {
    return std::nullopt;
  }
  Job job;
  job.id = record.key.substr(sizeof(kJobPrefix) - 1);
  job.spec = std::get<JobSpec>(std::move(spec));
  job.recorded = true;
  job.finished = ReadBool(MemberOf(*value, "finished")).value_or(false);
  job.tasks.resize(job.spec.count);
  job.open = job.spec.count;
  return job;
}

Task* FindTask(Jobs& jobs, const std::optional<TaskName>& name, Job** job) {
  if (!name) {
    return nullptr;
  }
  const auto it = jobs.jobs.find(name->job);
  if (it == jobs.jobs.end() || name->task >= it->second.tasks.size()) {
    return nullptr;
  }
  *job = &it->second;
  return &it->second.tasks[name->task];
}

void ApplyEnd(Jobs& jobs, const LogRecord& record) {
  Job* job = nullptr;
  Task* task = FindTask(jobs, ParseTaskKey(record.key, kEndPrefix), &job);
  const auto parsed = ParseJson(record.body);
  const auto* value = std::get_if<Json::Value>(&parsed);
  if (task == nullptr || value == nullptr) {
    return;
  }
  const auto state = ReadText(ElementOf(*value, 0));
  auto answer = ReadText(ElementOf(*value, 1));
  if (value->size() != 2 || !state || !answer) {
    return;
  }
  task->state = ParseEnd(*state).value_or(TaskState::kFailed);
  task->answer = *std::move(answer);
  --job->open;
}

void ApplyDispatch(Jobs& jobs, const LogRecord& record) {
  Job* job = nullptr;
  Task* task = FindTask(jobs, ParseTaskKey(record.key, kDispatchPrefix), &job);
  if (task != nullptr) {
    task->dispatched = true;
  }
}

void ApplyCrashes(Context& context, const LogRecord& record) {
  Job* job = nullptr;
  Task* task = FindTask(context.state().jobs,
                        ParseTaskKey(record.key, kCrashPrefix), &job);
  const auto parsed = ParseJson(record.body);
  const auto* value = std::get_if<Json::Value>(&parsed);
  if (task == nullptr || value == nullptr) {
    return;
  }
  const auto crashes = ReadWhole(ElementOf(*value, 0));
  const auto recorded = ReadBool(ElementOf(*value, 1));
  if (value->size() == 2 && crashes && recorded) {
    task->crashes =
        static_cast<std::uint8_t>(std::min(*crashes, std::uint64_t{UINT8_MAX}));
    NoteCrash(context, *task);
    task->start_recorded = *recorded;
    task->may_have_crashed = true;
  }
}

void ApplyCancel(Jobs& jobs, const LogRecord& record) {
  const auto it = jobs.jobs.find(record.key.substr(sizeof(kCancelPrefix) - 1));
  if (it != jobs.jobs.end()) {
    it->second.cancelled = true;
    it->second.cancel_recorded = true;
  }
}

void OrphanUnfinishedTasks(Context& context, Job& job) {
  for (Task& it : job.tasks) {
    if (it.state == TaskState::kQueued) {
      it.state = TaskState::kOrphaned;
      context.state().jobs.team_usage[job.spec.team] += job.spec.resources;
    }
  }
}

}  // namespace

std::uint64_t ParseCount(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

LogRecord RecordOfJob(const Job& job) {
  Json::Value value(Json::objectValue);
  if (job.finished) {
    // Only the status of a finished job is needed.
    JobSpec spec = job.spec;
    spec.payload.clear();
    value["spec"] = JobSpecToJson(spec);
    value["finished"] = true;
  } else {
    value["spec"] = JobSpecToJson(job.spec);
  }
  return {.key = kJobPrefix + job.id, .kind = "job", .body = WriteJson(value)};
}

LogRecord RecordOfEnd(const Job& job, std::uint32_t task) {
  // An array is shorter: the quotes of an object's member names would be
  // escaped twice.
  Json::Value value(Json::arrayValue);
  value.append(NameOfEnd(job.tasks[task].final_state));
  value.append(job.tasks[task].answer);
  return {.key = TaskKey(kEndPrefix, job, task),
          .kind = "end",
          .body = WriteJson(value)};
}

LogRecord RecordOfDispatch(const Job& job, std::uint32_t task) {
  return {.key = TaskKey(kDispatchPrefix, job, task),
          .kind = "dispatch",
          .body = ""};
}

LogRecord RecordOfCrashes(const Job& job, std::uint32_t task) {
  Json::Value value(Json::arrayValue);
  value.append(Json::UInt{job.tasks[task].crashes});
  value.append(job.tasks[task].start_recorded);
  return {.key = TaskKey(kCrashPrefix, job, task),
          .kind = "crash",
          .body = WriteJson(value)};
}

LogRecord RecordOfCancel(const Job& job) {
  return {.key = kCancelPrefix + job.id, .kind = "cancel", .body = ""};
}

void EraseJobRecords(Context& context, const Job& job) {
  const auto erase = [&](std::string key) {
    AppendTo(context, job.log, {.key = std::move(key), .kind = kEraseKind}, {},
             std::nullopt);
  };
  for (std::uint32_t it = 0; it < job.tasks.size(); ++it) {
    const TaskState state = job.tasks[it].state;
    const bool has_end = state == TaskState::kDone ||
                         state == TaskState::kFailed ||
                         state == TaskState::kMayHaveRun;
    if (has_end) {
      erase(TaskKey(kEndPrefix, job, it));
    }
    if (job.tasks[it].dispatched) {
      erase(TaskKey(kDispatchPrefix, job, it));
    }
    if (MustRecordStart(job.tasks[it])) {
      erase(TaskKey(kCrashPrefix, job, it));
    }
  }
  if (job.cancelled) {
    erase(kCancelPrefix + job.id);
  }
  erase(kJobPrefix + job.id);
}

namespace {

// A finished job's tasks without a recorded end were cancelled.
void CancelUnfinishedTasks(Job& job) {
  for (Task& it : job.tasks) {
    if (it.state == TaskState::kQueued) {
      it.state = TaskState::kCancelled;
    }
  }
  job.open = 0;
}

}  // namespace

std::size_t LoadJobs(Context& context,
                     const std::string& log,
                     const std::map<std::string, LiveRecord>& records) {
  Jobs& jobs = context.state().jobs;
  std::vector<std::string> ids;
  for (const auto& [key, live] : records) {
    if (!key.starts_with(kJobPrefix)) {
      continue;
    }
    auto job = DecodeJob(live.record);
    if (job) {
      job->log = log;
      job->arrived = context.now();
      const std::string id = job->id;
      ids.push_back(id);
      jobs.jobs.insert_or_assign(id, *std::move(job));
    }
  }
  for (const auto& [key, live] : records) {
    if (key.starts_with(kEndPrefix)) {
      ApplyEnd(jobs, live.record);
    } else if (key.starts_with(kDispatchPrefix)) {
      ApplyDispatch(jobs, live.record);
    } else if (key.starts_with(kCrashPrefix)) {
      ApplyCrashes(context, live.record);
    } else if (key.starts_with(kCancelPrefix)) {
      ApplyCancel(jobs, live.record);
    }
  }
  std::size_t unfinished = 0;
  for (const std::string& it : ids) {
    Job& job = jobs.jobs.at(it);
    if (job.finished) {
      CancelUnfinishedTasks(job);
      context.ScheduleAfter(kFinishedJobRetention, TimerKind::kForgetJob, it);
    } else {
      OrphanUnfinishedTasks(context, job);
      job.recovering = true;
      job.go_sent = true;
      ++unfinished;
      FinishIfDone(context, job);
    }
  }
  return unfinished;
}

}  // namespace burdockrock
