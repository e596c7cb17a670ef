// Values by worker, in the order of their names and found by a hash of these.
// There are thousands, and most messages and replies look some up.
#ifndef BURDOCKROCK_ENGINE_WORKER_MAP_H_
#define BURDOCKROCK_ENGINE_WORKER_MAP_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace burdockrock::engine {

// The part of std::map's interface that is used. Pointers to values stay valid
// until they are erased, also when the map is moved.
template <typename Value>
class WorkerMap {
  using Map = std::map<std::string, Value>;

 public:
  using value_type = typename Map::value_type;
  using iterator = typename Map::iterator;
  using const_iterator = typename Map::const_iterator;

  WorkerMap() = default;
  WorkerMap(const WorkerMap& other) : map_(other.map_) {
    for (iterator it = map_.begin(); it != map_.end(); ++it) {
      places_.emplace(it->first, it);
    }
  }
  WorkerMap& operator=(const WorkerMap& other) {
    if (this != &other) {
      *this = WorkerMap(other);
    }
    return *this;
  }
  WorkerMap(WorkerMap&&) noexcept = default;
  WorkerMap& operator=(WorkerMap&&) noexcept = default;
  ~WorkerMap() = default;

  iterator begin() { return map_.begin(); }
  iterator end() { return map_.end(); }
  const_iterator begin() const { return map_.begin(); }
  const_iterator end() const { return map_.end(); }
  std::size_t size() const { return map_.size(); }
  bool empty() const { return map_.empty(); }

  iterator find(const std::string& worker) {
    const auto place = places_.find(worker);
    return place == places_.end() ? map_.end() : place->second;
  }
  const_iterator find(const std::string& worker) const {
    const auto place = places_.find(worker);
    return place == places_.end() ? map_.end() : const_iterator(place->second);
  }
  bool contains(const std::string& worker) const {
    return places_.contains(worker);
  }
  const Value& at(const std::string& worker) const {
    return places_.at(worker)->second;
  }
  const_iterator lower_bound(const std::string& worker) const {
    return map_.lower_bound(worker);
  }

  Value& operator[](const std::string& worker) {
    return try_emplace(worker).first->second;
  }
  template <typename... Args>
  std::pair<iterator, bool> try_emplace(const std::string& worker,
                                        Args&&... args) {
    const auto place = places_.find(worker);
    if (place != places_.end()) {
      return {place->second, false};
    }
    const iterator added =
        map_.try_emplace(worker, std::forward<Args>(args)...).first;
    places_.emplace(added->first, added);
    return {added, true};
  }
  std::size_t erase(const std::string& worker) {
    const auto place = places_.find(worker);
    if (place == places_.end()) {
      return 0;
    }
    const iterator erased = place->second;
    places_.erase(place);
    map_.erase(erased);
    return 1;
  }

 private:
  Map map_;
  std::unordered_map<std::string_view, iterator> places_;
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKER_MAP_H_
