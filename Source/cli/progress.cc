#include "cli/progress.h"

#include <fmt/format.h>

namespace burdockrock {

namespace {

// Back to the start of the line, and clears it.
constexpr char kClearLine[] = "\r\x1b[K";

}  // namespace

Progress::Progress(boost::asio::io_context& io, const Output& output)
    : output_(output), timer_(io) {
  if (output_.show_progress) {
    Tick();
  }
}

Progress::~Progress() {
  if (output_.show_progress) {
    output_.err << kClearLine << std::flush;
  }
}

void Progress::SetText(const std::string& text) {
  text_ = text;
  Print();
}

void Progress::Print() {
  if (output_.show_progress) {
    output_.err << fmt::format("{}{} ({} s)", kClearLine, text_,
                               ToMilliseconds(elapsed_) / 1000)
                << std::flush;
  }
}

void Progress::Tick() {
  timer_.expires_after(output_.progress_interval);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    elapsed_ += output_.progress_interval;
    Print();
    Tick();
  });
}

}  // namespace burdockrock
