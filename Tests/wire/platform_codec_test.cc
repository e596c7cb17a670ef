#include "wire/platform_codec.h"

#include <doctest/doctest.h>

namespace burdockrock {

namespace {

PlatformResult Decode(const PlatformOperation& operation,
                      int status,
                      std::string body) {
  const auto decoded = DecodePlatformAnswer(
      operation, {.status = status, .body = std::move(body)});
  const auto* result = std::get_if<PlatformResult>(&decoded);
  REQUIRE(result != nullptr);
  return *result;
}

}  // namespace

TEST_CASE("operations take the form that the protocol gives") {
  const HttpRequest put = EncodePlatformOperation(
      KvPut{.key = "log/e1/0000000001", .value = "a\"b", .expect = 0});
  CHECK(put.method == "PUT");
  CHECK(put.path == "/v1/kv");
  CHECK(put.body == R"({"expect":0,"key":"log/e1/0000000001","value":"a\"b"})");

  const HttpRequest any = EncodePlatformOperation(
      KvPut{.key = "k", .value = "v", .expect = std::nullopt});
  CHECK(any.body == R"({"key":"k","value":"v"})");

  const HttpRequest gone =
      EncodePlatformOperation(KvDelete{.key = "k", .expect = 7});
  CHECK(gone.method == "DELETE");
  CHECK(gone.query ==
        std::map<std::string, std::string>{{"key", "k"}, {"expect", "7"}});

  const HttpRequest watch = EncodePlatformOperation(KvWatch{
      .prefix = "config/", .after = 4, .wait = std::chrono::seconds(9)});
  CHECK(watch.path == "/v1/watch");
  CHECK(watch.query == std::map<std::string, std::string>{{"prefix", "config/"},
                                                          {"after", "4"},
                                                          {"wait_ms", "9000"}});

  const HttpRequest instances = EncodePlatformOperation(
      InstancesWatch{.after = 5, .wait = std::chrono::seconds(1)});
  CHECK(instances.path == "/v1/instances");
  CHECK(EncodePlatformOperation(KvGet{.key = "k"}).query.at("key") == "k");
  CHECK(EncodePlatformOperation(KvRange{.prefix = "log/"}).path == "/v1/range");
}

TEST_CASE("answers of the platform are read") {
  const KvItem item{.key = "k", .value = "v", .revision = 3};
  CHECK(Decode(KvGet{.key = "k"}, 200,
               R"({"key":"k","value":"v","revision":3})") ==
        PlatformResult(KvItems{.revision = 3, .items = {item}}));
  const KvItem deleted{.key = "d", .value = "", .revision = 4, .deleted = true};
  CHECK(Decode(KvWatch{}, 200,
               R"({"revision":4,"items":[{"key":"k","value":"v","revision":3},)"
               R"({"key":"d","revision":4,"deleted":true}]})") ==
        PlatformResult(KvItems{.revision = 4, .items = {item, deleted}}));
  CHECK(Decode(KvPut{}, 200, R"({"revision":9})") == PlatformResult(KvDone{9}));
  CHECK(Decode(KvPut{}, 409, R"({"revision":8})") ==
        PlatformResult(KvConflict{8}));
  CHECK(Decode(KvPut{}, 413, "") == PlatformResult(KvTooLarge()));
  CHECK(Decode(KvGet{}, 404, "") == PlatformResult(KvMissing()));
  CHECK(Decode(InstancesWatch{}, 200,
               R"({"revision":2,"instances":[{"id":"w","role":"worker",)"
               R"("service":"","domain":"d","rack":"r","address":"1.2.3.4:5",)"
               R"("state":"leaving","capacity":{"memory_mb":1}}]})") ==
        PlatformResult(
            InstanceList{.revision = 2,
                         .instances = {{.id = "w",
                                        .role = InstanceRole::kWorker,
                                        .service = "",
                                        .domain = "d",
                                        .rack = "r",
                                        .address = "1.2.3.4:5",
                                        .leaving = true,
                                        .capacity = {.memory_mb = 1}}}}));
}

TEST_CASE("a write whose answer is lost or garbled may have taken effect") {
  const auto failed = Decode(KvPut{}, 500, "");
  CHECK(std::get<PlatformUnavailable>(failed).may_have_taken_effect);
  const auto limited = Decode(KvPut{}, 429, "");
  CHECK_FALSE(std::get<PlatformUnavailable>(limited).may_have_taken_effect);
  for (const char* body :
       {"", "{", "{}", R"({"revision":-1})", R"({"revision":1,"x":2})"}) {
    const auto decoded =
        DecodePlatformAnswer(KvPut{}, {.status = 200, .body = body});
    CHECK(std::holds_alternative<DecodeError>(decoded));
  }
}

}  // namespace burdockrock
