#include "cli/log_story.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <sstream>

#include <boost/date_time/posix_time/posix_time.hpp>

#include "net/json.h"
#include "net/json_read.h"

namespace burdockrock {

namespace {

using boost::posix_time::ptime;

// Causes stand before their effects by a lease or so.
const boost::posix_time::time_duration kBefore = boost::posix_time::seconds(3);
const boost::posix_time::time_duration kAfter = boost::posix_time::seconds(1);

constexpr auto kOfWorkers = std::to_array<std::string_view>(
    {"worker_claimed", "claim_refused", "ownership_lost", "worker_silent",
     "worker_gone", "worker_leaving", "worker_removed", "worker_quarantined",
     "worker_back", "claim_waits", "stop_unanswered", "worker_closed",
     "worker_opened", "worker_restarted"});
constexpr auto kOfInstances = std::to_array<std::string_view>(
    {"started", "stopping", "drain_started", "handed_over", "registered",
     "registration_lost", "platform_unreachable", "platform_back"});

bool IsOneOf(std::string_view name, const auto& names) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

void SetMember(LoggedEvent& record, std::string key, std::string value) {
  if (key == "time") {
    record.time = std::move(value);
  } else if (key == "instance") {
    record.instance = std::move(value);
  } else if (key == "name") {
    record.name = std::move(value);
  } else if (key != "level" && key != "event") {
    record.fields.emplace_back(std::move(key), std::move(value));
  }
}

std::optional<LoggedEvent> Checked(LoggedEvent record) {
  if (record.time.empty() || record.name.empty()) {
    return std::nullopt;
  }
  return record;
}

std::optional<LoggedEvent> ParseJsonLine(std::string_view line) {
  const auto parsed = ParseJson(line);
  const auto* json = std::get_if<Json::Value>(&parsed);
  if (json == nullptr || !json->isObject()) {
    return std::nullopt;
  }
  LoggedEvent record;
  for (const std::string& key : json->getMemberNames()) {
    const Json::Value& value = (*json)[key];
    SetMember(record, key, ReadText(value).value_or(WriteJson(value)));
  }
  return Checked(std::move(record));
}

// Up to the blank, or the closing quote; takes it off `rest`.
std::string TakeValue(std::string_view& rest) {
  std::string value;
  const bool quoted = rest.starts_with('"');
  std::size_t it = quoted ? 1 : 0;
  for (; it < rest.size(); ++it) {
    if (quoted && rest[it] == '\\' && it + 1 < rest.size()) {
      value += rest[++it];
    } else if (rest[it] == (quoted ? '"' : ' ')) {
      break;
    } else {
      value += rest[it];
    }
  }
  rest.remove_prefix(std::min(it + (quoted ? 1 : 0), rest.size()));
  return value;
}

// A field can hold several things, with blanks between them.
std::vector<std::string> SplitWords(const std::string& value) {
  std::istringstream stream(value);
  return {std::istream_iterator<std::string>(stream),
          std::istream_iterator<std::string>()};
}

// Several jobs share such a field: "ID.0.0/90@WORKER:0,1/88 ID.0.1/70@...".
bool IsShared(const std::pair<std::string, std::string>& field) {
  return field.first == "runs" && field.second.find('@') != std::string::npos;
}

// The fields that can name a job, a request or one of their tasks.
bool Names(const LoggedEvent& record, std::string_view id) {
  const std::string task = std::string(id) + ".";
  const std::string path = "/" + std::string(id);
  const auto is_its = [&](const std::string& word) {
    return word.starts_with(task);
  };
  return std::any_of(
      record.fields.begin(), record.fields.end(), [&](const auto& field) {
        if (IsShared(field)) {
          const auto words = SplitWords(field.second);
          return std::any_of(words.begin(), words.end(), is_its);
        }
        return field.second == id || is_its(field.second) ||
               (field.first == "path" && field.second.ends_with(path));
      });
}

// Without what the line tells of other jobs.
LoggedEvent Own(LoggedEvent record, std::string_view id) {
  const std::string task = std::string(id) + ".";
  for (auto& field : record.fields) {
    if (!IsShared(field)) {
      continue;
    }
    std::string kept;
    for (const std::string& it : SplitWords(field.second)) {
      if (it.starts_with(task)) {
        kept += (kept.empty() ? "" : " ") + it;
      }
    }
    field.second = std::move(kept);
  }
  return record;
}

// The workers that one word names: "WORKER@..." in "workers", and in "runs"
// "...@WORKER:..." any number of times, or "...@WORKER@OWNER" once.
void AddWorkers(const std::string& key,
                const std::string& word,
                std::vector<std::string>& workers) {
  std::size_t at = word.find('@');
  if (key == "workers") {
    workers.push_back(word.substr(0, at));
    return;
  }
  while (at != std::string::npos) {
    const std::size_t end = word.find_first_of("@:", at + 1);
    workers.push_back(word.substr(at + 1, end - at - 1));
    const bool has_tasks = end != std::string::npos && word[end] == ':';
    at = has_tasks ? word.find('@', end) : std::string::npos;
  }
}

std::vector<std::string> WorkersOf(
    const std::pair<std::string, std::string>& field) {
  if (field.first == "worker") {
    return {field.second};
  }
  std::vector<std::string> workers;
  if (field.first == "workers" || field.first == "runs") {
    for (const std::string& it : SplitWords(field.second)) {
      AddWorkers(field.first, it, workers);
    }
  }
  return workers;
}

// Who took part, and when.
struct Cast {
  std::set<std::string> workers{};
  std::set<std::string> instances{};
  ptime first{boost::posix_time::pos_infin};
  ptime last{boost::posix_time::neg_infin};

  void Add(const LoggedEvent& record) {
    instances.insert(record.instance);
    for (const auto& field : record.fields) {
      for (std::string& it : WorkersOf(field)) {
        workers.insert(std::move(it));
      }
    }
    const ptime time = TimeOf(record);
    if (!time.is_not_a_date_time()) {
      first = std::min(first, time);
      last = std::max(last, time);
    }
  }

  // A record without a time is only ever direct.
  bool Concerns(const LoggedEvent& record) const {
    const ptime time = TimeOf(record);
    if (time.is_not_a_date_time() || time < first - kBefore ||
        time > last + kAfter) {
      return false;
    }
    if (IsOneOf(record.name, kOfInstances)) {
      return instances.contains(record.instance);
    }
    return IsOneOf(record.name, kOfWorkers) &&
           std::any_of(record.fields.begin(), record.fields.end(),
                       [this](const auto& field) {
                         return field.first == "worker" &&
                                workers.contains(field.second);
                       });
  }
};

}  // namespace

std::optional<LoggedEvent> ParseLogLine(std::string_view line) {
  if (const std::size_t json = line.find('{');
      json != std::string_view::npos && line.find("time=") > json) {
    return ParseJsonLine(line.substr(json));
  }
  const std::size_t start = line.find("time=");
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view rest = line.substr(start);
  LoggedEvent record;
  while (!rest.empty()) {
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    SetMember(record, std::move(key), TakeValue(rest));
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  }
  return Checked(std::move(record));
}

ptime TimeOf(const LoggedEvent& record) {
  std::string text = record.time;
  if (text.ends_with('Z')) {
    text.pop_back();
  }
  try {
    return boost::posix_time::from_iso_extended_string(text);
  } catch (const std::exception&) {
    return {};
  }
}

std::vector<StoryLine> FindStory(const std::vector<LoggedEvent>& records,
                                 std::string_view id) {
  Cast cast;
  for (const LoggedEvent& it : records) {
    if (Names(it, id)) {
      cast.Add(Own(it, id));
    }
  }
  std::vector<StoryLine> story;
  for (const LoggedEvent& it : records) {
    const bool direct = Names(it, id);
    if (direct || cast.Concerns(it)) {
      story.push_back({.event = direct ? Own(it, id) : it, .direct = direct});
    }
  }
  std::stable_sort(story.begin(), story.end(),
                   [](const StoryLine& left, const StoryLine& right) {
                     return left.event.time < right.event.time;
                   });
  return story;
}

std::string ToText(const StoryLine& line) {
  const LoggedEvent& record = line.event;
  std::string text = record.time + " " + (line.direct ? "" : "(") +
                     record.instance + " " + record.name;
  for (const auto& [key, value] : record.fields) {
    text += " ";
    text += key;
    text += "=";
    text += value;
  }
  return text + (line.direct ? "" : ")");
}

}  // namespace burdockrock
