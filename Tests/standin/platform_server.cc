#include "standin/platform_server.h"

#include <algorithm>
#include <utility>

#include "net/address.h"

namespace burdockrock::standin {

namespace {

// Room for a value of 1 MB over the limit, escaped.
constexpr std::size_t kMaxBodyBytes = std::size_t{8} * 1024 * 1024;

}  // namespace

PlatformServer::PlatformServer(boost::asio::io_context& io,
                               PlatformServerOptions options,
                               DelayQueue& delays)
    : io_(io),
      options_(std::move(options)),
      store_(options_.store),
      delays_(delays),
      timer_(io) {}

std::optional<NetError> PlatformServer::Listen() {
  for (const std::string& it : options_.listen) {
    if (auto error = ListenOn(it)) {
      return error;
    }
  }
  return std::nullopt;
}

void PlatformServer::Pump() {
  const Time now = MonotonicNow();
  store_.Advance(now);
  AnswerHeldWatches(now);
  Arm();
}

std::optional<NetError> PlatformServer::ListenOn(const std::string& address) {
  const auto parsed = ParseAddress(address);
  if (const auto* error = std::get_if<NetError>(&parsed)) {
    return *error;
  }
  const auto& endpoint = std::get<TcpEndpoint>(parsed);
  HttpServerOptions options;
  options.address = endpoint.address().to_string();
  options.port = endpoint.port();
  options.max_body_bytes = kMaxBodyBytes;
  servers_.push_back(std::make_unique<HttpServer>(
      io_, options,
      [this, address](HttpRequest request, HttpServer::Responder respond) {
        OnRequest(address, std::move(request), std::move(respond));
      }));
  const auto listening = servers_.back()->Listen();
  if (const auto* error = std::get_if<NetError>(&listening)) {
    return *error;
  }
  return std::nullopt;
}

void PlatformServer::OnRequest(const std::string& listener,
                               HttpRequest request,
                               HttpServer::Responder respond) {
  delays_.After(
      options_.latency + faults_.slow,
      [this, listener, request = std::move(request),
       respond = std::move(respond)] { Dispatch(listener, request, respond); });
}

void PlatformServer::Dispatch(const std::string& listener,
                              const HttpRequest& request,
                              const HttpServer::Responder& respond) {
  if (faults_.cut_listeners.contains(listener)) {
    delays_.Lose(respond);
    return;
  }
  const auto decoded = DecodePlatformCall(request);
  if (const auto* error = std::get_if<CodecError>(&decoded)) {
    respond(EncodeError(*error));
    return;
  }
  const auto& call = std::get<PlatformCall>(decoded);
  const Time now = MonotonicNow();
  const PlatformResult result = Carry(call, now);
  if (!Hold(listener, call, result, respond, now)) {
    Answer(result, AnswerFormOf(call), respond);
  }
  Pump();
}

PlatformResult PlatformServer::Carry(const PlatformCall& call, Time now) {
  if (const auto* it = std::get_if<LeaseGrant>(&call)) {
    return store_.GrantLease(it->ttl, now);
  }
  if (const auto* it = std::get_if<LeaseRenewal>(&call)) {
    return store_.RenewLease(it->lease, now);
  }
  if (const auto* it = std::get_if<LeasedPut>(&call)) {
    return store_.PutWithLease(it->put, it->lease, now);
  }
  return store_.Apply(std::get<PlatformOperation>(call), now);
}

// True when the call is a watch without news, which then waits.
bool PlatformServer::Hold(const std::string& listener,
                          const PlatformCall& call,
                          const PlatformResult& result,
                          const HttpServer::Responder& respond,
                          Time now) {
  const auto* operation = std::get_if<PlatformOperation>(&call);
  if (operation == nullptr ||
      std::holds_alternative<PlatformUnavailable>(result)) {
    return false;
  }
  HeldWatch held{
      .watch = {}, .respond = respond, .listener = listener, .deadline = now};
  if (const auto* it = std::get_if<KvWatch>(operation)) {
    held.watch = *it;
    held.deadline += it->wait;
  } else if (const auto* list = std::get_if<InstancesWatch>(operation)) {
    held.watch = *list;
    held.deadline += list->wait;
  }
  if (held.deadline == now || News(held, now)) {
    return false;
  }
  watches_.push_back(std::move(held));
  return true;
}

void PlatformServer::Answer(const PlatformResult& result,
                            PlatformAnswerForm form,
                            const HttpServer::Responder& respond) {
  auto response = EncodePlatformResult(result, form);
  if (!response) {
    delays_.Lose(respond);
    return;
  }
  if (faults_.garbage_answers > 0) {
    --faults_.garbage_answers;
    response->body = "{garbage";
  }
  respond(std::move(*response));
}

void PlatformServer::AnswerHeldWatches(Time now) {
  for (auto it = watches_.begin(); it != watches_.end();) {
    const auto news = News(*it, now);
    if (!news) {
      ++it;
      continue;
    }
    if (store_.faults().down || faults_.cut_listeners.contains(it->listener)) {
      delays_.Lose(it->respond);
    } else {
      Answer(*news, PlatformAnswerForm::kItems, it->respond);
    }
    it = watches_.erase(it);
  }
}

// What a held watch is to be answered with now, if anything.
std::optional<PlatformResult> PlatformServer::News(const HeldWatch& held,
                                                   Time now) const {
  auto news = std::visit([this](const auto& it) { return store_.TryWatch(it); },
                         held.watch);
  if (news || held.deadline > now) {
    return news;
  }
  if (std::holds_alternative<KvWatch>(held.watch)) {
    return KvItems{.revision = store_.revision(), .items = {}};
  }
  return store_.instances().Visible();
}

void PlatformServer::Arm() {
  Time next = store_.NextEventTime();
  for (const HeldWatch& it : watches_) {
    next = std::min(next, it.deadline);
  }
  if (next >= armed_for_) {
    return;
  }
  armed_for_ = next;
  timer_.expires_at(std::chrono::steady_clock::time_point(next));
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      armed_for_ = kForever;
      Pump();
    }
  });
}

}  // namespace burdockrock::standin
