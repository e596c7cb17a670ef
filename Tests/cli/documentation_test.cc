#include <algorithm>
#include <array>
#include <string>

#include <doctest/doctest.h>

#include "cli/case_file.h"
#include "cli/command_table.h"
#include "model/verdict.h"
#include "wire/caller_status.h"

namespace burdockrock {

namespace {

// The part of a page from the heading to the next one of its level.
std::string Section(const std::string& page, const std::string& heading) {
  const std::size_t start = page.find("\n## " + heading + "\n");
  if (start == std::string::npos) {
    return "";
  }
  const std::size_t end = page.find("\n## ", start + 1);
  return page.substr(start, end == std::string::npos ? end : end - start);
}

// Reasons that leave the end of a dispatched request unknown.
constexpr std::array kLossReasons = {Reason::kConnectionLost,
                                     Reason::kLeaseLapsed, Reason::kOwnerLost};

int DocumentedStatus(Reason reason) {
  const bool is_loss = std::find(kLossReasons.begin(), kLossReasons.end(),
                                 reason) != kLossReasons.end();
  return is_loss ? StatusOf(MayHaveRun{.reason = reason, .detail = ""})
                 : StatusOf(NotRun{.reason = reason, .detail = ""});
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("docs/commands.md has each command with each of its flags") {
  const std::string page = ReadFile(BURDOCKROCK_ROOT "/docs/commands.md");
  const std::string client_flags =
      Section(page, "Flags of all client commands");
  for (const Command& command : CommandTable()) {
    INFO("command: " << command.name);
    const std::string section = Section(page, command.name);
    CHECK(!section.empty());
    for (const FlagRule& rule : command.flags) {
      INFO("flag: " << rule.name);
      const std::string flag = "`--" + rule.name;
      CHECK((Contains(section, flag) || Contains(client_flags, flag)));
    }
  }
}

TEST_CASE("docs/callers.md has the status of each reason") {
  const std::string page = ReadFile(BURDOCKROCK_ROOT "/docs/callers.md");
  const int first = static_cast<int>(Reason::kInvalid);
  const int last = static_cast<int>(Reason::kNotFound);
  for (int it = first; it <= last; ++it) {
    const std::string name = ReasonName(static_cast<Reason>(it));
    INFO("reason: " << name);
    const int status = DocumentedStatus(static_cast<Reason>(it));
    CHECK(Contains(page, "| `" + name + "` | " + std::to_string(status)));
  }
}

}  // namespace burdockrock
