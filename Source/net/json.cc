#include "net/json.h"

#include <algorithm>
#include <charconv>
#include <exception>
#include <memory>
#include <ostream>
#include <streambuf>

#include <json/reader.h>
#include <json/writer.h>

#include "net/json_text.h"

namespace burdockrock {

namespace {

constexpr int kMaxDepth = 64;

std::unique_ptr<Json::CharReader> MakeReader() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["collectComments"] = false;
  builder["stackLimit"] = kMaxDepth;
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

std::unique_ptr<Json::StreamWriter> MakeWriter() {
  Json::StreamWriterBuilder builder;
  builder["commentStyle"] = "None";
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
}

// Appends to a string; std::ostringstream would copy its text once more.
class StringAppender : public std::streambuf {
 public:
  void set_target(std::string* target) { target_ = target; }

 protected:
  int_type overflow(int_type next) override {
    target_->push_back(traits_type::to_char_type(next));
    return next;
  }
  std::streamsize xsputn(const char* text, std::streamsize size) override {
    target_->append(text, static_cast<std::size_t>(size));
    return size;
  }

 private:
  std::string* target_ = nullptr;
};

// Reads the number after `label` and moves `text` behind it.
int TakeNumber(std::string_view& text, std::string_view label) {
  const std::size_t start = text.find(label);
  if (start == std::string_view::npos) {
    return 0;
  }
  text.remove_prefix(start + label.size());
  int number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc()) {
    return 0;
  }
  text.remove_prefix(static_cast<std::size_t>(stop - text.data()));
  return number;
}

// jsoncpp gives its errors as text only, several lines for each:
// "* Line 1, Column 2\n  PROBLEM\nSee Line ...". The first one is kept.
JsonError ToError(std::string_view report) {
  JsonError error;
  error.line = TakeNumber(report, "* Line ");
  error.column = TakeNumber(report, ", Column ");
  const std::size_t start = report.find_first_not_of(" \n");
  if (start != std::string_view::npos) {
    report.remove_prefix(start);
  }
  error.message = std::string(report.substr(0, report.find('\n')));
  return error;
}

JsonError ToError(std::string_view text, const JsonTextFault& fault) {
  const std::string_view before = text.substr(0, fault.offset);
  const std::size_t line_start = before.rfind('\n') + 1;  // npos + 1 is 0
  const auto lines = std::count(before.begin(), before.end(), '\n');
  return JsonError{.message = std::string(fault.problem),
                   .line = static_cast<int>(lines) + 1,
                   .column = static_cast<int>(fault.offset - line_start) + 1};
}

}  // namespace

std::variant<Json::Value, JsonError> ParseJson(std::string_view text) {
  thread_local const auto kReader = MakeReader();
  if (const auto fault = FindJsonTextFault(text)) {
    return ToError(text, *fault);
  }
  Json::Value value;
  std::string report;
  try {
    const char* begin = text.data();
    if (!kReader->parse(begin, begin + text.size(), &value, &report)) {
      return ToError(report);
    }
  } catch (const std::exception&) {
    // Its only exception while reading, and it carries no place.
    return JsonError{.message = "nested deeper than 64 levels"};
  }
  return value;
}

std::string WriteJson(const Json::Value& value) {
  thread_local const auto kWriter = MakeWriter();
  thread_local StringAppender appender;
  thread_local std::ostream stream(&appender);
  std::string text;
  appender.set_target(&text);
  kWriter->write(value, &stream);
  return text;
}

}  // namespace burdockrock
