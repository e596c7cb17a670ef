#include "cli/case_runner.h"

#include <map>
#include <memory>
#include <sstream>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "cli/command_line.h"

namespace burdockrock {

namespace {

constexpr Duration kPollInterval(100);

// No run lasts so long that the line is rewritten because of the time.
constexpr Duration kProgressInterval = std::chrono::hours(1);

using Placeholders = std::map<std::string, std::string>;
using Entries = std::vector<std::unique_ptr<FakeEntry>>;

std::string Replace(std::string text, const Placeholders& placeholders) {
  for (const auto& [name, value] : placeholders) {
    std::size_t start = text.find(name);
    while (start != std::string::npos) {
      text.replace(start, name.size(), value);
      start = text.find(name, start + value.size());
    }
  }
  return text;
}

// An address that refuses connections while this lives: bound, so that nobody
// else gets the port, and not listening.
class DeadAddress {
 public:
  explicit DeadAddress(boost::asio::io_context& io)
      : socket_(io,
                boost::asio::ip::tcp::endpoint(
                    boost::asio::ip::make_address("127.0.0.1"),
                    0)) {}

  std::string Text() const {
    return fmt::format("127.0.0.1:{}", socket_.local_endpoint().port());
  }

 private:
  boost::asio::ip::tcp::socket socket_;
};

Entries StartEntries(const CommandLineCase& test, boost::asio::io_context& io) {
  Entries entries;
  for (const auto& script : test.entries) {
    entries.push_back(std::make_unique<FakeEntry>(io, script));
  }
  return entries;
}

Placeholders MakePlaceholders(const Entries& entries, const DeadAddress& dead) {
  Placeholders placeholders = {{"{VERSION}", BURDOCKROCK_VERSION},
                               {"{FILES}", BURDOCKROCK_ROOT "/Tests/cli/files"},
                               {"{DEAD}", dead.Text()},
                               {"{CLEAR}", "\r\x1b[K"}};
  for (std::size_t it = 0; it < entries.size(); ++it) {
    const std::string number = it == 0 ? "" : std::to_string(it + 1);
    placeholders["{ENTRY" + number + "}"] = entries[it]->address();
  }
  return placeholders;
}

}  // namespace

void RunCase(const CommandLineCase& test) {
  INFO("case: " << test.name);
  boost::asio::io_context io;
  const DeadAddress dead(io);
  const Entries entries = StartEntries(test, io);
  const Placeholders placeholders = MakePlaceholders(entries, dead);
  std::vector<std::string> words;
  for (const std::string& word : test.arguments) {
    words.push_back(Replace(word, placeholders));
  }
  std::ostringstream out;
  std::ostringstream err;
  Output output = {.out = out,
                   .err = err,
                   .show_progress = test.terminal,
                   .progress_interval = kProgressInterval};

  const ExitCode exit = RunCommandLine(words, output, io, kPollInterval);

  CHECK(out.str() == Replace(test.out, placeholders));
  CHECK(err.str() == Replace(test.err, placeholders));
  CHECK(static_cast<int>(exit) == test.exit);
  for (const auto& entry : entries) {
    CHECK(entry->Deviations() == std::vector<std::string>());
  }
}

}  // namespace burdockrock
