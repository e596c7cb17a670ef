#include <doctest/doctest.h>

#include "net/address.h"
#include "net/http_target.h"

namespace burdockrock {

namespace {

TEST_CASE("An address is an IP and a port") {
  const auto v4 = std::get<TcpEndpoint>(ParseAddress("10.0.0.7:8080"));
  CHECK(v4.address().to_string() == "10.0.0.7");
  CHECK(v4.port() == 8080);
  const auto v6 = std::get<TcpEndpoint>(ParseAddress("[::1]:9"));
  CHECK(v6.address().to_string() == "::1");

  for (const char* text :
       {"", "10.0.0.7", "10.0.0.7:", "10.0.0.7:65536", "10.0.0.7:-1",
        "10.0.0.7:80x", "host:80", "::1:80", "[10.0.0.7]:80", ":80"}) {
    CAPTURE(text);
    const auto parsed = ParseAddress(text);
    REQUIRE(std::holds_alternative<NetError>(parsed));
    const std::string message = std::get<NetError>(parsed).message;
    CHECK(message.find("IP:PORT") != std::string::npos);
  }
}

TEST_CASE("A target's path and query come back as they were encoded") {
  const HttpTarget target{
      .path = "/v1/jobs/a b%",
      .query = {{"key", "log/x&y=z+1"}, {"empty", ""}, {"\xc3\xa9?", "#"}}};
  const std::string text = EncodeTarget(target.path, target.query);
  CHECK(text.find_first_of(" #+\xc3") == std::string::npos);
  CHECK(DecodeTarget(text) == target);
  CHECK(DecodeTarget("/p?a&b=1&") ==
        HttpTarget{.path = "/p", .query = {{"a", ""}, {"b", "1"}}});
}

TEST_CASE("A broken target is refused") {
  for (const char* text :
       {"", "*", "p", "/%", "/%2", "/%zz", "/%+1", "/p?a=%f", "/p?a=1&a=2"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodeTarget(text).has_value());
  }
}

}  // namespace

}  // namespace burdockrock
