#include <doctest/doctest.h>

#include "net/json.h"

namespace burdockrock {

namespace {

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

TEST_CASE("JSON is written on one line and read back alike") {
  const std::string text =
      R"({"a":[1,-2,2.5,true,null],"b":{"c":"\"\\\n"},"d":"é"})";
  const auto parsed = ParseJson(text);
  REQUIRE(std::holds_alternative<Json::Value>(parsed));
  CHECK(WriteJson(std::get<Json::Value>(parsed)) == text);
}

TEST_CASE("JSON that is not strict is refused with its place") {
  for (const char* text :
       {"", "{", "{\"a\":1} x", "{\"a\":1}{}", "{\"a\":1,\"a\":2}",
        "{\"a\":1,}", "[1,]", "/* */ {}", "{} // c", "{'a':1}", "1", "\"a\"",
        "[NaN]", "{a:1}"}) {
    CAPTURE(text);
    CHECK(std::holds_alternative<JsonError>(ParseJson(text)));
  }
  const auto error = std::get<JsonError>(ParseJson("{\"a\": 1,\n \"b\" 2}"));
  CHECK(error.line == 2);
  CHECK(error.column == 6);
  CHECK(error.message.find("':'") != std::string::npos);
}

// Symptom: a body of many '[' ended the process. jsoncpp throws at its limit
// of nesting, through the handlers of Asio up to main.
TEST_CASE("Nesting above 64 is an error, and the next text is read") {
  CHECK(std::holds_alternative<Json::Value>(ParseJson(Nested(64))));
  CHECK(std::holds_alternative<JsonError>(ParseJson(Nested(65))));
  CHECK(std::holds_alternative<JsonError>(ParseJson(Nested(100'000))));
  CHECK(std::holds_alternative<Json::Value>(ParseJson("{\"a\":1}")));
}

}  // namespace

}  // namespace burdockrock
