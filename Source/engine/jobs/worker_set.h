// Sets of workers as bit sets: every adopted job keeps a set that begins with
// all workers, so a set has to be small.
#ifndef BURDOCKROCK_ENGINE_JOBS_WORKER_SET_H_
#define BURDOCKROCK_ENGINE_JOBS_WORKER_SET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdockrock::engine {

// Assigns the worker numbers that the sets of one instance use.
class WorkerNumbers {
 public:
  // Assigns a number if the worker has none.
  std::uint32_t NumberOf(const std::string& worker);
  // The number; nullopt if none is assigned.
  std::optional<std::uint32_t> Find(const std::string& worker) const;
  const std::string& NameOf(std::uint32_t number) const;

 private:
  std::map<std::string, std::uint32_t> numbers_{};
  std::vector<std::string> names_{};
};

// A set of worker numbers.
class WorkerSet {
 public:
  void Insert(std::uint32_t number);
  void Erase(std::uint32_t number);
  void InsertAll(const WorkerSet& others);
  void EraseIf(const std::function<bool(std::uint32_t)>& predicate);
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  // Ascending.
  std::vector<std::uint32_t> Numbers() const;

 private:
  std::vector<std::uint64_t> words_{};
  std::size_t size_ = 0;
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_WORKER_SET_H_
