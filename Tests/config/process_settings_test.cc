#include "config/process_settings.h"

#include <doctest/doctest.h>

#include "test_json.h"

namespace burdockrock {
namespace {

constexpr char kLeast[] =
    "{'kind':'process','instance':'e1','domain':'neihu-a','site':'taipei',"
    "'listen':{'callers':'127.0.0.1:7100','peers':'[::1]:7200'},"
    "'platform':'127.0.0.1:7001',"
    "'peers':[{'id':'e2','domain':'neihu-a','address':'127.0.0.1:7201'}]}";

SettingErrors ErrorsOf(const Json::Value& json) {
  const auto read = ReadProcessSettings(json, "e1.json");
  const auto* errors = std::get_if<SettingErrors>(&read);
  return errors != nullptr ? *errors : SettingErrors{};
}

TEST_CASE("Settings left out have their defaults") {
  const auto read = ReadProcessSettings(Json(kLeast), "e1.json");
  REQUIRE(std::holds_alternative<ProcessSettings>(read));
  const ProcessSettings expected{
      .instance = "e1",
      .domain = "neihu-a",
      .site = "taipei",
      .rack = "",
      .listen = {.callers = "127.0.0.1:7100", .peers = "[::1]:7200"},
      .platform = "127.0.0.1:7001",
      .peers = {{.id = "e2",
                 .domain = "neihu-a",
                 .address = "127.0.0.1:7201",
                 .callers = ""}},
      .log = {},
      .limits = {}};
  CHECK((std::get<ProcessSettings>(read) == expected));
}

TEST_CASE("What is missing and what is no address is named with its path") {
  Json::Value json = Json(kLeast);
  json.removeMember("platform");
  json["listen"]["callers"] = "localhost:7100";
  json["listen"]["peers"] = "127.0.0.1:65536";
  json["peers"][0].removeMember("id");
  json["peers"][0]["address"] = "127.0.0.1:0";
  json["log"]["level"] = "trace";
  json["limits"]["max_conections"] = 5;
  CHECK(Lines(ErrorsOf(json)) == ReadLines("data/process-faults.txt"));
}

TEST_CASE("Ids and addresses stand once") {
  Json::Value json = Json(kLeast);
  json["peers"][1] = json["peers"][0];
  json["peers"][2] = json["peers"][0];
  json["peers"][2]["id"] = "e1";
  json["peers"][2]["address"] = "127.0.0.1:7100";
  CHECK(Lines(ErrorsOf(json)) ==
        TextLines{
            "e1.json: $.peers[1].id: \"e2\" stands twice; allowed: an id that "
            "neither this instance nor another peer has",
            "e1.json: $.peers[1].address: 127.0.0.1:7201 stands twice; "
            "allowed: an address of its own",
            "e1.json: $.peers[2].id: \"e1\" stands twice; allowed: an id that "
            "neither this instance nor another peer has",
            "e1.json: $.peers[2].address: 127.0.0.1:7100 stands twice; "
            "allowed: an address of its own"});
}

}  // namespace
}  // namespace burdockrock
