#include "standin/platform_server.h"

#include <algorithm>
#include <utility>

namespace burdockrock::standin {

PlatformServer::PlatformServer(boost::asio::io_context& io,
                               PlatformServerOptions options,
                               DelayQueue& delays)
    : ServerBase(io, delays),
      options_(std::move(options)),
      store_(options_.store) {}

std::optional<NetError> PlatformServer::Listen() {
  for (const std::string& it : options_.listen) {
    auto error = ListenOn(
        it, [this, it](HttpRequest request, HttpServer::Responder respond) {
          OnRequest(it, std::move(request), std::move(respond));
        });
    if (error) {
      return error;
    }
  }
  return std::nullopt;
}

void PlatformServer::Pump() {
  OnTime(MonotonicNow());
}

void PlatformServer::OnTime(Time now) {
  store_.Advance(now);
  AnswerHeldWatches(now);
  Time next = store_.NextEventTime();
  for (const HeldWatch& it : watches_) {
    next = std::min(next, it.deadline);
  }
  Arm(next);
}

void PlatformServer::OnRequest(const std::string& listener,
                               HttpRequest request,
                               HttpServer::Responder respond) {
  delays().After(
      options_.latency + faults().slow,
      [this, listener, request = std::move(request),
       respond = std::move(respond)] { Dispatch(listener, request, respond); });
}

void PlatformServer::Dispatch(const std::string& listener,
                              const HttpRequest& request,
                              const HttpServer::Responder& respond) {
  if (cut_listeners_.contains(listener)) {
    delays().Lose(respond);
    return;
  }
  const auto decoded = DecodePlatformCall(request);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    respond(ErrorResponse(ToString(*error)));
    return;
  }
  const auto& call = std::get<PlatformCall>(decoded);
  const Time now = MonotonicNow();
  const PlatformResult result = Carry(call, now);
  if (!Hold(listener, call, result, respond, now)) {
    Answer(respond, EncodePlatformResult(call, result));
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
  if (operation == nullptr || !store_.IsEmptyWatch(*operation, result)) {
    return false;
  }
  watches_.push_back({.watch = *operation,
                      .respond = respond,
                      .listener = listener,
                      .deadline = now + WaitOf(*operation)});
  return true;
}

void PlatformServer::AnswerHeldWatches(Time now) {
  for (auto it = watches_.begin(); it != watches_.end();) {
    const auto news = News(*it, now);
    if (!news) {
      ++it;
      continue;
    }
    if (store_.faults().down || cut_listeners_.contains(it->listener)) {
      delays().Lose(it->respond);
    } else {
      Answer(it->respond, EncodePlatformResult(it->watch, *news));
    }
    it = watches_.erase(it);
  }
}

// What a held watch is to be answered with now, if anything.
std::optional<PlatformResult> PlatformServer::News(const HeldWatch& held,
                                                   Time now) const {
  auto news = store_.TryWatch(held.watch);
  return news || held.deadline > now ? news : store_.EmptyAnswer(held.watch);
}

}  // namespace burdockrock::standin
