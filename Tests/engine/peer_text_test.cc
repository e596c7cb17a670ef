// Messages between instances as text, which are written and read without a tree
// of values.
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/members/peer_codec.h"
#include "engine/random_day.h"
#include "net/json.h"

namespace burdockrock::engine {

namespace {

constexpr std::size_t kKindsOfDay = 15;  // at least

std::string BatchOf(const std::string& notification) {
  return "[" + notification + "]";
}

bool IsReadAs(const std::string& body, const PeerNotification& expected) {
  const auto batch = ReadPeerBatch(body);
  return batch && batch->size() == 1 && batch->front().from == expected.from &&
         batch->front().message == expected.message;
}

bool IsWrittenAs(const std::string& text, const Json::Value& expected) {
  const auto parsed = ParseJson(text);
  const auto* value = std::get_if<Json::Value>(&parsed);
  // As text: the types of the tree tell small numbers from large ones.
  return value != nullptr && WriteJson(*value) == WriteJson(expected);
}

// Every value that differs from `value` in one place.
std::vector<Json::Value> DamagesOf(const Json::Value& value) {
  std::vector<Json::Value> damaged = {Json::Value(-1), Json::Value(1.5),
                                      Json::Value("odd\n"), Json::Value(true),
                                      Json::Value(Json::objectValue)};
  if (value.isObject()) {
    Json::Value more = value;
    more["unknown"] = 1;
    damaged.push_back(more);
    for (const std::string& it : value.getMemberNames()) {
      Json::Value less = value;
      less.removeMember(it);
      damaged.push_back(less);
      for (const Json::Value& part : DamagesOf(value[it])) {
        damaged.push_back(value);
        damaged.back()[it] = part;
      }
    }
  } else if (value.isArray()) {
    for (Json::ArrayIndex it = 0; it < value.size(); ++it) {
      for (const Json::Value& part : DamagesOf(value[it])) {
        damaged.push_back(value);
        damaged.back()[it] = part;
      }
    }
  }
  return damaged;
}

// What the library of the protocol makes of a single notification.
std::optional<PeerMessage> StrictlyRead(const Json::Value& notification) {
  const Json::Value& params = notification["params"];
  if (!params.isObject() || !params["message"].isObject()) {
    return std::nullopt;
  }
  auto read = DecodePeerMessage(notification["method"].asString(), params);
  auto* message = std::get_if<PeerMessage>(&read);
  return message == nullptr ? std::nullopt : std::optional(std::move(*message));
}

std::vector<PeerMessage> MessagesOfDay(std::uint64_t seed) {
  std::vector<PeerMessage> messages;
  RandomDay day({.seed = seed, .teams = true});
  day.fleet().on_peer = [&](const std::string& /*from*/, const SendPeer& it) {
    messages.push_back(it.message);
  };
  day.Play();
  return messages;
}

}  // namespace

// Guards against a member of a message that one of the two codecs lacks: the
// message would be refused, or lose what it tells.
TEST_CASE("Messages of a day with faults are the same by both codecs") {
  std::set<std::size_t> kinds;
  for (const std::uint64_t seed : {1, 2, 3}) {
    for (const PeerMessage& it : MessagesOfDay(seed)) {
      const std::string text = WritePeerNotification("n1-2", it);
      const Json::Value expected = EncodePeerNotification("n1-2", it);
      // Spans of time are written as whole milliseconds.
      const auto rounded = StrictlyRead(expected);
      const bool same =
          rounded && IsWrittenAs(text, expected) &&
          IsReadAs(BatchOf(text), {.from = "n1-2", .message = *rounded});
      CHECK_MESSAGE(same, text);
      kinds.insert(it.index());
    }
  }
  CHECK(kinds.size() >= kKindsOfDay);
}

// Guards against a value of another type or range, or an unknown member, that
// is taken although the library of the protocol refuses it.
TEST_CASE("What is damaged in a message is not read") {
  const PeerMessage messages[] = {
      RoomDigest{.sequence = 3,
                 .whole = true,
                 .workers = {{.worker = "w1",
                              .fence = 7,
                              .version = 2,
                              .free = {.processors_milli = 4000},
                              .accepting = true}},
                 .advice_wait = std::chrono::milliseconds(20)},
      TaskOffer{.job = "j1",
                .generation = 2,
                .spec = {.count = 2, .each = {.processors_milli = 500}},
                .tasks = {{.index = 1, .run = 2, .worker = "w1"}}},
      AdoptQuery{.jobs = {{"j1", 1}}, .wants_workers = true},
  };
  std::size_t refused = 0;
  for (const PeerMessage& it : messages) {
    const Json::Value good = EncodePeerNotification("n1-2", it);
    for (const Json::Value& message : DamagesOf(good["params"]["message"])) {
      Json::Value notification = good;
      notification["params"]["message"] = message;
      const std::string text = WriteJson(notification);
      INFO(text);
      const auto expected = StrictlyRead(notification);
      const auto batch = ReadPeerBatch(BatchOf(text));
      CHECK((!batch || (expected && batch->front().message == *expected)));
      refused += batch ? 0 : 1;
    }
  }
  CHECK(refused > 0);
}

TEST_CASE("A batch with anything but notifications is not read as one") {
  const std::string good = WritePeerNotification("n1-2", DigestRequest());
  CHECK(IsReadAs(BatchOf(good), {.from = "n1-2", .message = DigestRequest()}));
  const auto ask = [](const std::string& head, const std::string& message) {
    return BatchOf(
        fmt::format(R"({{{},"params":{{"from":"n1-2"{}}}}})", head, message));
  };
  const std::string head = R"("jsonrpc":"2.0","method":"digest_ask")";
  const std::string message = R"(,"message":{})";
  CHECK(ReadPeerBatch(ask(head, message)));
  const std::string bad[] = {
      "",
      "[]",
      "{}",
      good,
      BatchOf(good) + "x",
      BatchOf(good + "," + R"({"jsonrpc":"2.0"})"),
      ask(R"("jsonrpc":"1.0","method":"digest_ask")", message),
      ask(R"("jsonrpc":"2.0","method":"digest")", message),
      ask(R"("id":1,)" + head, message),
      ask(head, ""),
  };
  for (const std::string& it : bad) {
    INFO(it);
    CHECK_FALSE(ReadPeerBatch(it));
  }
}

TEST_CASE("Text in messages keeps quotes, control characters and UTF-8") {
  const std::string odd = "a\"b\\c\n\x01\x7f\xc3\xa9";
  const PeerNotification expected = {
      .from = odd,
      .message =
          RoomDigest{.waiting = {{.queue = odd, .jobs = 4'000'000'000}}}};
  const std::string text =
      WritePeerNotification(expected.from, expected.message);
  CHECK(IsWrittenAs(text, EncodePeerNotification(odd, expected.message)));
  CHECK(IsReadAs(BatchOf(text), expected));
}

}  // namespace burdockrock::engine
