#include "dandelionmill/gateway/relay_session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "dandelionmill/gateway/internal/response_end.h"
#include "dandelionmill/gateway/response_observer.h"
#include "dandelionmill/gateway/response_status.h"
#include "dandelionmill/gateway/socket_options.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/platform/headers.h"

namespace dandelionmill::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Longest time to receive the request to relay.
constexpr milliseconds kRequestTimeout{1000};
constexpr std::uint32_t kMaxRequestBytes = 4096;

// Interval of the checks whether the backend server has received the request.
constexpr milliseconds kDeliveryCheckInterval{10};

// Larger response heads are relayed but not observed.
constexpr std::size_t kMaxResponseHeadBytes = 65536;

}  // namespace

RelaySession::RelaySession(GatewayContext& context,
                           asio::ip::tcp::socket socket,
                           std::function<void(RelaySession*)> on_ended)
    : context_(context),
      memory_id_(context.memory.Add(*this)),
      socket_(std::move(socket)),
      on_ended_(std::move(on_ended)),
      timer_(context.loop),
      accepted_at_(steady_clock::now()) {}

void RelaySession::Start() {
  SetSocketOptions(socket_);
  // Both directions, and the head of the response at its usual size.
  context_.memory.Set(memory_id_, MemoryBudget::Use::kOther,
                      sizeof(RelaySession) + kBufferBytes, accepted_at_);
  request_parser_.emplace();
  request_parser_->header_limit(kMaxRequestBytes);
  timer_.expires_after(kRequestTimeout);
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error)
      self->End(true, "no request");
  });
  http::async_read_header(
      socket_, buffer_, *request_parser_,
      [self = shared_from_this()](error_code error, std::size_t) {
        self->OnRequest(error);
      });
}

void RelaySession::OnRequest(error_code error) {
  timer_.cancel();
  if (!on_ended_)
    return;
  if (error) {
    End(true, "no request");
    return;
  }
  const auto request = ParseRelayRequest(request_parser_->get());
  if (!base::IsOk(request)) {
    End(true, "malformed request");
    return;
  }
  request_ = base::ValueOf(request);
  const RelayStatus status = Admit(request_);
  if (status != RelayStatus::kConnected) {
    Respond(status);
    return;
  }
  context_.backoff.OnSent(backend_->id, accepted_at_);
  if (!context_.cold_allowance.empty() && !request_.attempt.empty())
    context_.cold_allowance.Reserve(*backend_, base::BootClock::now());
  context_.connector.ConnectDirectly(
      *backend_, [self = shared_from_this()](ConnectionPool::Result result) {
        self->OnBackendConnected(std::move(result));
      });
}

RelayStatus RelaySession::Admit(const RelayRequest& request) {
  const BackendEntry* entry =
      context_.directory.FindUsable(request.backend, accepted_at_);
  if (entry == nullptr || entry->incarnation != request.incarnation ||
      !context_.backoff.Admits(*entry, accepted_at_) ||
      !context_.brittle_services.Admits(
          *entry, context_.placement.LoadOf(entry->id, accepted_at_),
          accepted_at_) ||
      IsEvacuated(*entry) ||
      (!request.attempt.empty() &&
       !context_.cold_allowance.Admits(*entry, base::BootClock::now())))
    return RelayStatus::kBackendNotUsable;
  const char* reason = context_.is_shutting_down           ? "shutting down"
                       : context_.overload.is_overloaded() ? "overloaded"
                       : context_.memory.budget().is_exceeded() ? "memory"
                       : context_.connector.IsPartitioned(entry->service)
                           ? "partitioned"
                           : nullptr;
  if (reason != nullptr) {
    refusal_reason_ = reason;
    return RelayStatus::kUnavailable;
  }
  backend_ = *entry;
  return RelayStatus::kConnected;
}

bool RelaySession::IsEvacuated(const BackendEntry& entry) const {
  return !request_.attempt.empty() && context_.evacuations.Includes(entry.zone);
}

void RelaySession::OnBackendConnected(ConnectionPool::Result result) {
  if (const auto* failure = std::get_if<ConnectFailure>(&result)) {
    NoteConnectionLost();
    if (context_.connector.IsPartitioned(backend_->service)) {
      refusal_reason_ = "partitioned";
      Respond(RelayStatus::kUnavailable);
    } else {
      Respond(*failure == ConnectFailure::kRefused
                  ? RelayStatus::kBackendRefused
                  : RelayStatus::kBackendTimedOut);
    }
    return;
  }
  connection_ = std::move(std::get<BackendConnectionPtr>(result));
  if (!NeedsWarmUpCheck()) {
    OnConnectionUsable();
    return;
  }
  const Service* service = context_.config->FindService(backend_->service);
  CheckWarmUp(context_.loop, backend_->address, service->health_path,
              std::move(connection_),
              [self = shared_from_this()](IncarnationReport report) {
                NoteWarmUpCheck(self->context_, *self->backend_, report);
                self->OnWarmUpChecked(std::move(report));
              });
}

bool RelaySession::NeedsWarmUpCheck() const {
  // A connection without a request is opened only to learn whether that works.
  return !context_.cold_allowance.empty() && !request_.attempt.empty() &&
         context_.config->FindService(backend_->service) != nullptr &&
         context_.cold_allowance.NeedsCheck(*backend_, connection_->opened_at,
                                            base::BootClock::now());
}

void RelaySession::OnWarmUpChecked(IncarnationReport report) {
  if (!on_ended_)
    return;
  if (!report.connection) {
    Respond(RelayStatus::kBackendTimedOut);
    return;
  }
  connection_ = std::move(report.connection);
  OnConnectionUsable();
}

void RelaySession::NoteConnectionLost() {
  if (context_.cold_allowance.empty())
    return;
  context_.cold_allowance.OnUnobserved(
      backend_->id, scheduling::ColdAllowance::Source::kConnectionLost,
      base::BootClock::now());
}

void RelaySession::OnConnectionUsable() {
  connected_at_ = steady_clock::now();
  const bool is_usable =
      context_.directory.FindUsable(backend_->id, connected_at_) != nullptr &&
      !context_.backoff.IsPaused(*backend_, connected_at_) &&
      !IsEvacuated(*backend_) &&
      (request_.attempt.empty() ||
       context_.cold_allowance.TrySend(*backend_, base::BootClock::now()));
  Respond(is_usable ? RelayStatus::kConnected : RelayStatus::kBackendNotUsable);
}

void RelaySession::Respond(RelayStatus status) {
  if (!on_ended_)
    return;
  status_ = status;
  response_ = FormatRelayStatus(status);
  asio::async_write(
      socket_, asio::buffer(response_),
      [self = shared_from_this()](error_code error, std::size_t) {
        if (!self->on_ended_)
          return;
        if (error || self->status_ != RelayStatus::kConnected) {
          self->End(false, error ? "write failed" : self->refusal_reason_);
          return;
        }
        self->to_backend_.source = &self->socket_;
        self->to_backend_.sink = &self->connection_->socket;
        self->from_backend_.source = &self->connection_->socket;
        self->from_backend_.sink = &self->socket_;
        self->Relay(self->to_backend_);
        self->Relay(self->from_backend_);
      });
}

void RelaySession::Relay(Channel& channel) {
  channel.source->async_read_some(
      asio::buffer(channel.bytes), [self = shared_from_this(), &channel](
                                       error_code error, std::size_t count) {
        if (!self->on_ended_)
          return;
        if (error) {
          self->OnSourceEnded(channel, error);
          return;
        }
        // The other instance may have stood still before it sent the request.
        if (&channel == &self->to_backend_ && channel.relayed_bytes == 0 &&
            self->IsEvacuated(*self->backend_)) {
          self->End(true, "evacuated");
          return;
        }
        channel.relayed_bytes += count;
        self->context_.overload.OnReceived(count);
        self->context_.overload.OnSent(count);
        if (&channel == &self->from_backend_)
          self->ObserveResponseHead({channel.bytes.data(), count});
        channel.is_writing = true;
        asio::async_write(*channel.sink, asio::buffer(channel.bytes, count),
                          [self, &channel](error_code problem, std::size_t) {
                            channel.is_writing = false;
                            if (!self->on_ended_)
                              return;
                            if (problem)
                              self->End(true, "write failed");
                            else
                              self->Relay(channel);
                          });
      });
}

void RelaySession::OnSourceEnded(Channel& channel, error_code error) {
  if (&channel == &to_backend_) {
    End(true, "closed by the instance");
    return;
  }
  if (error != asio::error::eof) {
    NoteConnectionLost();
    End(true, "broken by the backend server");
    return;
  }
  EndResponse();
}

void RelaySession::EndResponse() {
  // A backend server that has crashed or closed the connection resets it when
  // more of the request arrives. The response is not whole then, and the other
  // instance cannot know: what it has written may still be here.
  if (ends_with_connection_) {
    const std::optional<bool> is_delivered = IsRequestDelivered();
    if (!is_delivered) {
      End(true, "broken by the backend server");
      return;
    }
    if (!*is_delivered) {
      timer_.expires_after(kDeliveryCheckInterval);
      timer_.async_wait([self = shared_from_this()](error_code error) {
        if (!error && self->on_ended_)
          self->EndResponse();
      });
      return;
    }
  }
  // The other instance closes its connection once it has read the rest.
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

std::optional<bool> RelaySession::IsRequestDelivered() {
  const auto unacknowledged = UnacknowledgedBytes(connection_->socket);
  if (!unacknowledged)
    return std::nullopt;
  error_code ignored;
  return *unacknowledged == 0 && !to_backend_.is_writing &&
         socket_.available(ignored) == 0;
}

void RelaySession::ObserveResponseHead(std::string_view bytes) {
  // A connection that is not for a request carries no answer to one.
  if (is_head_observed_ || request_.attempt.empty())
    return;
  response_head_ += bytes;
  while (!response_head_.empty()) {
    http::response_parser<http::empty_body> parser;
    parser.header_limit(kMaxResponseHeadBytes);
    parser.skip(true);
    error_code error;
    const std::size_t used = parser.put(asio::buffer(response_head_), error);
    if (error == http::error::need_more &&
        response_head_.size() <= kMaxResponseHeadBytes)
      return;
    is_head_observed_ = true;
    if (error || !parser.is_header_done())
      break;
    const int status = static_cast<int>(parser.get().result_int());
    const StatusKind kind = KindOfStatus(parser.get().result_int());
    if (kind == StatusKind::kInvalid)
      break;
    if (kind == StatusKind::kInterim) {
      // An interim response; the final one follows.
      is_head_observed_ = false;
      response_head_.erase(0, used);
      continue;
    }
    const ResponseMetadata metadata =
        platform::DecodeResponseMetadata(status, parser.get());
    ends_with_connection_ = IsSuccess(parser.get().result_int()) &&
                            internal::EndsWithConnection(parser.get());
    const BackendProcess process{connection_->listed_incarnation,
                                 connection_->incarnation,
                                 connection_->opened_at, backend_->address};
    ObserveResponse(
        context_, {*backend_, process, metadata, accepted_at_, connected_at_},
        [this](log::Event& event) {
          event.With("request", request_.attempt)
              .With("backend", backend_->id)
              .With("relayed_for", request_.instance);
        },
        steady_clock::now());
    break;
  }
  response_head_.clear();
}

void RelaySession::Abort() {
  End(true, "the instance is shutting down");
}

void RelaySession::End(bool is_broken, const char* reason) {
  if (!on_ended_)
    return;
  const base::MonoTime now = steady_clock::now();
  timer_.cancel();
  context_.memory.Remove(memory_id_);
  if (backend_)
    context_.backoff.OnEnded(backend_->id, accepted_at_);
  log::Event(log::Level::kInfo, "relay_ended")
      .With("request", request_.attempt)
      .With("backend", request_.backend)
      .With("relayed_for", request_.instance)
      .With("status", ToString(status_))
      .With("reason", reason)
      .With("sent_bytes", to_backend_.relayed_bytes)
      .With("received_bytes", from_backend_.relayed_bytes)
      .With("total_ms", duration_cast<milliseconds>(now - accepted_at_));
  if (is_broken)
    ResetConnection(socket_);
  error_code ignored;
  socket_.close(ignored);
  if (connection_)
    connection_->socket.close(ignored);
  std::exchange(on_ended_, nullptr)(this);
}

}  // namespace dandelionmill::gateway
