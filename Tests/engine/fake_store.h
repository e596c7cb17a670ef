// In-memory key-value store with leases and watches for tests in virtual time.
#ifndef BURDOCKROCK_TESTS_ENGINE_FAKE_STORE_H_
#define BURDOCKROCK_TESTS_ENGINE_FAKE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "engine/calls.h"
#include "model/time.h"

namespace burdockrock::engine {

// Store with the semantics of the engine's store calls. Revisions increase with
// each write.
class FakeStore {
 public:
  // The answer; nullopt if a watch has to wait for a change.
  std::optional<StoreAnswer> Handle(Time now, const StoreRequest& request);

  // Removes expired leases and their keys. Handle calls it first.
  void Expire(Time now);

  // Unconditional writes, as an operator or a worker makes them.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  // Removes all keys that begin with `prefix`, and their leases.
  void Revoke(const std::string& prefix);

  // Discards the history: watches from older revisions get StoreAbsent.
  void ForgetHistory() { oldest_ = revision_; }

  std::vector<std::string> Keys(const std::string& prefix) const;
  std::string ValueOf(const std::string& key) const;
  std::uint64_t transactions() const { return transactions_; }

  // Bounds of the platform's store; what exceeds them is rejected.
  std::size_t max_value_bytes = 1'048'576;
  static constexpr std::size_t kMaxKeyBytes = 200;
  static constexpr std::size_t kMaxEntries = 32;  // of a transaction
  std::uint64_t rejected() const { return rejected_; }
  // Whether the store rejects a put for a reason of its own.
  std::function<bool(const StorePut&)> rejects = [](const StorePut&) {
    return false;
  };

 private:
  struct Lease {
    Duration ttl{0};
    Time expires{0};
  };
  struct Entry {
    StoreItem item{};
    std::uint64_t lease = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key{};
    bool removed = false;
  };

  std::optional<StoreAnswer> Answer(Time now, const StoreRead& it);
  std::optional<StoreAnswer> Answer(Time now, const StoreRange& it);
  std::optional<StoreAnswer> Answer(Time now, const StoreWatch& it);
  std::optional<StoreAnswer> Answer(Time now, const StoreTransaction& it);
  std::optional<StoreAnswer> Answer(Time now, const StoreLeaseGrant& it);
  std::optional<StoreAnswer> Answer(Time now, const StoreLeaseRenew& it);
  std::optional<StoreAnswer> Answer(Time now, const StoreLeaseEnd& it);
  bool Accepts(const StoreTransaction& it) const;
  void Write(const std::string& key,
             const std::string& value,
             std::uint64_t lease);
  void Erase(const std::string& key);
  void EraseLeased(std::uint64_t lease);

  std::uint64_t revision_ = 100;
  std::uint64_t oldest_ = 0;
  std::uint64_t last_lease_ = 0;
  std::uint64_t transactions_ = 0;
  std::uint64_t rejected_ = 0;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> history_;
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_TESTS_ENGINE_FAKE_STORE_H_
