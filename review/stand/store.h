// A stand-in of the platform's metadata store.
#ifndef BURDOCKROCK_REVIEW_STAND_STORE_H_
#define BURDOCKROCK_REVIEW_STAND_STORE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "stand/http.h"
#include "stand/world.h"

namespace review {

class Store {
 public:
  static constexpr std::size_t kValueBytes = 1048576;
  static constexpr std::size_t kMaxEntries = 32;
  static constexpr std::size_t kPageItems = 500;
  static constexpr std::int64_t kHistoryMs = 20'000;

  explicit Store(World& world) : world_(world) {}

  // Answers a call of the system.
  std::optional<Response> Handle(const Request& request) {
    std::unique_lock lock(world_.mutex);
    if (down_) {
      return Response{.status = 503};
    }
    if (request.path == "/kv-key") {
      return Read(request);
    }
    if (request.path == "/kv-range") {
      return Range(request);
    }
    if (request.path == "/kv-watch") {
      return Watch(request, lock);
    }
    if (request.path == "/kv-txn") {
      return Transact(Parse(request.body));
    }
    if (request.path == "/kv-lease") {
      return Grant(Parse(request.body));
    }
    if (request.path.starts_with("/kv-keep/")) {
      return Keep(IdOf(request.path, "/kv-keep/"));
    }
    if (request.path.starts_with("/kv-lease-end/")) {
      return End(IdOf(request.path, "/kv-lease-end/"));
    }
    return Response{.status = 404};
  }

  // The calls below need the world's lock.

  // Refuses all calls of the system with 503. Leases pause meanwhile.
  void SetDown(bool down) {
    if (down_ && !down) {
      for (auto& [id, lease] : leases_) {
        lease.expires += world_.Now() - down_since_;
      }
    }
    down_ = down;
    down_since_ = world_.Now();
    world_.cv.notify_all();
  }

  // For the operator and the minions.
  void Put(const std::string& key, const std::string& text) {
    ++revision_;
    PutItem(key, EncodeBase64(text), 0);
    world_.cv.notify_all();
  }
  void Remove(const std::string& key) {
    if (items_.contains(key)) {
      ++revision_;
      RemoveItem(key);
      world_.cv.notify_all();
    }
  }

  // The item's value; empty if there is none.
  std::string TextOf(const std::string& key) const {
    const auto it = items_.find(key);
    return it == items_.end() ? "" : DecodeBase64(it->second.value);
  }

  bool IsDown() const { return down_; }

  void Tick() {
    if (down_) {
      return;
    }
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (lease.expires <= world_.Now()) {
        ended.push_back(id);
      }
    }
    for (const std::uint64_t it : ended) {
      EndLease(it);
    }
    while (!events_.empty() && events_.front().at < world_.Now() - kHistoryMs) {
      forgotten_ = events_.front().revision;
      events_.pop_front();
    }
  }

 private:
  struct Item {
    std::string value;  // base64
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    std::int64_t ttl = 0;
    std::int64_t expires = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string key;
    std::optional<Item> item;
    std::int64_t at = 0;
  };

  static std::uint64_t IdOf(const std::string& path, const char* prefix) {
    return std::strtoull(path.c_str() + std::strlen(prefix), nullptr, 10);
  }

  static std::string Query(const Request& request, const char* name) {
    const auto it = request.query.find(name);
    return it == request.query.end() ? std::string() : it->second;
  }

  static Json::Value ToJson(const std::string& key, const Item& item) {
    Json::Value json;
    json["key"] = key;
    json["value"] = item.value;
    json["revision"] = Json::UInt64(item.revision);
    json["created"] = Json::UInt64(item.created);
    json["lease"] = Json::UInt64(item.lease);
    return json;
  }

  void PutItem(const std::string& key,
               const std::string& value,
               std::uint64_t lease) {
    Item& item = items_[key];
    item.value = value;
    item.revision = revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    item.lease = lease;
    events_.push_back({revision_, key, item, world_.Now()});
  }

  void RemoveItem(const std::string& key) {
    items_.erase(key);
    events_.push_back({revision_, key, std::nullopt, world_.Now()});
  }

  void EndLease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id) {
        keys.push_back(key);
      }
    }
    if (!keys.empty()) {
      ++revision_;
    }
    for (const std::string& it : keys) {
      RemoveItem(it);
    }
    world_.cv.notify_all();
  }

  Response Read(const Request& request) {
    const std::string key = Query(request, "key");
    const auto it = items_.find(key);
    if (it == items_.end()) {
      return {.status = 404};
    }
    Json::Value json = ToJson(key, it->second);
    json["as_of"] = Json::UInt64(revision_);
    return {.body = Write(json)};
  }

  Response Range(const Request& request) {
    const std::string prefix = Query(request, "path_prefix");
    const std::string after = Query(request, "after");
    Json::Value json;
    json["items"] = Json::Value(Json::arrayValue);
    json["has_more"] = false;
    json["as_of"] = Json::UInt64(revision_);
    std::size_t bytes = 0;
    for (auto it = items_.lower_bound(prefix);
         it != items_.end() && it->first.starts_with(prefix); ++it) {
      if (!after.empty() && it->first <= after) {
        continue;
      }
      if (json["items"].size() == kPageItems || bytes > kValueBytes) {
        json["has_more"] = true;
        break;
      }
      bytes += it->second.value.size();
      json["items"].append(ToJson(it->first, it->second));
    }
    return {.body = Write(json)};
  }

  Response Watch(const Request& request, std::unique_lock<std::mutex>& lock) {
    const std::string prefix = Query(request, "path_prefix");
    const std::uint64_t after =
        std::strtoull(Query(request, "after").c_str(), nullptr, 10);
    const std::int64_t until =
        world_.Now() + std::atoll(Query(request, "wait_ms").c_str());
    while (true) {
      if (down_) {
        return {.status = 503};
      }
      if (after < forgotten_) {
        return {.status = 410};
      }
      Json::Value json;
      json["events"] = Json::Value(Json::arrayValue);
      json["as_of"] = Json::UInt64(revision_);
      for (const Event& it : events_) {
        if (it.revision <= after || !it.key.starts_with(prefix)) {
          continue;
        }
        if (it.item) {
          json["events"].append(ToJson(it.key, *it.item));
        } else {
          Json::Value event;
          event["key"] = it.key;
          event["revision"] = Json::UInt64(it.revision);
          event["tombstone"] = true;
          json["events"].append(event);
        }
      }
      const std::int64_t left = until - world_.Now();
      if (!json["events"].empty() || left <= 0) {
        return {.body = Write(json)};
      }
      world_.cv.wait_for(lock, std::chrono::milliseconds(left));
    }
  }

  Response Transact(const Json::Value& body) {
    const Json::Value& expected = body["expected"];
    const Json::Value& puts = body["set_keys"];
    const Json::Value& removes = body["remove"];
    if (expected.size() + puts.size() + removes.size() > kMaxEntries) {
      return {.status = 400};
    }
    Json::Value failed(Json::arrayValue);
    bool holds = true;
    for (const Json::Value& it : expected) {
      const std::string key = it["key"].asString();
      const auto item = items_.find(key);
      const std::uint64_t revision =
          item == items_.end() ? 0 : item->second.revision;
      holds = holds && revision == it["revision"].asUInt64();
      Json::Value row;
      if (item == items_.end()) {
        row["key"] = key;
        row["revision"] = 0;
      } else {
        row = ToJson(key, item->second);
      }
      failed.append(row);
    }
    for (const Json::Value& it : puts) {
      const std::string key = it["key"].asString();
      const std::size_t size = DecodedSize(it["value"].asString());
      if (size > kValueBytes || key.size() > 200) {
        ++oversized;
        world_.Record("store refuses a value of " + std::to_string(size) +
                      " bytes for " + key + ", at most " +
                      std::to_string(kValueBytes) + " are allowed");
        return {.status = 400,
                .body = R"({"error":"the value is above value_bytes"})"};
      }
      if (key.starts_with("op/") || key.starts_with("servers/")) {
        return {.status = 403};
      }
      const std::uint64_t lease = it["lease"].asUInt64();
      if (lease != 0 && !leases_.contains(lease)) {
        return {.status = 404};
      }
    }
    if (!holds) {
      Json::Value json;
      json["items"] = failed;
      return {.status = 412, .body = Write(json)};
    }
    ++revision_;
    for (const Json::Value& it : puts) {
      PutItem(it["key"].asString(), it["value"].asString(),
              it["lease"].asUInt64());
    }
    for (const Json::Value& it : removes) {
      if (items_.contains(it.asString())) {
        RemoveItem(it.asString());
      }
    }
    world_.cv.notify_all();
    Json::Value json;
    json["revision"] = Json::UInt64(revision_);
    return {.body = Write(json)};
  }

  Response Grant(const Json::Value& body) {
    const std::uint64_t id = ++last_lease_;
    const std::int64_t ttl = body["ttl_ms"].asInt64();
    leases_[id] = {ttl, world_.Now() + ttl};
    Json::Value json;
    json["lease"] = Json::UInt64(id);
    json["ttl_ms"] = Json::Int64(ttl);
    return {.body = Write(json)};
  }

  Response Keep(std::uint64_t id) {
    const auto it = leases_.find(id);
    if (it == leases_.end()) {
      return {.status = 404};
    }
    it->second.expires = world_.Now() + it->second.ttl;
    Json::Value json;
    json["ttl_ms"] = Json::Int64(it->second.ttl);
    return {.body = Write(json)};
  }

  Response End(std::uint64_t id) {
    EndLease(id);
    return {};
  }

  World& world_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Event> events_;
  std::uint64_t revision_ = 100;
  std::uint64_t forgotten_ = 100;
  std::uint64_t last_lease_ = 70'000;
  bool down_ = false;
  std::int64_t down_since_ = 0;

 public:
  std::size_t oversized = 0;  // writes that were refused for their size
};

}  // namespace review

#endif  // BURDOCKROCK_REVIEW_STAND_STORE_H_
