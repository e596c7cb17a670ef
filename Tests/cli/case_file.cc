#include "cli/case_file.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <variant>

#include <doctest/doctest.h>
#include <json/value.h>

#include "net/json.h"

namespace burdockrock {

namespace {

void RequireOnlyMembers(const Json::Value& object,
                        const std::set<std::string>& known) {
  for (const std::string& name : object.getMemberNames()) {
    INFO("member " << name);
    REQUIRE(known.contains(name));
  }
}

// A list of lines, or a text that does not end a line.
std::string ExpectedText(const Json::Value& lines) {
  if (lines.isString()) {
    return lines.asString();
  }
  std::string text;
  for (const Json::Value& line : lines) {
    text += line.asString() + "\n";
  }
  return text;
}

std::string AnswerBody(const Json::Value& json) {
  if (json.isMember("text")) {
    return json["text"].asString();
  }
  return json.isMember("answer") ? WriteJson(json["answer"]) : "{}";
}

ScriptStep ReadStep(const Json::Value& json) {
  RequireOnlyMembers(json, {"request", "body", "status", "answer", "text",
                            "retry_after_s", "lose"});
  const std::string request = json["request"].asString();
  const std::size_t space = request.find(' ');
  REQUIRE(space != std::string::npos);
  ScriptStep step = {
      .method = request.substr(0, space),
      .path = request.substr(space + 1),
      .body = json.isMember("body") ? WriteJson(json["body"]) : "",
      .answer = {.status = json.get("status", 200).asInt(),
                 .body = AnswerBody(json)},
      .lose_answer = json["lose"].asBool()};
  if (json.isMember("retry_after_s")) {
    step.answer.retry_after =
        std::chrono::seconds(json["retry_after_s"].asInt());
  }
  return step;
}

CommandLineCase ReadCase(const Json::Value& json) {
  RequireOnlyMembers(json, {"name", "arguments", "entries", "terminal", "exit",
                            "stdout", "stderr"});
  CommandLineCase result = {.name = json["name"].asString(),
                            .terminal = json["terminal"].asBool(),
                            .exit = json["exit"].asInt(),
                            .out = ExpectedText(json["stdout"]),
                            .err = ExpectedText(json["stderr"])};
  for (const Json::Value& word : json["arguments"]) {
    result.arguments.push_back(word.asString());
  }
  for (const Json::Value& entry : json["entries"]) {
    std::vector<ScriptStep> script;
    for (const Json::Value& step : entry) {
      script.push_back(ReadStep(step));
    }
    result.entries.push_back(std::move(script));
  }
  return result;
}

}  // namespace

std::vector<CommandLineCase> ReadCaseFile(const std::string& path) {
  INFO("case file " << path);
  const auto parsed = ParseJson(ReadFile(path));
  if (const auto* error = std::get_if<JsonError>(&parsed)) {
    FAIL("line " << error->line << ": " << error->message);
  }
  std::vector<CommandLineCase> cases;
  for (const Json::Value& json : std::get<Json::Value>(parsed)["cases"]) {
    INFO("case " << json["name"].asString());
    cases.push_back(ReadCase(json));
  }
  REQUIRE(!cases.empty());
  return cases;
}

std::vector<std::string> CaseFiles() {
  std::vector<std::string> files;
  const std::string directory = BURDOCKROCK_ROOT "/Tests/cli/cases";
  for (const auto& it : std::filesystem::directory_iterator(directory)) {
    files.push_back(it.path().string());
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  INFO("file " << path);
  REQUIRE(file.is_open());
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace burdockrock
