#include <string>

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

// Symptom: "{\"count\":-}" was taken for a count of 0, and a body with a byte 0
// passed whatever came after it. jsoncpp is that lenient in strict mode too.
TEST_CASE("Broken numbers, control characters and UTF-8 are refused") {
  using std::string_literals::operator""s;
  for (const std::string& text : {"[-]"s,
                                  "[+1]"s,
                                  "[01]"s,
                                  "[1.]"s,
                                  "[.5]"s,
                                  "[1e]"s,
                                  "[1e5e]"s,
                                  "[1]\0x"s,
                                  "[\"\n\"]"s,
                                  "[\"\0\"]"s,
                                  "\xef\xbb\xbf[1]"s,
                                  "[\v1]"s,
                                  "[\"\xff\"]"s,
                                  "[\"\xc3\"]"s,
                                  "[\"\xc0\xaf\"]"s,
                                  "[\"\xed\xa0\x80\"]"s,
                                  "[\"\xe0\x80\x80\"]"s,
                                  "[\"\xf4\x90\x80\x80\"]"s,
                                  "[\"\xf0\x9f\x98\"]"s,
                                  "[\"\\"s,
                                  "[\""s}) {
    CAPTURE(text);
    CHECK(std::holds_alternative<JsonError>(ParseJson(text)));
  }
  CHECK(std::get<JsonError>(ParseJson("[1,\n  -]")) ==
        JsonError{.message = "not a JSON number", .line = 2, .column = 3});
  const std::string all =
      "[0,-0.5e+3,10,1E2,\"\\\"\\u00e9\x7f\xc3\xa9\xe2\x82\xac"
      "\xed\x9f\xbf\xf0\x9f\x98\x80\"]\r\n\t ";
  CHECK(std::holds_alternative<Json::Value>(ParseJson(all)));
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
