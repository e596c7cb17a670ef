#include "config/merge_patch.h"

#include <doctest/doctest.h>

#include "config/diff.h"
#include "test_json.h"

namespace burdockrock {
namespace {

struct Example {
  const char* original;
  const char* patch;
  const char* result;
};

// RFC 7396, appendix A.
constexpr Example kExamples[] = {
    {"{'a':'b'}", "{'a':'c'}", "{'a':'c'}"},
    {"{'a':'b'}", "{'b':'c'}", "{'a':'b','b':'c'}"},
    {"{'a':'b'}", "{'a':null}", "{}"},
    {"{'a':'b','b':'c'}", "{'a':null}", "{'b':'c'}"},
    {"{'a':['b']}", "{'a':'c'}", "{'a':'c'}"},
    {"{'a':'c'}", "{'a':['b']}", "{'a':['b']}"},
    {"{'a':{'b':'c'}}", "{'a':{'b':'d','c':null}}", "{'a':{'b':'d'}}"},
    {"{'a':[{'b':'c'}]}", "{'a':[1]}", "{'a':[1]}"},
    {"['a','b']", "['c','d']", "['c','d']"},
    {"{'a':'b'}", "['c']", "['c']"},
    {"{'a':'foo'}", "null", "null"},
    {"{'a':'foo'}", "'bar'", "'bar'"},
    {"{'e':null}", "{'a':1}", "{'e':null,'a':1}"},
    {"[1,2]", "{'a':'b','c':null}", "{'a':'b'}"},
    {"{}", "{'a':{'bb':{'ccc':null}}}", "{'a':{'bb':{}}}"},
};

TEST_CASE("A merge patch gives the results of RFC 7396") {
  for (const Example& example : kExamples) {
    CAPTURE(example.original);
    CAPTURE(example.patch);
    CHECK(ApplyMergePatch(Json(example.original), Json(example.patch)) ==
          Json(example.result));
  }
}

TEST_CASE("Patch members that change nothing are found at any depth") {
  const Json::Value base = Json("{'a':{'b':1,'c':2},'d':[1,2],'e':{}}");
  CHECK(FindIdlePatchMembers(
            base, Json("{'a':{'b':1,'c':3},'d':[1,2],'f':null,'e':{}}")) ==
        TextLines{"$.a.b", "$.d", "$.e", "$.f"});
  CHECK(FindIdlePatchMembers(base, Json("{'a':{'b':null},'d':[2,1],'g':{}}"))
            .empty());
}

TEST_CASE("A diff names each differing place once") {
  CHECK(DiffLines(Json("{'a':{'b':1,'c':0.1},'d':[1],'e':0}"),
                  Json("{'a':{'b':1,'c':3},'d':[1,2],'f':'x'}")) ==
        TextLines{"$.a.c: 0.1 -> 3", "$.d: [1] -> [1,2]", "$.e: 0 -> (absent)",
                  "$.f: (absent) -> \"x\""});
}

}  // namespace
}  // namespace burdockrock
