// What the stand-ins of one case share: the lock, the time and the record.
#ifndef BURDOCKROCK_REVIEW_STAND_WORLD_H_
#define BURDOCKROCK_REVIEW_STAND_WORLD_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

#include <json/json.h>

namespace review {

class World {
 public:
  explicit World(const std::string& record)
      : file_(std::fopen(record.c_str(), "w")) {}

  // Milliseconds since the start, on the steady clock.
  std::int64_t Now() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - start_)
        .count();
  }

  static std::int64_t WallMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }

  void Record(const std::string& line) {
    const std::lock_guard lock(record_mutex_);
    std::fprintf(file_, "%8lld %s\n", static_cast<long long>(Now()),
                 line.c_str());
    std::fflush(file_);
  }

  std::mutex mutex;            // guards the state of all stand-ins
  std::condition_variable cv;  // notified at each change

 private:
  std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
  std::FILE* file_;
  std::mutex record_mutex_;
};

inline Json::Value Parse(const std::string& text) {
  Json::Value value;
  std::string errors;
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  reader->parse(text.data(), text.data() + text.size(), &value, &errors);
  return value;
}

inline std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

inline std::string EncodeBase64(const std::string& text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t it = 0; it < text.size(); it += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const unsigned char byte =
          it + k < text.size() ? static_cast<unsigned char>(text[it + k]) : 0;
      bits = bits << 8U | byte;
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += it + k <= text.size() ? kDigits[bits >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return out;
}

inline std::string DecodeBase64(const std::string& text) {
  static const std::string kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char it : text) {
    const std::size_t digit = kDigits.find(it);
    if (digit == std::string::npos) {
      break;
    }
    bits = bits << 6U | static_cast<std::uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
    }
  }
  return out;
}

// Bytes that the base64 text stands for.
inline std::size_t DecodedSize(const std::string& text) {
  std::size_t padding = 0;
  while (padding < text.size() && text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  return text.size() / 4 * 3 - padding;
}

}  // namespace review

#endif  // BURDOCKROCK_REVIEW_STAND_WORLD_H_
