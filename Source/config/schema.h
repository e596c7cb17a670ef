// What may stand in a settings file: a tree of types and ranges, and the check
// of a JSON value against it.
#ifndef BURDOCKROCK_CONFIG_SCHEMA_H_
#define BURDOCKROCK_CONFIG_SCHEMA_H_

#include <string>
#include <vector>

#include <json/value.h>

#include "config/setting_error.h"

namespace burdockrock {

enum class SettingType {
  kObject,     // the named members and no others
  kAnyObject,  // whatever members; checked elsewhere
  kMap,        // members of any name, each of the element's type
  kList,       // elements of one type
  kInteger,    // a whole number
  kNumber,
  kBoolean,
  kName,     // letters, digits, dot, hyphen and underscore
  kAddress,  // IP:PORT
  kChoice,   // one of some words
};

struct SchemaMember;

// `minimum` and `maximum` bound a number's value or a list's or map's length.
struct Schema {
  SettingType type;
  double minimum;
  double maximum;
  std::vector<std::string> choices;   // of kChoice
  std::vector<SchemaMember> members;  // of kObject
  std::vector<Schema> element;        // one, of kMap and kList
};

struct SchemaMember {
  std::string name;
  bool required;
  Schema schema;
};

// What may stand at a place of this type: "an integer from 1 to 60000".
std::string DescribeAllowed(const Schema& schema);

// Every fault of `value`, each with its path below `path`. `file` goes into
// the errors.
SettingErrors CheckAgainstSchema(const Schema& schema,
                                 const Json::Value& value,
                                 const std::string& file,
                                 const std::string& path = "$");

}  // namespace burdockrock

#endif  // BURDOCKROCK_CONFIG_SCHEMA_H_
