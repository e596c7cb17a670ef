#include "runtime/engine_peers.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <boost/asio/post.hpp>

#include "engine/limits.h"
#include "engine/members/peer_codec.h"
#include "net/json_read.h"
#include "runtime/clock.h"

namespace burdockrock {

namespace {

// A peer that takes longer is paused or cut off; what waits for it is repeated
// anyway, and a new connection finds it sooner than an old one that hangs.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(1000);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// Pauses after failures, which double. The first one is short, as most failures
// are single ones; the longest spares a machine whose process has ended or is
// short of processor time.
constexpr Duration kFirstPause = std::chrono::milliseconds(50);
constexpr Duration kLongestPause = std::chrono::milliseconds(1600);
// The longest before a request to a peer that is heard meanwhile.
constexpr Duration kLongestPauseIfHeard = std::chrono::milliseconds(400);
// After so many failures in a row the next request is a probe. Most single
// failures are lost requests, and a probe would only delay the messages.
constexpr int kFailuresBeforeProbe = 2;
// Lower than the number of any batch: a receiver takes a batch with it for one
// that it has taken before, and answers without reading it.
constexpr std::uint64_t kProbeNumber = 0;

// Messages that are late are worse than none: the engine has asked again, or
// elsewhere, and places tasks by what it knows then. An offer, an end or a
// report of runs is of use until the engine repeats it or releases the room
// that is booked for it.
constexpr Duration kUsefulFor = engine::kBookingTimeout;
// Replies and digests that are older than a failed request and one more try
// tell of room and tickets that others have used since.
constexpr Duration kStateUsefulFor =
    kRequestTimeout + std::chrono::milliseconds(250);
// The receiver can't know how long a request for advice, or the tickets of a
// reply, took to come.
constexpr Duration kAdviceUsefulFor = std::chrono::milliseconds(500);

// A sender that ended does not send an old batch later than this.
constexpr Duration kTakenKeptFor = std::chrono::seconds(60);
constexpr const char* kSenderKey = "from";
constexpr const char* kReceiverKey = "to";
constexpr const char* kBatchKey = "batch";

constexpr int kOkStatus = 200;
// Some messages of the batch were garbled; the others were taken.
constexpr int kBadRequestStatus = 400;

// The batch is for a process that has ended.
constexpr int kGoneStatus = 410;
// The peer could not take the batch now, such as when it is overloaded.
constexpr int kFirstServerErrorStatus = 500;

std::optional<PeerFailure> FailureOf(const HttpResult& result, Duration took) {
  if (const auto* response = std::get_if<HttpResponse>(&result)) {
    const bool taken =
        response->status == kOkStatus || response->status == kBadRequestStatus;
    if (response->status >= kFirstServerErrorStatus) {
      return PeerFailure::kBroken;
    }
    return taken ? std::nullopt : std::optional(PeerFailure::kRefused);
  }
  if (!std::get<HttpFailure>(result).may_have_been_received) {
    return PeerFailure::kNotConnected;
  }
  return took < kRequestTimeout ? PeerFailure::kBroken : PeerFailure::kNoAnswer;
}

Duration UsefulFor(const engine::PeerMessage& message) {
  if (std::holds_alternative<engine::PeerAdviceRequest>(message) ||
      std::holds_alternative<engine::AdviceReply>(message)) {
    return kAdviceUsefulFor;
  }
  const bool tells_state =
      std::holds_alternative<engine::RoomDigest>(message) ||
      std::holds_alternative<engine::RelayedDigests>(message) ||
      std::holds_alternative<engine::DigestRequest>(message) ||
      std::holds_alternative<engine::JobQuery>(message) ||
      std::holds_alternative<engine::JobReply>(message);
  return tells_state ? kStateUsefulFor : kUsefulFor;
}

DigestScope ScopeOf(const engine::PeerMessage& message) {
  const auto* digest = std::get_if<engine::RoomDigest>(&message);
  if (digest == nullptr) {
    return DigestScope::kNoDigest;
  }
  if (digest->whole) {
    return DigestScope::kWhole;
  }
  return digest->workers.empty() && digest->waiting.empty()
             ? DigestScope::kUnchanged
             : DigestScope::kChanges;
}

}  // namespace

EnginePeerClient::EnginePeerClient(boost::asio::io_context& io,
                                   std::string incarnation,
                                   std::function<void(const LogLine&)> log)
    : io_(io),
      incarnation_(std::move(incarnation)),
      pool_(io, {.max_connections = 1, .connect_timeout = kConnectTimeout}),
      random_(static_cast<std::minstd_rand::result_type>(
          std::hash<std::string>()(incarnation_))),
      losses_(std::move(log)) {}

void EnginePeerClient::LogLosses() {
  losses_.WriteLines(SteadyNow());
}

EnginePeerClient::Link& EnginePeerClient::LinkTo(const std::string& address) {
  const auto found = links_.find(address);
  if (found != links_.end()) {
    return found->second;
  }
  PeerChannelOptions options;
  options.on_dropped = [this, address](const char* kind) {
    losses_.NoteDropped(address, kind);
  };
  options.on_resent = [this](const char* kind) { losses_.NoteResent(kind); };
  options.on_replaced = [this](const char* kind) {
    losses_.NoteReplaced(kind);
  };
  return links_.try_emplace(address, io_, std::move(options)).first->second;
}

void EnginePeerClient::Send(const engine::SendPeer& send) {
  Link& link = LinkTo(send.address);
  Encode(send.message);
  const char* kind = engine::PeerMethods()[send.message.index()];
  EdgeTraffic& traffic = kinds_[kind];
  ++traffic.messages;
  traffic.bytes += last_text_.size();
  link.channel.Add({.to = send.to,
                    .kind = kind,
                    .text = last_text_,
                    .digest = ScopeOf(send.message),
                    .subject = last_subject_,
                    .queued_at = SteadyNow(),
                    .useful_for = UsefulFor(send.message)});
  if (link.to != send.to) {
    // Another process: the failures of the one before tell nothing of it.
    long_pauses_.erase(link.to);
    link.to = send.to;
    EndPause(send.address, link);
  }
  if (link.phase != Phase::kIdle) {
    return;
  }
  if (SteadyNow() < link.retry_at) {
    FlushAfterPause(send.address);
  } else {
    FlushSoon(send.address);
  }
}

void EnginePeerClient::NoteHeard(const std::string& incarnation) {
  const auto found = long_pauses_.find(incarnation);
  if (found == long_pauses_.end()) {
    return;
  }
  const std::string address = found->second;
  long_pauses_.erase(found);
  Link& link = LinkTo(address);
  link.pause = std::min(link.pause, kLongestPauseIfHeard);
  link.retry_at =
      std::min(link.retry_at, link.failed_at + Jittered(link.pause));
  if (link.phase == Phase::kPausing) {
    FlushAfterPause(address);
  }
}

std::size_t EnginePeerClient::probed_peers() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(links_, [](const auto& it) {
        return it.second.failures >= kFailuresBeforeProbe;
      }));
}

void EnginePeerClient::Encode(const engine::PeerMessage& message) {
  if (last_message_ != message) {
    last_text_ = engine::WritePeerNotification(incarnation_, message);
    last_subject_ = engine::SubjectOf(message);
    last_message_ = message;
  }
}

// Deferred, so that all messages of one step go together.
void EnginePeerClient::FlushSoon(const std::string& address) {
  LinkTo(address).phase = Phase::kSending;
  boost::asio::post(io_, [this, address, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      Flush(address);
    }
  });
}

void EnginePeerClient::FlushAfterPause(const std::string& address) {
  Link& link = LinkTo(address);
  link.phase = Phase::kPausing;
  link.retry.expires_after(std::max(link.retry_at - SteadyNow(), Duration(0)));
  link.retry.async_wait([this, address, alive = std::weak_ptr<bool>(alive_)](
                            boost::system::error_code ec) {
    if (!ec && !alive.expired() && LinkTo(address).phase == Phase::kPausing) {
      Flush(address);
    }
  });
}

void EnginePeerClient::Flush(const std::string& address) {
  Link& link = LinkTo(address);
  if (!link.channel.HasMessages(SteadyNow())) {
    link.phase = Phase::kIdle;
    return;
  }
  link.phase = Phase::kSending;
  link.probing = link.failures >= kFailuresBeforeProbe;
  if (link.probing) {
    return Post(address, link,
                {.to = link.to, .number = kProbeNumber, .body = "[]"});
  }
  if (auto batch = link.channel.TakeBatch(SteadyNow())) {
    messages_ += batch->messages;
    return Post(address, link, *std::move(batch));
  }
  link.phase = Phase::kIdle;
}

void EnginePeerClient::Post(const std::string& address,
                            Link& link,
                            ChannelBatch batch) {
  link.sent_at = SteadyNow();
  HttpRequest request;
  request.method = "POST";
  request.path = "/rpc";
  request.query = {{kSenderKey, incarnation_},
                   {kReceiverKey, batch.to},
                   {kBatchKey, std::to_string(batch.number)}};
  request.body = std::move(batch.body);
  pool_.Get(address).Send(
      std::move(request), kRequestTimeout,
      [this, address](const HttpResult& it) { OnResult(address, it); });
}

void EnginePeerClient::OnResult(const std::string& address,
                                const HttpResult& result) {
  Link& link = LinkTo(address);
  if (const auto failure = FailureOf(result, SteadyNow() - link.sent_at)) {
    losses_.NoteFailedBatch(address, *failure);
    if (*failure != PeerFailure::kRefused) {
      return OnFailure(address, link);
    }
    if (!link.probing) {
      link.channel.DropBatch();
    }
  }
  if (link.probing) {
    link.failures = kFailuresBeforeProbe - 1;
  } else {
    link.failures = 0;
    link.pause = Duration(0);
    link.channel.Acknowledge();
  }
  long_pauses_.erase(link.to);
  Flush(address);
}

void EnginePeerClient::OnFailure(const std::string& address, Link& link) {
  ++link.failures;
  link.channel.NoteFailure();
  link.pause = std::clamp(2 * link.pause, kFirstPause, kLongestPause);
  link.failed_at = SteadyNow();
  link.retry_at = link.failed_at + Jittered(link.pause);
  if (link.pause > kLongestPauseIfHeard) {
    long_pauses_[link.to] = address;
  }
  FlushAfterPause(address);
}

void EnginePeerClient::EndPause(const std::string& address, Link& link) {
  link.failures = 0;
  link.pause = Duration(0);
  link.retry_at = Time(0);
  if (link.phase == Phase::kPausing) {
    FlushAfterPause(address);
  }
}

Duration EnginePeerClient::Jittered(Duration pause) {
  return std::uniform_int_distribution<Duration::rep>(pause.count() / 2,
                                                      pause.count())(random_) *
         Duration(1);
}

EdgeTraffic EnginePeerClient::traffic() const {
  return {.messages = messages_, .bytes = pool_.bytes()};
}

EnginePeerServer::EnginePeerServer(EnginePeerServerOptions options)
    : jsonrpc::AbstractServer<EnginePeerServer>(
          static_cast<PeerConnector&>(*this)),
      options_(std::move(options)) {
  for (const char* it : engine::PeerMethods()) {
    const jsonrpc::Procedure procedure(it, jsonrpc::PARAMS_BY_NAME, "from",
                                       jsonrpc::JSON_STRING, "message",
                                       jsonrpc::JSON_OBJECT, nullptr);
    bindAndAddNotification(procedure, nullptr);
  }
}

std::string EnginePeerServer::HandleBody(const std::string& body) {
  traffic_.bytes += body.size();
  if (auto batch = engine::ReadPeerBatch(body)) {
    for (engine::PeerNotification& it : *batch) {
      OnNotification(std::move(it));
    }
    return {};
  }
  // Takes what can be read, and names the faults of the rest.
  std::string errors = Handle(body);
  if (!errors.empty()) {
    options_.log({.number = EventNumber::kPeerMalformed,
                  .fields = {{"problem", errors}}});
  }
  return errors;
}

HttpResponse EnginePeerServer::HandleRequest(const HttpRequest& request,
                                             Time now) {
  const auto receiver = request.query.find(kReceiverKey);
  if (receiver != request.query.end() &&
      receiver->second != options_.incarnation) {
    return {.status = kGoneStatus};
  }
  const auto sender = request.query.find(kSenderKey);
  if (sender != request.query.end()) {
    options_.on_request(sender->second);
  }
  if (WasTaken(request, now)) {
    return {};
  }
  std::string errors = HandleBody(request.body);
  const int status = errors.empty() ? kOkStatus : kBadRequestStatus;
  return {.status = status, .body = std::move(errors)};
}

// Its sender had no answer and sent it again. Numbers of one sender rise.
bool EnginePeerServer::WasTaken(const HttpRequest& request, Time now) {
  const auto sender = request.query.find(kSenderKey);
  const auto batch = request.query.find(kBatchKey);
  if (sender == request.query.end() || batch == request.query.end()) {
    return false;
  }
  std::uint64_t number = 0;
  const char* end = batch->second.data() + batch->second.size();
  if (std::from_chars(batch->second.data(), end, number).ptr != end) {
    return false;
  }
  if (!taken_.contains(sender->second)) {
    std::erase_if(taken_, [&](const auto& it) {
      return now >= it.second.at + kTakenKeptFor;
    });
  }
  TakenBatch& taken = taken_[sender->second];
  taken.at = now;
  if (number <= taken.number) {
    return true;
  }
  taken.number = number;
  return false;
}

// Overrides the library's table of member functions: all methods differ only
// in their message's type.
void EnginePeerServer::HandleNotificationCall(jsonrpc::Procedure& procedure,
                                              const Json::Value& params) {
  const std::string& method = procedure.GetProcedureName();
  auto decoded = engine::DecodePeerMessage(method, params);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                    method + " " + ToString(*error));
  }
  OnNotification(
      {.from = ReadText(MemberOf(params, "from")).value_or(std::string()),
       .message = std::get<engine::PeerMessage>(std::move(decoded))});
}

void EnginePeerServer::OnNotification(engine::PeerNotification notification) {
  ++traffic_.messages;
  ++kinds_[engine::PeerMethods()[notification.message.index()]].messages;
  options_.on_message({.from = std::move(notification.from),
                       .message = std::move(notification.message)});
}

}  // namespace burdockrock
