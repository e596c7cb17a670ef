// Tests the names that tell a worker's processes apart.
#include "model/worker_incarnation.h"

#include <doctest/doctest.h>

namespace burdockrock {

TEST_CASE("A name holds the id and the start of a process") {
  const std::string name = IncarnationName("i-8d2d59089c", 1764785000123);
  CHECK(name == "i-8d2d59089c#1764785000123");
  CHECK(WorkerIdOf(name) == "i-8d2d59089c");
  CHECK(BornOf(name) == 1764785000123);
}

TEST_CASE("A worker that does not tell its start is named by its id") {
  CHECK(IncarnationName("w0-1", 0) == "w0-1");
  CHECK(WorkerIdOf("w0-1") == "w0-1");
  CHECK(BornOf("w0-1") == 0);
  CHECK(WorkerIdOf("w#a") == "w#a");
  CHECK(WorkerIdOf("w#") == "w#");
  CHECK(BornOf("w#") == 0);
}

TEST_CASE("A reply is of another incarnation only if both tell their start") {
  CHECK(IsOtherIncarnation("w0#5", 6));
  CHECK_FALSE(IsOtherIncarnation("w0#5", 5));
  CHECK_FALSE(IsOtherIncarnation("w0#5", 0));
  CHECK_FALSE(IsOtherIncarnation("w0", 5));
}

}  // namespace burdockrock
