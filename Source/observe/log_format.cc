#include "observe/log_format.h"

#include <algorithm>
#include <array>
#include <iterator>

#include <fmt/format.h>
#include <json/value.h>
#include <json/writer.h>

#include "observe/event_catalogue.h"

namespace burdockrock {

namespace {

constexpr std::string_view kCutMark = "...";
constexpr char kDelete = '\x7f';
constexpr std::array<std::string_view, 5> kPrefixKeys = {
    "time", "level", "event", "name", "instance"};

constexpr EventInfo kUnknownEvent = {EventNumber{0}, Level::kError, "unknown",
                                     "The catalogue has no such event"};

const EventInfo& InfoOf(EventNumber number) {
  const EventInfo* info = FindEvent(number);
  return info == nullptr ? kUnknownEvent : *info;
}

bool IsContinuationByte(char byte) {
  return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

// Cuts before a whole UTF-8 character, so that the JSON form holds no half of
// one.
std::string CutValue(std::string_view value) {
  if (value.size() <= kMaxLogValueBytes) {
    return std::string(value);
  }
  const std::size_t most = kMaxLogValueBytes - kCutMark.size();
  std::size_t end = most;
  constexpr std::size_t kMaxContinuationBytes = 3;
  while (most - end < kMaxContinuationBytes && IsContinuationByte(value[end])) {
    --end;
  }
  return std::string(value.substr(0, end)).append(kCutMark);
}

bool IsKeyByte(char byte) {
  const bool letter =
      (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
  const bool digit = byte >= '0' && byte <= '9';
  return letter || digit || byte == '_' || byte == '.' || byte == '-';
}

std::string SafeKey(std::string_view key) {
  std::string safe(key.substr(0, kMaxLogValueBytes));
  std::ranges::replace_if(
      safe, [](char it) { return !IsKeyByte(it); }, '_');
  if (safe.empty() || std::ranges::count(kPrefixKeys, safe) > 0) {
    safe.push_back('_');
  }
  return safe;
}

// Bytes that need neither quotes nor an escape.
bool IsPlainByte(char byte) {
  return byte > ' ' && byte < kDelete && byte != '"' && byte != '\\' &&
         byte != '=';
}

void AppendEscaped(std::string& out, char byte) {
  switch (byte) {
    case '"':
      out += "\\\"";
      return;
    case '\\':
      out += "\\\\";
      return;
    case '\n':
      out += "\\n";
      return;
    case '\r':
      out += "\\r";
      return;
    case '\t':
      out += "\\t";
      return;
    default:
      break;
  }
  if (byte >= ' ' && byte < kDelete) {
    out.push_back(byte);
    return;
  }
  const auto code = static_cast<unsigned char>(byte);
  fmt::format_to(std::back_inserter(out), "\\x{:02x}", code);
}

// A value comes from outside: a newline in it would start a line that looks
// like an event of ours, a quote would end the value and let it add fields,
// and terminal control bytes would rewrite what the operator sees. So all of
// these leave as escapes inside quotes. Bytes beyond ASCII do too, because
// some Unicode characters break lines or reverse the text.
void AppendPair(std::string& out,
                std::string_view key,
                std::string_view value) {
  if (!out.empty()) {
    out.push_back(' ');
  }
  out.append(key).push_back('=');
  if (!value.empty() && std::ranges::all_of(value, IsPlainByte)) {
    out.append(value);
    return;
  }
  out.push_back('"');
  for (const char it : value) {
    AppendEscaped(out, it);
  }
  out.push_back('"');
}

std::string FormatKeyValue(const LogHeader& prefix, const LogLine& line) {
  const EventInfo& info = InfoOf(line.number);
  std::string out;
  AppendPair(out, "time", prefix.time);
  AppendPair(out, "level", LevelName(info.level));
  AppendPair(out, "event", std::to_string(static_cast<int>(line.number)));
  AppendPair(out, "name", info.name);
  AppendPair(out, "instance", CutValue(prefix.instance));
  for (const LogField& it : line.fields) {
    AppendPair(out, SafeKey(it.key), CutValue(it.value));
  }
  return out;
}

// The JSON library leaves this control byte as it is. It can only stand within
// a string.
std::string EscapeDelete(std::string_view json) {
  std::string out;
  for (const char it : json) {
    if (it == kDelete) {
      out += "\\u007f";
    } else {
      out.push_back(it);
    }
  }
  return out;
}

std::string FormatJson(const LogHeader& prefix, const LogLine& line) {
  const EventInfo& info = InfoOf(line.number);
  Json::Value object(Json::objectValue);
  object["time"] = prefix.time;
  object["level"] = LevelName(info.level);
  object["event"] = static_cast<int>(line.number);
  object["name"] = info.name;
  object["instance"] = CutValue(prefix.instance);
  for (const LogField& it : line.fields) {
    object[SafeKey(it.key)] = CutValue(it.value);
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = false;
  return EscapeDelete(Json::writeString(builder, object));
}

}  // namespace

std::string FormatLogLine(LogFormat format,
                          const LogHeader& prefix,
                          const LogLine& line) {
  return format == LogFormat::kJsonLines ? FormatJson(prefix, line)
                                         : FormatKeyValue(prefix, line);
}

}  // namespace burdockrock
