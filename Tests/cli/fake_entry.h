// An entry instance that expects certain requests and answers from a script.
#ifndef BURDOCKROCK_TESTS_CLI_FAKE_ENTRY_H_
#define BURDOCKROCK_TESTS_CLI_FAKE_ENTRY_H_

#include <cstddef>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "net/http_message.h"
#include "net/http_server.h"

namespace burdockrock {

struct ScriptStep {
  std::string method;
  std::string path;
  std::string body;  // JSON; empty: any
  HttpResponse answer;
  bool lose_answer = false;  // closes the connection in place of answering
};

class FakeEntry {
 public:
  FakeEntry(boost::asio::io_context& io, std::vector<ScriptStep> script);

  // "127.0.0.1:PORT"
  const std::string& address() const { return address_; }

  // What came otherwise than the script says, or did not come; empty when all
  // went by the script.
  std::vector<std::string> Deviations() const;

 private:
  void OnRequest(const HttpRequest& request, const HttpResponder& responder);
  void Compare(const HttpRequest& request, const ScriptStep& step);

  boost::asio::io_context& io_;
  const std::vector<ScriptStep> script_;
  std::size_t next_ = 0;
  std::vector<std::string> deviations_;
  HttpServer server_;
  std::string address_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_CLI_FAKE_ENTRY_H_
