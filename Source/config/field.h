// One line for each setting: its key, its type and range, and the member of a
// value type that it fills. Schema and reading both come from these lines, so
// that neither can know a setting that the other doesn't.
#ifndef BURDOCKROCK_CONFIG_FIELD_H_
#define BURDOCKROCK_CONFIG_FIELD_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <json/value.h>

#include "config/schema.h"
#include "model/time.h"

namespace burdockrock {

template <typename T>
struct Field {
  SchemaMember member;
  std::function<void(const Json::Value&, T&)> assign;
};

template <typename T>
using Fields = std::vector<Field<T>>;

template <typename T>
Schema ObjectSchema(const Fields<T>& fields) {
  Schema schema{SettingType::kObject, 0, 0, {}, {}, {}};
  for (const Field<T>& field : fields) {
    schema.members.push_back(field.member);
  }
  return schema;
}

// Fills `target` from the members of `object` that are there; the others keep
// their defaults. `object` must have passed the check against the schema.
template <typename T>
void AssignFields(const Fields<T>& fields,
                  const Json::Value& object,
                  T& target) {
  for (const Field<T>& field : fields) {
    if (object.isMember(field.member.name)) {
      field.assign(object[field.member.name], target);
    }
  }
}

template <typename T>
Field<T> Required(Field<T> field) {
  field.member.required = true;
  return field;
}

// The key ends in _ms.
template <typename T>
Field<T> MillisecondsField(std::string name,
                           Duration T::*member,
                           double minimum,
                           double maximum) {
  return {{std::move(name),
           false,
           {SettingType::kInteger, minimum, maximum, {}, {}, {}}},
          [member](const Json::Value& value, T& target) {
            target.*member = std::chrono::milliseconds(value.asInt64());
          }};
}

template <typename T, std::integral N>
Field<T> IntegerField(std::string name,
                      N T::*member,
                      double minimum,
                      double maximum) {
  return {{std::move(name),
           false,
           {SettingType::kInteger, minimum, maximum, {}, {}, {}}},
          [member](const Json::Value& value, T& target) {
            target.*member = static_cast<N>(value.asInt64());
          }};
}

template <typename T>
Field<T> NumberField(std::string name,
                     double T::*member,
                     double minimum,
                     double maximum) {
  return {{std::move(name),
           false,
           {SettingType::kNumber, minimum, maximum, {}, {}, {}}},
          [member](const Json::Value& value, T& target) {
            target.*member = value.asDouble();
          }};
}

template <typename T>
Field<T> BooleanField(std::string name, bool T::*member) {
  return {{std::move(name), false, {SettingType::kBoolean, 0, 0, {}, {}, {}}},
          [member](const Json::Value& value, T& target) {
            target.*member = value.asBool();
          }};
}

// `type` is kName or kAddress.
template <typename T>
Field<T> TextField(std::string name, SettingType type, std::string T::*member) {
  return {{std::move(name), false, {type, 0, 0, {}, {}, {}}},
          [member](const Json::Value& value, T& target) {
            target.*member = value.asString();
          }};
}

// The word at position N stands for the enumerator of value N.
template <typename T, typename E>
Field<T> ChoiceField(std::string name,
                     E T::*member,
                     const std::vector<std::string>& words) {
  return {{std::move(name), false, {SettingType::kChoice, 0, 0, words, {}, {}}},
          [member, words](const Json::Value& value, T& target) {
            for (std::size_t it = 0; it < words.size(); ++it) {
              if (words[it] == value.asString()) {
                target.*member = static_cast<E>(it);
              }
            }
          }};
}

template <typename T, typename Section>
Field<T> SectionField(std::string name,
                      Section T::*member,
                      const Fields<Section>& fields) {
  return {{std::move(name), false, ObjectSchema(fields)},
          [member, fields](const Json::Value& value, T& target) {
            AssignFields(fields, value, target.*member);
          }};
}

// Replaces the default members whole.
template <typename T, typename Element>
Field<T> MapField(std::string name,
                  std::map<std::string, Element> T::*member,
                  const Fields<Element>& fields,
                  double maximum) {
  return {{std::move(name),
           false,
           {SettingType::kMap, 0, maximum, {}, {}, {ObjectSchema(fields)}}},
          [member, fields](const Json::Value& value, T& target) {
            (target.*member).clear();
            for (const std::string& key : value.getMemberNames()) {
              AssignFields(fields, value[key], (target.*member)[key]);
            }
          }};
}

template <typename T, typename Element>
Field<T> ListField(std::string name,
                   std::vector<Element> T::*member,
                   const Fields<Element>& fields,
                   double maximum) {
  return {{std::move(name),
           false,
           {SettingType::kList, 0, maximum, {}, {}, {ObjectSchema(fields)}}},
          [member, fields](const Json::Value& value, T& target) {
            for (const Json::Value& element : value) {
              AssignFields(fields, element, (target.*member).emplace_back());
            }
          }};
}

// A list of names.
template <typename T>
Field<T> NamesField(std::string name,
                    std::vector<std::string> T::*member,
                    double minimum,
                    double maximum) {
  const Schema element{SettingType::kName, 0, 0, {}, {}, {}};
  return {{std::move(name),
           false,
           {SettingType::kList, minimum, maximum, {}, {}, {element}}},
          [member](const Json::Value& value, T& target) {
            for (const Json::Value& text : value) {
              (target.*member).push_back(text.asString());
            }
          }};
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_CONFIG_FIELD_H_
