// An entry instance on ports of the system's choice, without a platform, and a
// client for it.
#ifndef BURDOCKROCK_RUNTIME_TEST_INSTANCE_H_
#define BURDOCKROCK_RUNTIME_TEST_INSTANCE_H_

#include <functional>
#include <string>
#include <vector>

#include <json/value.h>
#include <boost/asio/io_context.hpp>

#include "net/http_message.h"
#include "net/tcp.h"
#include "runtime/entry_instance.h"

namespace burdockrock {

ProcessSettings TestSettings();

class TestInstance {
 public:
  explicit TestInstance(ProcessSettings settings = TestSettings());

  // Runs the instance until `done` holds or it has nothing left to do.
  void RunUntil(const std::function<bool()>& done);

  // One call as a caller makes it; `body` may be anything.
  HttpResponse Call(const std::string& method,
                    const std::string& path,
                    const std::string& body = "");
  HttpResponse CallPeers(const std::string& body);

  // Sends raw bytes to the callers' port and reads until the instance closes.
  std::string SendRaw(const std::string& bytes);

  Json::Value Dump();

  // True if a line of the log has this event's number.
  bool HasLogged(EventNumber number) const;

  EntryInstance& entry() { return entry_; }
  bool stopped() const { return stopped_; }

 private:
  HttpResponse Send(std::uint16_t port, HttpRequest request);

  boost::asio::io_context io_;
  std::vector<std::string> log_;
  bool stopped_ = false;
  EntryInstance entry_;
};

// The value that `response` holds as its body.
Json::Value BodyOf(const HttpResponse& response);

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_TEST_INSTANCE_H_
