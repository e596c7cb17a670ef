#include "config/check.h"

#include <algorithm>
#include <filesystem>

#include <doctest/doctest.h>

#include "test_json.h"

namespace burdockrock {
namespace {

TextLines FilesIn(const std::string& directory) {
  TextLines files;
  for (const auto& entry :
       std::filesystem::directory_iterator(SourcePath(directory))) {
    if (entry.is_regular_file()) {
      files.push_back(entry.path().string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

// The errors' lines with the files' names in place of their paths.
TextLines CheckData(const TextLines& names) {
  const std::string directory = SourcePath("Tests/config/data/");
  TextLines files;
  for (const std::string& name : names) {
    files.push_back(directory + name);
  }
  TextLines lines = Lines(CheckFiles(files));
  for (std::string& line : lines) {
    std::size_t at = 0;
    while ((at = line.find(directory)) != std::string::npos) {
      line.erase(at, directory.size());
    }
  }
  return lines;
}

TEST_CASE("The example files of both sites have no fault together") {
  TextLines files = {SourcePath("examples/base.json")};
  for (const char* site : {"examples/lanyu", "examples/trails"}) {
    const TextLines more = FilesIn(site);
    CHECK(more.size() == 7);
    files.insert(files.end(), more.begin(), more.end());
  }
  CHECK(Lines(CheckFiles(files)).empty());
}

TEST_CASE("The examples make one document with a policy for each site") {
  const TextLines files = {SourcePath("examples/base.json"),
                           SourcePath("examples/lanyu/overlay-taipei.json"),
                           SourcePath("examples/trails/overlay-tt-north.json")};
  const auto document = LoadPolicyDocument(files);
  REQUIRE(std::holds_alternative<PolicyDocument>(document));
  const auto domains_of = [&](const std::string& site) {
    return std::get<Policy>(
               ResolvePolicy(std::get<PolicyDocument>(document), site))
        .domains;
  };
  CHECK(domains_of("taipei") == TextLines{"neihu-a", "banqiao-b", "xinyi-c"});
  CHECK(domains_of("tt-north") ==
        TextLines{"arima-hall", "maracas-hall", "tunapuna-hall"});
}

TEST_CASE("Faults of every kind of file are told together") {
  CHECK(CheckData({"base.json", "overlay-a.json", "overlay-b.json",
                   "process.json", "duplicate.json", "no-kind.json",
                   "missing.json"}) == ReadLines("data/file-faults.txt"));
}

TEST_CASE("A process's domains are those of its site's policy") {
  CHECK(CheckData({"base.json", "overlay-good.json", "process.json"}) ==
        TextLines{
            "process.json: $.domain: \"neihu-z\" is no failure domain of site "
            "\"taipei\"; allowed: neihu-a, banqiao-b",
            "process.json: $.peers[0].domain: \"xinyi-c\" is no failure domain "
            "of site \"taipei\"; allowed: neihu-a, banqiao-b"});
}

TEST_CASE("An overlay alone can't be checked") {
  CHECK(CheckData({"overlay-good.json"}) ==
        TextLines{"overlay-good.json: $: can't be checked without the base; "
                  "allowed: the base's file among the files"});
}

}  // namespace
}  // namespace burdockrock
