// A value within a JSON text, with its path for error messages.
#ifndef BURDOCKROCK_WIRE_JSON_PLACE_H_
#define BURDOCKROCK_WIRE_JSON_PLACE_H_

#include <string>

#include <json/value.h>

#include "wire/decode_error.h"

namespace burdockrock {

// Lives on the stack while the value is read; `parent` outlives it. The path
// is put together only when there is an error: worker and peer messages come
// by the thousand each second.
class JsonPlace {
 public:
  JsonPlace(const Json::Value& value, DecodeErrors& errors);
  JsonPlace(const Json::Value& value, const JsonPlace& parent, const char* key);
  JsonPlace(const Json::Value& value,
            const JsonPlace& parent,
            Json::ArrayIndex index);

  const Json::Value& value() const { return value_; }

  std::string Path() const;

  // Adds an error at this place.
  void Fail(std::string problem, std::string allowed) const;

  // Adds an error at the member `key` of this place.
  void FailMember(const std::string& key,
                  std::string problem,
                  std::string allowed) const;

  // The value as text for an error message, cut where it is long.
  std::string Shown() const;

 private:
  const Json::Value& value_;
  DecodeErrors& errors_;
  const JsonPlace* parent_ = nullptr;
  const char* key_ = nullptr;  // null for an array's element
  Json::ArrayIndex index_ = 0;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_JSON_PLACE_H_
