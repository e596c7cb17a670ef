// Runs an io_context until a condition holds.
#ifndef BURDOCKROCK_TESTS_RUNTIME_RUN_UNTIL_H_
#define BURDOCKROCK_TESTS_RUNTIME_RUN_UNTIL_H_

#include <chrono>
#include <functional>

#include <doctest/doctest.h>
#include <boost/asio/io_context.hpp>

#include "model/time.h"
#include "runtime/clock.h"

namespace burdockrock {

// Fails the test if the condition does not hold within 20 s.
inline void RunUntil(boost::asio::io_context& io,
                     const std::function<bool()>& condition) {
  const Time end = SteadyNow() + std::chrono::seconds(20);
  while (!condition()) {
    REQUIRE(SteadyNow() < end);
    io.restart();
    io.run_one_for(std::chrono::milliseconds(50));
  }
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_RUNTIME_RUN_UNTIL_H_
