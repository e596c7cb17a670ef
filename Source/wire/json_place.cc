#include "wire/json_place.h"

#include <utility>

#include <fmt/format.h>

#include "net/json.h"

namespace burdockrock {

namespace {

constexpr std::size_t kMaxShownBytes = 40;

}  // namespace

JsonPlace::JsonPlace(const Json::Value& value, DecodeErrors& errors)
    : value_(value), errors_(errors) {}

JsonPlace::JsonPlace(const Json::Value& value,
                     const JsonPlace& parent,
                     const char* key)
    : value_(value), errors_(parent.errors_), parent_(&parent), key_(key) {}

JsonPlace::JsonPlace(const Json::Value& value,
                     const JsonPlace& parent,
                     Json::ArrayIndex index)
    : value_(value), errors_(parent.errors_), parent_(&parent), index_(index) {}

std::string JsonPlace::Path() const {
  if (parent_ == nullptr) {
    return "$";
  }
  if (key_ == nullptr) {
    return fmt::format("{}[{}]", parent_->Path(), index_);
  }
  return fmt::format("{}.{}", parent_->Path(), key_);
}

void JsonPlace::Fail(std::string problem, std::string allowed) const {
  errors_.push_back({.path = Path(),
                     .problem = std::move(problem),
                     .allowed = std::move(allowed)});
}

void JsonPlace::FailMember(const std::string& key,
                           std::string problem,
                           std::string allowed) const {
  errors_.push_back({.path = fmt::format("{}.{}", Path(), key),
                     .problem = std::move(problem),
                     .allowed = std::move(allowed)});
}

std::string JsonPlace::Shown() const {
  if (value_.isObject() || value_.isArray()) {
    return value_.isObject() ? "an object" : "an array";
  }
  std::string text = WriteJson(value_);
  if (text.size() > kMaxShownBytes) {
    text = fmt::format("a value of {} bytes", text.size());
  }
  return text;
}

}  // namespace burdockrock
