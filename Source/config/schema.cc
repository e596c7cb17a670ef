#include "config/schema.h"

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <numeric>
#include <string_view>
#include <utility>
#include <variant>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "config/json_text.h"
#include "model/work.h"
#include "net/address.h"

namespace burdockrock {
namespace {

constexpr std::size_t kMaxShownBytes = 60;
// A misspelling: at most this many letters put in, left out or changed.
constexpr std::size_t kNearDistance = 3;

std::string Show(const Json::Value& value) {
  std::string text = ShowJson(value);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

// No process listens on port 0.
bool IsAddress(const Json::Value& value) {
  if (!value.isString()) {
    return false;
  }
  const auto parsed = ParseAddress(value.asString());
  const auto* endpoint = std::get_if<TcpEndpoint>(&parsed);
  return endpoint != nullptr && endpoint->port() != 0;
}

bool IsName(const Json::Value& value) {
  if (!value.isString()) {
    return false;
  }
  const std::string text = value.asString();
  const auto fits = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '-' || c == '_';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), fits);
}

std::string MemberPath(const std::string& path, const std::string& name) {
  return fmt::format("{}.{}", path, name);
}

std::string DescribeName() {
  return fmt::format("1 to {} letters, digits, '.', '-', '_'", kMaxNameBytes);
}

std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t change = diagonal + (left[i - 1] != right[j - 1]);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, change});
    }
  }
  return row.back();
}

std::string DescribeMembers(const Schema& schema) {
  std::vector<std::string> names;
  for (const SchemaMember& member : schema.members) {
    names.push_back(member.name);
  }
  return fmt::format("{}", fmt::join(names, ", "));
}

std::string DescribeUnknownKey(const Schema& schema, const std::string& name) {
  const SchemaMember* nearest = nullptr;
  std::size_t least = std::min(kNearDistance + 1, name.size());
  for (const SchemaMember& member : schema.members) {
    const std::size_t distance = EditDistance(name, member.name);
    if (distance < least) {
      least = distance;
      nearest = &member;
    }
  }
  if (nearest == nullptr) {
    return "unknown key";
  }
  return fmt::format("unknown key, did you mean '{}'?", nearest->name);
}

// One walk over a value, which collects all that it finds.
class Checker {
 public:
  explicit Checker(std::string file) : file_(std::move(file)) {}

  void Check(const Schema& schema,
             const Json::Value& value,
             const std::string& path) {
    switch (schema.type) {
      case SettingType::kObject:
        return CheckObject(schema, value, path);
      case SettingType::kAnyObject:
        return Expect(value.isObject(), schema, value, path);
      case SettingType::kMap:
        return CheckMap(schema, value, path);
      case SettingType::kList:
        return CheckList(schema, value, path);
      case SettingType::kInteger:
        return CheckNumber(schema, value, value.isInt64(), path);
      case SettingType::kNumber:
        return CheckNumber(schema, value, value.isNumeric(), path);
      case SettingType::kBoolean:
        return Expect(value.isBool(), schema, value, path);
      case SettingType::kName:
        return Expect(IsName(value), schema, value, path);
      case SettingType::kAddress:
        return Expect(IsAddress(value), schema, value, path);
      case SettingType::kChoice:
        return CheckChoice(schema, value, path);
    }
  }

  SettingErrors TakeErrors() { return std::move(errors_); }

 private:
  void Add(const std::string& path, std::string problem, std::string allowed) {
    errors_.push_back({file_, path, std::move(problem), std::move(allowed)});
  }

  void Expect(bool holds,
              const Schema& schema,
              const Json::Value& value,
              const std::string& path) {
    if (!holds) {
      Add(path, Show(value) + " is not allowed", DescribeAllowed(schema));
    }
  }

  void CheckObject(const Schema& schema,
                   const Json::Value& value,
                   const std::string& path) {
    if (!value.isObject()) {
      return Expect(false, schema, value, path);
    }
    for (const SchemaMember& member : schema.members) {
      if (value.isMember(member.name)) {
        Check(member.schema, value[member.name], MemberPath(path, member.name));
      } else if (member.required) {
        Add(MemberPath(path, member.name), "is missing",
            DescribeAllowed(member.schema));
      }
    }
    for (const std::string& name : value.getMemberNames()) {
      const auto is_named = [&](const SchemaMember& member) {
        return member.name == name;
      };
      if (std::none_of(schema.members.begin(), schema.members.end(),
                       is_named)) {
        Add(MemberPath(path, name), DescribeUnknownKey(schema, name),
            DescribeMembers(schema));
      }
    }
  }

  void CheckMap(const Schema& schema,
                const Json::Value& value,
                const std::string& path) {
    if (!value.isObject() || !HasAllowedLength(schema, value)) {
      return Expect(false, schema, value, path);
    }
    for (const std::string& name : value.getMemberNames()) {
      const std::string member_path = MemberPath(path, name);
      if (!IsName(name)) {
        Add(member_path, "is not a name", DescribeName());
      }
      Check(schema.element.front(), value[name], member_path);
    }
  }

  void CheckList(const Schema& schema,
                 const Json::Value& value,
                 const std::string& path) {
    if (!value.isArray() || !HasAllowedLength(schema, value)) {
      return Expect(false, schema, value, path);
    }
    for (Json::ArrayIndex it = 0; it < value.size(); ++it) {
      Check(schema.element.front(), value[it], fmt::format("{}[{}]", path, it));
    }
  }

  static bool HasAllowedLength(const Schema& schema, const Json::Value& value) {
    return value.size() >= schema.minimum && value.size() <= schema.maximum;
  }

  void CheckNumber(const Schema& schema,
                   const Json::Value& value,
                   bool has_type,
                   const std::string& path) {
    if (!value.isNumeric()) {
      return Expect(false, schema, value, path);
    }
    const double number = value.asDouble();
    const std::string allowed = DescribeAllowed(schema);
    if (number < 0 && schema.minimum >= 0) {
      Add(path, Show(value) + " is negative", allowed);
    } else if (number < schema.minimum) {
      Add(path, Show(value) + " is too small", allowed);
    } else if (number > schema.maximum) {
      Add(path, Show(value) + " is too large", allowed);
    } else if (!has_type) {
      Add(path, Show(value) + " is not a whole number", allowed);
    }
  }

  void CheckChoice(const Schema& schema,
                   const Json::Value& value,
                   const std::string& path) {
    const bool known = value.isString() &&
                       std::find(schema.choices.begin(), schema.choices.end(),
                                 value.asString()) != schema.choices.end();
    Expect(known, schema, value, path);
  }

  std::string file_;
  SettingErrors errors_;
};

}  // namespace

std::string DescribeAllowed(const Schema& schema) {
  switch (schema.type) {
    case SettingType::kObject:
      return "an object of " + DescribeMembers(schema);
    case SettingType::kAnyObject:
      return "an object";
    case SettingType::kMap:
      return fmt::format("an object of {} to {} members", schema.minimum,
                         schema.maximum);
    case SettingType::kList:
      return fmt::format("a list of {} to {} elements", schema.minimum,
                         schema.maximum);
    case SettingType::kInteger:
      return fmt::format("an integer from {:.0f} to {:.0f}", schema.minimum,
                         schema.maximum);
    case SettingType::kNumber:
      return fmt::format("a number from {} to {}", schema.minimum,
                         schema.maximum);
    case SettingType::kBoolean:
      return "true or false";
    case SettingType::kName:
      return DescribeName();
    case SettingType::kAddress:
      return "IP:PORT, such as 127.0.0.1:7100 or [::1]:7100";
    case SettingType::kChoice:
      return fmt::format("\"{}\"", fmt::join(schema.choices, "\" or \""));
  }
  return "";
}

SettingErrors CheckAgainstSchema(const Schema& schema,
                                 const Json::Value& value,
                                 const std::string& file,
                                 const std::string& path) {
  Checker checker(file);
  checker.Check(schema, value, path);
  return checker.TakeErrors();
}

}  // namespace burdockrock
