#include "cli/fake_entry.h"

#include <utility>
#include <variant>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <boost/asio/post.hpp>

#include "net/json.h"

namespace burdockrock {

namespace {

// The text with its members in a fixed order, or as it is when it is no JSON.
std::string Normal(const std::string& text) {
  const auto parsed = ParseJson(text);
  const auto* value = std::get_if<Json::Value>(&parsed);
  return value == nullptr ? text : WriteJson(*value);
}

}  // namespace

FakeEntry::FakeEntry(boost::asio::io_context& io,
                     std::vector<ScriptStep> script)
    : io_(io),
      script_(std::move(script)),
      server_(
          io,
          {},
          [this](const HttpRequest& request, const HttpResponder& responder) {
            OnRequest(request, responder);
          }) {
  const auto port = server_.Listen();
  REQUIRE(std::holds_alternative<std::uint16_t>(port));
  address_ = fmt::format("127.0.0.1:{}", std::get<std::uint16_t>(port));
}

std::vector<std::string> FakeEntry::Deviations() const {
  std::vector<std::string> deviations = deviations_;
  for (std::size_t it = next_; it < script_.size(); ++it) {
    deviations.push_back(
        fmt::format("missing: {} {}", script_[it].method, script_[it].path));
  }
  return deviations;
}

void FakeEntry::OnRequest(const HttpRequest& request,
                          const HttpResponder& responder) {
  if (next_ == script_.size()) {
    deviations_.push_back(fmt::format("beyond the script: {} {} {}",
                                      request.method, request.path,
                                      request.body));
    responder({.status = 500, .body = "{}"});
    return;
  }
  const ScriptStep& step = script_[next_++];
  Compare(request, step);
  if (step.lose_answer) {
    // The server must not be closed within its own handler.
    boost::asio::post(io_, [this] { server_.Close(); });
    return;
  }
  responder(step.answer);
}

void FakeEntry::Compare(const HttpRequest& request, const ScriptStep& step) {
  if (request.method != step.method || request.path != step.path) {
    deviations_.push_back(fmt::format("{} {} in place of {} {}", request.method,
                                      request.path, step.method, step.path));
  }
  if (!step.body.empty() && Normal(request.body) != Normal(step.body)) {
    deviations_.push_back(
        fmt::format("body {} in place of {}", request.body, step.body));
  }
}

}  // namespace burdockrock
