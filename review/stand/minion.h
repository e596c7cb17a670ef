// A stand-in of one machine of the service and of the minions that live on it,
// one after the other.
#ifndef BURDOCKROCK_REVIEW_STAND_MINION_H_
#define BURDOCKROCK_REVIEW_STAND_MINION_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "stand/http.h"
#include "stand/store.h"
#include "stand/world.h"

namespace review {

// One run of a task, as its minion saw it.
struct RunRecord {
  std::string minion;
  std::string task;
  std::uint64_t run = 0;
  std::int64_t started = 0;
  std::int64_t ended = -1;
  std::string how;          // empty: not ended; "crashed" with its minion
  std::int64_t noted = -1;  // when `acknowledged` reached the end
};

struct MinionOptions {
  std::string machine;
  std::string zone;
  std::string rack;
  std::string service;
  Address address;
  std::int64_t cpu = 32'000;
  std::int64_t mem_mb = 65'536;
  // A minion that starts again has the id that it had, and tells when it was
  // born.
  bool keeps_id = false;
};

// How long a task runs: the number after "ms=" in the job's text; tasks without
// one run until they are stopped.
inline std::optional<std::int64_t> RunTimeOf(const std::string& spec) {
  const std::size_t at = spec.find("ms=");
  return at == std::string::npos
             ? std::nullopt
             : std::optional<std::int64_t>(std::atoll(spec.c_str() + at + 3));
}

class Minion {
 public:
  static constexpr std::int64_t kMaxHoldMs = 6000;
  static constexpr std::int64_t kStopMs = 30;
  static constexpr std::int64_t kBeatMs = 1500;
  // From the start of a life to its first entry in the store.
  static constexpr std::int64_t kFirstBeatMs = 200;
  static constexpr std::int64_t kNever = INT64_MAX;
  static constexpr std::size_t kMostEnds = 500;  // of one response

  Minion(World& world,
         Store& store,
         MinionOptions options,
         std::deque<RunRecord>& runs)
      : world_(world),
        store_(store),
        options_(std::move(options)),
        runs_(runs) {}

  // The calls below need the world's lock.

  // Starts a new life, with a new id.
  void Start() {
    ++life_;
    state_ = "up";
    id_ = "i-" + options_.machine +
          (options_.keeps_id ? "" : "-" + std::to_string(life_));
    born_ = options_.keeps_id ? World::WallMs() : 0;
    clock_start_ = world_.Now();
    up_ = true;
    fence_ = 0;
    last_end_ = 0;
    listed_ = 0;
    here_.clear();
    live_.clear();
    ends_.clear();
    highest_over_.clear();
    lease_until_ = 0;
    server_ = std::make_unique<Server>(
        options_.address,
        [this](const Request& request) { return Handle(request); });
    Json::Value entry;
    entry["service"] = options_.service;
    entry["address"] = options_.address.Text();
    entry["zone"] = options_.zone;
    entry["version"] = "v1";
    entry["slots"] = 8;
    entry["state"] = "ready";
    entry["cold_remaining_ms"] = 0;
    entry["capacity"]["cpu"] = Json::Int64(options_.cpu);
    entry["capacity"]["mem_mb"] = Json::Int64(options_.mem_mb);
    entry["capacity"]["gpu"] = 0;
    entry["labels"].append("a");
    entry["labels"].append(options_.rack);
    entry["clock_ms"] = Json::Int64(Clock());
    entry["sequence"] = 1;
    if (born_ != 0) {
      entry["born"] = Json::Int64(born_);
    }
    entry_ = Write(entry);
    entry_due_at_ = world_.Now() + kFirstBeatMs;
    world_.Record("minion " + Label() + " is up");
  }

  // Ends the minion without a word. All that ran there is gone.
  void Crash() {
    Leave("crashed", "down", 3 * kBeatMs);
    world_.Record("minion " + id_ + " crashes");
  }

  // Ends the minion without a word; its next life begins soon.
  void Restart(std::int64_t after_ms) {
    Leave("crashed", "down", 3 * kBeatMs);
    old_entries_.pop_back();  // the next life writes it anew
    up_again_at_ = world_.Now() + after_ms;
    world_.Record("minion " + Label() + " crashes and starts again");
  }

  // Takes the machine down for its upkeep; a new minion comes afterwards.
  void BeginUpkeep(std::int64_t takes_ms) {
    Leave("upkeep", "upkeep", 0);
    up_again_at_ = world_.Now() + takes_ms;
  }

  void Tick() {
    if (up_again_at_ >= 0 && world_.Now() >= up_again_at_) {
      up_again_at_ = -1;
      Start();
    }
    if (!store_.IsDown()) {
      if (world_.Now() >= entry_due_at_) {
        entry_due_at_ = kNever;
        store_.Put("servers/" + id_, entry_);
      }
      while (!old_entries_.empty() &&
             old_entries_.front().first <= world_.Now()) {
        store_.Remove(old_entries_.front().second);
        old_entries_.pop_front();
      }
    }
    if (!up_) {
      return;
    }
    std::vector<std::pair<Key, std::string>> over;
    const bool lapsed = Clock() >= lease_until_;
    for (const auto& [key, index] : here_) {
      const Live& live = live_[key];
      if (live.stop_at >= 0 && world_.Now() >= live.stop_at) {
        over.emplace_back(key, "stopped");
      } else if (live.done_at >= 0 && world_.Now() >= live.done_at) {
        over.emplace_back(key, "done");
      } else if (lapsed) {
        over.emplace_back(key, "lapsed");
      }
    }
    for (const auto& [key, how] : over) {
      End(key, how);
    }
  }

  bool IsUp() const { return up_; }
  const std::string& state() const { return state_; }  // of the machine
  const std::string& id() const { return id_; }
  // The id, and the number of the life where lives share it.
  std::string Label() const {
    return options_.keeps_id ? id_ + "/" + std::to_string(life_) : id_;
  }
  std::size_t CountStartsSince(std::int64_t since) const {
    std::size_t count = 0;
    for (auto it = runs_.rbegin(); it != runs_.rend() && it->started >= since;
         ++it) {
      count += it->minion == Label() ? 1 : 0;
    }
    return count;
  }
  const MinionOptions& options() const { return options_; }
  std::size_t most_unnoted() const { return most_unnoted_; }

  bool Runs(const std::string& task) const {
    return std::any_of(here_.begin(), here_.end(),
                       [&](const auto& it) { return it.first.first == task; });
  }
  std::size_t CountRuns() const { return here_.size(); }

 private:
  using Key = std::pair<std::string, std::uint64_t>;  // task and run

  struct Live {
    std::int64_t begun = 0;
    std::int64_t done_at = -1;
    std::int64_t stop_at = -1;
  };
  struct Ended {
    std::uint64_t number = 0;
    std::size_t index = 0;  // in `runs_`
  };

  void Leave(const char* how, const char* state, std::int64_t entry_stays_ms) {
    up_ = false;
    state_ = state;
    server_.reset();
    for (const auto& [key, index] : here_) {
      runs_[index].ended = world_.Now();
      runs_[index].how = how;
    }
    here_.clear();
    old_entries_.emplace_back(world_.Now() + entry_stays_ms, "servers/" + id_);
    world_.cv.notify_all();
  }

  std::int64_t Clock() const { return world_.Now() - clock_start_; }

  Response Refuse(const char* reason) const {
    Json::Value json;
    json["clock_ms"] = Json::Int64(Clock());
    json["reason"] = reason;
    return {.status = 409, .body = Write(json)};
  }
  Response Accept() const {
    Json::Value json;
    json["clock_ms"] = Json::Int64(Clock());
    return {.body = Write(json)};
  }

  void End(const Key& key, const std::string& how) {
    const std::size_t index = here_.at(key);
    here_.erase(key);
    live_.erase(key);
    RunRecord& run = runs_[index];
    run.ended = world_.Now();
    run.how = how;
    std::uint64_t& highest = highest_over_[key.first];
    highest = std::max(highest, key.second);
    ends_.push_back({++last_end_, index});
    most_unnoted_ = std::max(most_unnoted_, ends_.size());
    world_.cv.notify_all();
  }

  void Extend(const Json::Value& body) {
    if (body.isMember("deadline_ms")) {
      lease_until_ = std::max(
          lease_until_,
          std::min(body["deadline_ms"].asInt64(), Clock() + kMaxHoldMs));
    }
  }

  std::optional<Response> Handle(const Request& request) {
    std::unique_lock lock(world_.mutex);
    if (!up_) {
      return std::nullopt;  // arrived at a life that has ended
    }
    const auto expected = request.headers.find("x-expected-instance");
    if (expected != request.headers.end() && expected->second != id_) {
      return Response{.status = 421};
    }
    const Json::Value body = Parse(request.body);
    if (request.path == "/health") {
      return Response{};
    }
    const std::uint64_t fence = body["fencing_token"].asUInt64();
    if (fence < fence_) {
      return Refuse("fence");
    }
    fence_ = fence;
    if (request.path == "/hold") {
      return Hold(body, lock);
    }
    if (request.path == "/run-start") {
      return StartRun(body);
    }
    if (request.path == "/run-stop") {
      return StopRun(body);
    }
    return request.path == "/pace" ? Accept() : Response{.status = 400};
  }

  std::optional<Response> Hold(const Json::Value& body,
                               std::unique_lock<std::mutex>& lock) {
    const int life = life_;
    const std::uint64_t fence = fence_;
    Extend(body);
    const std::uint64_t noted = body["acknowledged"].asUInt64();
    while (!ends_.empty() && ends_.front().number <= noted) {
      runs_[ends_.front().index].noted = world_.Now();
      ends_.pop_front();
    }
    // Waits for an end that this response would be the first to list.
    const std::uint64_t last = last_end_;
    const std::int64_t until = world_.Now() + body["wait_ms"].asInt64();
    while (life == life_ && up_ && fence == fence_ && last == last_end_ &&
           world_.Now() < until && !HasUnlisted()) {
      world_.cv.wait_for(lock, std::chrono::milliseconds(until - world_.Now()));
    }
    if (life != life_ || !up_) {
      return std::nullopt;
    }
    if (fence != fence_) {
      return Refuse("fence");
    }
    Json::Value json;
    json["clock_ms"] = Json::Int64(Clock());
    if (born_ != 0) {
      json["born"] = Json::Int64(born_);
    }
    json["running"] = Json::Value(Json::arrayValue);
    json["finished"] = Json::Value(Json::arrayValue);
    for (const auto& [key, index] : here_) {
      Json::Value row(Json::arrayValue);
      row.append(key.first);
      row.append(Json::UInt64(key.second));
      row.append("");
      row.append(PercentOf(key));
      row.append(0);
      json["running"].append(row);
    }
    for (const Ended& it : ends_) {
      if (json["finished"].size() == kMostEnds) {
        break;
      }
      const RunRecord& run = runs_[it.index];
      Json::Value row(Json::arrayValue);
      row.append(Json::UInt64(it.number));
      row.append(run.task);
      row.append(Json::UInt64(run.run));
      row.append(run.how);
      row.append("");
      json["finished"].append(row);
      listed_ = std::max(listed_, it.number);
    }
    return Response{.body = Write(json)};
  }

  bool HasUnlisted() const {
    return listed_ < last_end_ && ends_.size() <= kMostEnds;
  }

  int PercentOf(const Key& key) {
    const Live& live = live_[key];
    if (live.done_at < 0) {
      return 100;
    }
    const std::int64_t whole =
        std::max<std::int64_t>(live.done_at - live.begun, 1);
    const std::int64_t worked = world_.Now() - live.begun;
    return static_cast<int>(std::min<std::int64_t>(99, 100 * worked / whole));
  }

  Response StartRun(const Json::Value& body) {
    const Key key{body["task"].asString(), body["run"].asUInt64()};
    Extend(body);
    if (here_.contains(key)) {
      return Accept();
    }
    const auto over = highest_over_.find(key.first);
    if (over != highest_over_.end() && key.second <= over->second) {
      return Refuse("old");
    }
    if (body["deadline_ms"].asInt64() <= Clock()) {
      return Refuse("late");
    }
    runs_.push_back({.minion = Label(),
                     .task = key.first,
                     .run = key.second,
                     .started = world_.Now(),
                     .how = {}});
    here_[key] = runs_.size() - 1;
    const auto takes = RunTimeOf(body["spec"].asString());
    live_[key] = {.begun = world_.Now(),
                  .done_at = takes ? world_.Now() + *takes : -1};
    return Accept();
  }

  Response StopRun(const Json::Value& body) {
    const Key key{body["task"].asString(), body["run"].asUInt64()};
    std::uint64_t& highest = highest_over_[key.first];
    highest = std::max(highest, key.second);
    if (here_.contains(key) && live_[key].stop_at < 0) {
      live_[key].stop_at = world_.Now() + kStopMs;
    }
    return Accept();
  }

  World& world_;
  Store& store_;
  MinionOptions options_;
  std::deque<RunRecord>& runs_;
  std::unique_ptr<Server> server_;
  std::string id_;
  std::string entry_;
  std::int64_t entry_due_at_ = kNever;
  std::deque<std::pair<std::int64_t, std::string>> old_entries_;
  int life_ = 0;
  bool up_ = false;
  std::string state_ = "down";
  std::int64_t up_again_at_ = -1;
  std::int64_t born_ = 0;
  std::int64_t clock_start_ = 0;
  std::int64_t lease_until_ = 0;
  std::uint64_t fence_ = 0;
  std::uint64_t last_end_ = 0;
  std::uint64_t listed_ = 0;
  std::map<Key, std::size_t> here_;
  std::map<Key, Live> live_;
  std::deque<Ended> ends_;
  std::map<std::string, std::uint64_t> highest_over_;
  std::size_t most_unnoted_ = 0;
};

}  // namespace review

#endif  // BURDOCKROCK_REVIEW_STAND_MINION_H_
