#include "standin/field_reader.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace burdockrock::standin {

FieldReader::FieldReader(const Json::Value& object, std::string_view path)
    : object_(object.isObject() ? object : Json::Value::nullSingleton()),
      path_(path) {
  if (!object.isObject()) {
    AddFault("", "is not an object");
  }
}

std::string FieldReader::Text(const char* name,
                              std::optional<std::string> by_default) {
  const Json::Value* value = Require(name, by_default.has_value());
  if (value == nullptr) {
    return std::move(by_default).value_or("");
  }
  if (!value->isString()) {
    AddFault(name, "is not a string");
    return "";
  }
  return value->asString();
}

std::uint64_t FieldReader::Count(const char* name,
                                 std::optional<std::uint64_t> by_default,
                                 std::uint64_t max) {
  const Json::Value* value = Require(name, by_default.has_value());
  if (value == nullptr) {
    return by_default.value_or(0);
  }
  if (!value->isUInt64() || value->asUInt64() > max) {
    AddFault(name, fmt::format("is not a whole number from 0 to {}", max));
    return 0;
  }
  return value->asUInt64();
}

std::uint32_t FieldReader::SmallCount(const char* name,
                                      std::uint32_t by_default) {
  return static_cast<std::uint32_t>(
      Count(name, by_default, std::numeric_limits<std::uint32_t>::max()));
}

bool FieldReader::Flag(const char* name, bool by_default) {
  const Json::Value* value = Find(name);
  if (value == nullptr) {
    return by_default;
  }
  if (!value->isBool()) {
    AddFault(name, "is not true or false");
    return by_default;
  }
  return value->asBool();
}

Duration FieldReader::Milliseconds(const char* name,
                                   std::optional<Duration> by_default) {
  if (by_default && !Has(name)) {
    Find(name);
    return *by_default;
  }
  return std::chrono::milliseconds(Count(name, std::nullopt, kMaxMilliseconds));
}

Resources FieldReader::ResourcesOf(const char* name,
                                   std::optional<Resources> by_default) {
  const Json::Value* value = Require(name, by_default.has_value());
  if (value == nullptr) {
    return by_default.value_or(Resources{});
  }
  FieldReader reader(*value, name);
  const auto amount = [&](const char* dimension) {
    return static_cast<std::int64_t>(reader.Count(dimension, 0, kMaxAmount));
  };
  const Resources resources{.processors_milli = amount("processors_milli"),
                            .memory_mb = amount("memory_mb"),
                            .accelerators = amount("accelerators"),
                            .slots = amount("slots")};
  const std::string faults = reader.Faults();
  if (!faults.empty()) {
    AddFault(name, faults);
  }
  return resources;
}

AttemptId FieldReader::Attempt(const char* name) {
  auto attempt = ParseAttemptId(Text(name));
  if (!attempt) {
    AddFault(name, "is not JOB/TASK/NUMBER");
  }
  return std::move(attempt).value_or(AttemptId{});
}

std::vector<AttemptId> FieldReader::Attempts(const char* name) {
  std::vector<AttemptId> attempts;
  for (const std::string& it : Texts(name)) {
    auto attempt = ParseAttemptId(it);
    if (attempt) {
      attempts.push_back(std::move(*attempt));
    } else {
      AddFault(name, it + " is not JOB/TASK/NUMBER");
    }
  }
  return attempts;
}

std::vector<std::string> FieldReader::Texts(const char* name) {
  std::vector<std::string> texts;
  const Json::Value& value = Child(name);
  if (!value.isNull() && !value.isArray()) {
    AddFault(name, "is not an array");
    return texts;
  }
  for (const Json::Value& it : value) {
    if (it.isString()) {
      texts.push_back(it.asString());
    } else {
      AddFault(name, "holds something that is not a string");
    }
  }
  return texts;
}

bool FieldReader::Has(const char* name) const {
  return object_.isMember(name);
}

const Json::Value& FieldReader::Child(const char* name) {
  const Json::Value* value = Find(name);
  return value == nullptr ? Json::Value::nullSingleton() : *value;
}

void FieldReader::AddFault(std::string_view name, std::string_view problem) {
  faults_ += fmt::format("{}{}{}{} {}", faults_.empty() ? "" : "; ", path_,
                         name.empty() ? "" : ".", name, problem);
}

std::string FieldReader::Faults() {
  for (auto it = object_.begin(); it != object_.end(); ++it) {
    const std::string name = it.name();
    if (std::find(known_.begin(), known_.end(), name) == known_.end()) {
      AddFault(name, "is not known");
    }
  }
  return faults_;
}

const Json::Value* FieldReader::Find(const char* name) {
  known_.emplace_back(name);
  if (object_.isNull()) {
    return nullptr;
  }
  return object_.find(name, name + std::string_view(name).size());
}

const Json::Value* FieldReader::Require(const char* name, bool has_default) {
  const Json::Value* value = Find(name);
  if (value == nullptr && !has_default) {
    AddFault(name, "is missing");
  }
  return value;
}

}  // namespace burdockrock::standin
