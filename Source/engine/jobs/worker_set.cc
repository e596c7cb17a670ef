#include "engine/jobs/worker_set.h"

#include <algorithm>
#include <bit>

namespace burdockrock::engine {

namespace {

constexpr std::uint32_t kBits = 64;

std::size_t WordOf(std::uint32_t number) {
  return number / kBits;
}

std::uint64_t BitOf(std::uint32_t number) {
  return std::uint64_t{1} << (number % kBits);
}

}  // namespace

std::uint32_t WorkerNumbers::NumberOf(const std::string& worker) {
  const auto [it, is_new] =
      numbers_.try_emplace(worker, static_cast<std::uint32_t>(names_.size()));
  if (is_new) {
    names_.push_back(worker);
  }
  return it->second;
}

std::optional<std::uint32_t> WorkerNumbers::Find(
    const std::string& worker) const {
  const auto it = numbers_.find(worker);
  return it == numbers_.end() ? std::nullopt : std::optional(it->second);
}

const std::string& WorkerNumbers::NameOf(std::uint32_t number) const {
  return names_.at(number);
}

void WorkerSet::Insert(std::uint32_t number) {
  const std::size_t word = WordOf(number);
  words_.resize(std::max(words_.size(), word + 1));
  size_ += (words_[word] & BitOf(number)) == 0 ? 1 : 0;
  words_[word] |= BitOf(number);
}

void WorkerSet::Erase(std::uint32_t number) {
  const std::size_t word = WordOf(number);
  if (word < words_.size() && (words_[word] & BitOf(number)) != 0) {
    words_[word] &= ~BitOf(number);
    --size_;
  }
}

void WorkerSet::InsertAll(const WorkerSet& others) {
  words_.resize(std::max(words_.size(), others.words_.size()));
  size_ = 0;
  for (std::size_t it = 0; it < words_.size(); ++it) {
    words_[it] |= it < others.words_.size() ? others.words_[it] : 0;
    size_ += static_cast<std::size_t>(std::popcount(words_[it]));
  }
}

void WorkerSet::EraseIf(const std::function<bool(std::uint32_t)>& predicate) {
  for (const std::uint32_t it : Numbers()) {
    if (predicate(it)) {
      Erase(it);
    }
  }
}

std::vector<std::uint32_t> WorkerSet::Numbers() const {
  std::vector<std::uint32_t> numbers;
  numbers.reserve(size_);
  for (std::size_t word = 0; word < words_.size(); ++word) {
    for (std::uint64_t bits = words_[word]; bits != 0; bits &= bits - 1) {
      const auto bit = static_cast<std::uint32_t>(std::countr_zero(bits));
      numbers.push_back(static_cast<std::uint32_t>(word) * kBits + bit);
    }
  }
  return numbers;
}

}  // namespace burdockrock::engine
