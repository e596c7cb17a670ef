#include <doctest/doctest.h>

#include "runtime/incarnation.h"
#include "runtime/test_instance.h"

namespace burdockrock {

TEST_CASE("an idle instance answers the drain call and then stops") {
  TestInstance instance;
  const HttpResponse response = instance.Call("POST", "/v1/drain", "{}");
  CHECK(response.status == 202);
  CHECK(BodyOf(response)["state"] == "draining");
  instance.RunUntil([&instance] { return instance.stopped(); });
  CHECK(instance.stopped());
  CHECK(instance.HasLogged(EventNumber::kStopped));
}

TEST_CASE("a signal's drain stops the instance too") {
  TestInstance instance;
  instance.entry().Drain();
  instance.RunUntil([&instance] { return instance.stopped(); });
  CHECK(instance.stopped());
}

TEST_CASE("an incarnation differs by time and by process") {
  const std::string first = MakeIncarnation(1'700'000'000'000'000, 42);
  CHECK(first.find_first_not_of("0123456789abcdefghijklmnopqrstuvwxyz") ==
        std::string::npos);
  CHECK(first != MakeIncarnation(1'700'000'000'000'001, 42));
  CHECK(first != MakeIncarnation(1'700'000'000'000'000, 43));
}

}  // namespace burdockrock
