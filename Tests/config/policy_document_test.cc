#include "config/policy_document.h"

#include <algorithm>
#include <functional>
#include <set>

#include <doctest/doctest.h>

#include "config/policy_fields.h"
#include "test_json.h"

namespace burdockrock {
namespace {

PolicyDocument MakeDocument(const char* base, const char* overlay) {
  return {.revision = 7,
          .author = "mei",
          .base = Json(base),
          .overlays = {{"taipei", Json(overlay)}}};
}

TEST_CASE("A site's policy is the base with its overlay's differences") {
  const auto policy = ResolvePolicy(
      MakeDocument("{'lease':{'renew_ms':4000,'drift_ms':250},"
                   "'teams':{'default':{}}}",
                   "{'lease':{'renew_ms':3000},'domains':['neihu-a'],"
                   "'teams':{'packets':{'quota':{'memory_mb':9}}},"
                   "'services':{'grantdesk':{'policy':'pack'}}}"),
      "taipei");
  Policy expected;
  expected.lease.renew = std::chrono::milliseconds(3000);
  expected.lease.drift = std::chrono::milliseconds(250);
  expected.domains = {"neihu-a"};
  expected.teams["packets"].quota.memory_mb = 9;
  expected.services["grantdesk"].placement = ServicePlacement::kPack;
  REQUIRE(std::holds_alternative<Policy>(policy));
  CHECK((std::get<Policy>(policy) == expected));
}

TEST_CASE("All faults of base and overlay are told at once, each once") {
  const SettingErrors errors = CheckPolicyDocument(
      MakeDocument("{'lease':{'renew_ms':-5,'drift':1},'leases':{},"
                   "'retries':{'max_attempts':99999999999999999999},"
                   "'forwarding':{'gate':1},'gang':{'hold_ms':10.5}}",
                   "{'health':{'failure_ratio':1.5},'domains':[],"
                   "'services':{'grant desk':{'policy':'random'}}}"));
  CHECK(Lines(errors) == ReadLines("data/document-faults.txt"));
}

TEST_CASE("An overlay may state only differences, and needs the domains") {
  const SettingErrors errors = CheckPolicyDocument(
      MakeDocument("{'gang':{'hold_ms':2000}}",
                   "{'gang':{'hold_ms':2000,'backoff_ms':600}}"));
  CHECK(Lines(errors) ==
        TextLines{"overlay taipei: $.gang.hold_ms: states no difference from "
                  "the base; allowed: only members that differ; leave this one "
                  "out",
                  "overlay taipei: $.domains: is missing; allowed: the site's "
                  "failure domains"});
}

TEST_CASE("Settings that contradict each other are refused") {
  // Symptom: running work is stopped by its worker. Sequence: renewals come
  // every 8 s, one is lost, and the lease of 15 s lapses before the next.
  // Cause: each setting is in range, but not together.
  const SettingErrors errors = CheckPolicyDocument(
      MakeDocument("{}",
                   "{'lease':{'renew_ms':7500},'domains':['a','b','a'],"
                   "'retries':{'backoff_min_ms':6000},'default_team':'none'}"));
  CHECK(Lines(errors) ==
        TextLines{
            "overlay taipei: $.lease.renew_ms: 7500 does not go with "
            "$.lease.task_lease_ms 15000; allowed: less than "
            "$.lease.task_lease_ms / 2",
            "overlay taipei: $.retries.backoff_min_ms: 6000 does not go with "
            "$.retries.backoff_max_ms 5000; allowed: at most "
            "$.retries.backoff_max_ms",
            "overlay taipei: $.default_team: \"none\" is no team; allowed: a "
            "member of $.teams",
            "overlay taipei: $.domains: names a failure domain twice; allowed: "
            "each failure domain once"});
}

TEST_CASE("A document is the same after a round trip") {
  const PolicyDocument document = MakeDocument(
      "{'retries':{'budget_ratio':0.1}}", "{'domains':['neihu-a']}");
  const auto read = ParsePolicyDocument(SerializePolicyDocument(document), 7);
  REQUIRE(std::holds_alternative<PolicyDocument>(read));
  CHECK((std::get<PolicyDocument>(read) == document));
}

TEST_CASE("A value that is no policy document is refused") {
  const auto problems = [](const char* text) {
    const auto read = ParsePolicyDocument(text, 1);
    REQUIRE(std::holds_alternative<SettingErrors>(read));
    return std::get<SettingErrors>(read).size();
  };
  CHECK(problems("") == 1);
  CHECK(problems("[]") == 1);
  CHECK(problems("{\"author\":\"a\",\"author\":\"b\"}") == 1);
  CHECK(problems("{\"base\":[],\"more\":1}") == 4);
  CHECK(problems(std::string(100'000, '[').c_str()) == 1);
}

TEST_CASE("A document past the platform's bound for a value is refused") {
  PolicyDocument document = MakeDocument("{}", "{'domains':['neihu-a']}");
  const std::string long_name(100, 'x');
  for (int it = 0; it < 1000; ++it) {
    const std::string name = long_name + std::to_string(it);
    document.base["teams"][name]["quota"]["processors_milli"] = 1;
  }
  document.base["default_team"] = long_name + "0";
  CHECK(CheckPolicyDocument(document).empty());
  for (int it = 0; it < 10; ++it) {
    document.overlays["site" + std::to_string(it)] = document.base;
  }
  const SettingErrors errors = CheckPolicyDocument(document);
  const auto is_size = [](const SettingError& error) {
    return error.allowed == "at most 1000000 bytes";
  };
  CHECK(std::count_if(errors.begin(), errors.end(), is_size) == 1);
}

// Values in range, one for each setting without members of its own.
void CollectSingleSettings(const Schema& schema,
                           const std::function<void(Json::Value)>& add) {
  const double middle = schema.minimum + (schema.maximum - schema.minimum) / 3;
  switch (schema.type) {
    case SettingType::kObject:
      for (const SchemaMember& member : schema.members) {
        CollectSingleSettings(member.schema, [&](const Json::Value& value) {
          Json::Value object;
          object[member.name] = value;
          add(object);
        });
      }
      return;
    case SettingType::kMap:
      return CollectSingleSettings(schema.element.front(),
                                   [&](const Json::Value& value) {
                                     Json::Value map;
                                     map["name"] = value;
                                     add(map);
                                   });
    case SettingType::kList:
      return add(Json("['name']"));
    case SettingType::kInteger:
      return add(static_cast<Json::Int64>(middle));
    case SettingType::kNumber:
      return add(middle);
    case SettingType::kBoolean:
      return add(false);
    case SettingType::kChoice:
      return add(schema.choices.back());
    default:
      return add("name");
  }
}

TEST_CASE("Each setting of the policy has a member of its own") {
  std::set<Policy> policies = {Policy{}};
  std::size_t count = 1;
  CollectSingleSettings(PolicySchema(), [&](const Json::Value& json) {
    CAPTURE(json.toStyledString());
    CHECK(CheckAgainstSchema(PolicySchema(), json, "").empty());
    CHECK(policies.insert(ReadPolicy(json)).second);
    ++count;
  });
  CHECK(count > 40);
}

}  // namespace
}  // namespace burdockrock
