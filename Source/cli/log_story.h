// Finds in the logs of several instances what happened to one job or request.
#ifndef BURDOCKROCK_CLI_LOG_STORY_H_
#define BURDOCKROCK_CLI_LOG_STORY_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/date_time/posix_time/ptime.hpp>

namespace burdockrock {

// One line of a log, in either of its forms.
struct LoggedEvent {
  std::string time{};  // "2026-12-02T21:22:14.467Z"
  std::string instance{};
  std::string name{};  // of the event
  std::vector<std::pair<std::string, std::string>> fields{};

  auto operator<=>(const LoggedEvent&) const = default;
};

// Nothing for a line that is no event. What stands before the time, as a
// collector puts it there, is passed over.
std::optional<LoggedEvent> ParseLogLine(std::string_view line);

// Not a date and time where the field `time` holds none.
boost::posix_time::ptime TimeOf(const LoggedEvent& event);

struct StoryLine {
  LoggedEvent event{};
  bool direct = true;  // false: of a worker or instance that took part

  auto operator<=>(const StoryLine&) const = default;
};

// The records that name the id, and around them those that tell of the loss of
// a worker, a store or a registration that took part; in the order of their
// time.
std::vector<StoryLine> FindStory(const std::vector<LoggedEvent>& records,
                                 std::string_view id);

// "TIME INSTANCE NAME key=value ..."
std::string ToText(const StoryLine& line);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_LOG_STORY_H_
