#include "dandelionmill/gateway/backend_connector.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "dandelionmill/gateway/incarnation_check.h"
#include "dandelionmill/gateway/socket_options.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using tcp = asio::ip::tcp;

// Allows for the relaying instance's own connection timeout and two round trips
// between regions.
constexpr milliseconds kRelayTimeout{450};

// Instances that are asked to relay one connection.
constexpr int kMaxRelayTries = 3;

// Backend servers to which connections are opened to learn whether this
// instance is partitioned from all, and while it is.
constexpr std::size_t kCheckedBackends = PartitionDetector::kMinUnreachable;
constexpr std::size_t kRecheckedBackends = 1;

ConnectFailure ToConnectFailure(RelayStatus status) {
  switch (status) {
    case RelayStatus::kBackendRefused:
      return ConnectFailure::kRefused;
    case RelayStatus::kBackendTimedOut:
      return ConnectFailure::kTimedOut;
    case RelayStatus::kConnected:
    case RelayStatus::kBackendNotUsable:
      return ConnectFailure::kUnreachable;
    case RelayStatus::kNoAnswer:
    case RelayStatus::kUnavailable:
      return ConnectFailure::kNotRelayed;
  }
  return ConnectFailure::kNotRelayed;
}

}  // namespace

// Connects to another instance and asks it to relay the connection.
class BackendConnector::RelayOperation
    : public std::enable_shared_from_this<RelayOperation> {
 public:
  RelayOperation(asio::io_context& loop,
                 peer::Instance relay,
                 RelayHandler handler)
      : connection_(std::make_unique<BackendConnection>(loop)),
        timer_(loop),
        relay_(std::move(relay)),
        handler_(std::move(handler)) {
    parser_.skip(true);
  }

  void Run(const RelayRequest& request) {
    head_ = FormatRelayRequest(request);
    connection_->listed_incarnation = request.incarnation;
    timer_.expires_after(kRelayTimeout);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error)
        self->Complete(RelayStatus::kNoAnswer);
    });
    connection_->socket.async_connect(
        tcp::endpoint(asio::ip::make_address(relay_.address.host),
                      static_cast<unsigned short>(relay_.address.port)),
        [self = shared_from_this()](error_code error) {
          self->OnConnected(error);
        });
  }

 private:
  void OnConnected(error_code error) {
    if (!handler_)
      return;
    if (error) {
      Complete(RelayStatus::kNoAnswer);
      return;
    }
    SetSocketOptions(connection_->socket);
    asio::async_write(
        connection_->socket, asio::buffer(head_),
        [self = shared_from_this()](error_code problem, std::size_t) {
          if (problem)
            self->Complete(RelayStatus::kNoAnswer);
        });
    http::async_read_header(
        connection_->socket, connection_->buffer, parser_,
        [self = shared_from_this()](error_code problem, std::size_t) {
          self->Complete(
              problem ? RelayStatus::kNoAnswer
                      : ParseRelayStatus(self->parser_.get().result_int()));
        });
  }

  void Complete(RelayStatus status) {
    if (!handler_)
      return;
    timer_.cancel();
    RelayResult result;
    result.status = status;
    if (status == RelayStatus::kConnected) {
      connection_->relay = relay_;
      connection_->opened_at = base::BootClock::now();
      result.connection = std::move(connection_);
    } else {
      error_code ignored;
      connection_->socket.close(ignored);
    }
    std::exchange(handler_, nullptr)(std::move(result));
  }

  BackendConnectionPtr connection_;
  asio::steady_timer timer_;
  const peer::Instance relay_;
  RelayHandler handler_;
  std::string head_;
  http::response_parser<http::empty_body> parser_;
};

void BackendConnector::SetInstances(const base::InstanceId& self,
                                    std::vector<peer::Instance> others) {
  self_ = self;
  relays_.SetInstances(std::move(others));
}

void BackendConnector::Connect(const BackendEntry& backend,
                               const base::AttemptId& attempt,
                               const scheduling::AllowedZones& allowed,
                               Handler handler) {
  if (IsPartitioned(backend.service)) {
    ConnectThroughAny(backend, attempt, allowed, kMaxRelayTries,
                      std::move(handler));
    return;
  }
  ConnectDirectly(
      backend, [this, backend, attempt, allowed, handler = std::move(handler)](
                   ConnectionPool::Result result) mutable {
        if (std::holds_alternative<ConnectFailure>(result) &&
            IsPartitioned(backend.service))
          ConnectThroughAny(backend, attempt, allowed, kMaxRelayTries,
                            std::move(handler));
        else
          handler(std::move(result));
      });
}

void BackendConnector::ConnectDirectly(const BackendEntry& backend,
                                       Handler handler) {
  Open(backend, [this, service = backend.service,
                 handler = std::move(handler)](ConnectionPool::Result result) {
    if (std::holds_alternative<ConnectFailure>(result) &&
        !IsPartitioned(service))
      Check(service, nullptr, kCheckedBackends);
    handler(std::move(result));
  });
}

void BackendConnector::Open(const BackendEntry& backend, Handler handler) {
  parts_.pool.Connect(
      backend, [this, backend, handler = std::move(handler),
                begin = steady_clock::now()](ConnectionPool::Result result) {
        OnDirectResult(backend, result, begin);
        handler(std::move(result));
      });
}

void BackendConnector::OnDirectResult(const BackendEntry& backend,
                                      const ConnectionPool::Result& result,
                                      base::MonoTime begin) {
  const base::MonoTime now = steady_clock::now();
  const auto duration = duration_cast<milliseconds>(now - begin);
  const auto* failure = std::get_if<ConnectFailure>(&result);
  if (failure != nullptr && *failure == ConnectFailure::kTimedOut)
    parts_.overload.OnConnectTimedOut(duration);
  else
    parts_.overload.OnConnect(duration);
  if (failure == nullptr) {
    if (partitions_.OnConnected(backend.service)) {
      log::Event(log::Level::kWarning, "partition_ended")
          .With("service", backend.service)
          .With("backend", backend.id);
    }
    return;
  }
  // On a full link of this instance every connection times out.
  if (*failure == ConnectFailure::kTimedOut && parts_.overload.is_link_queued())
    return;
  const std::size_t listed =
      parts_.directory.Usable(backend.service, now).size();
  if (partitions_.OnConnectFailed(backend, listed, now)) {
    log::Event(log::Level::kWarning, "partition_begun")
        .With("service", backend.service)
        .With("backend", backend.id)
        .With("reason", ToString(*failure))
        .With("listed", listed)
        .With("relays", relays_.size());
    OnPartitionBegun(backend.service);
  }
}

void BackendConnector::OnPartitionBegun(const base::ServiceId& service) {
  // The open connections may hang without notice.
  for (const BackendEntry* backend :
       parts_.directory.Usable(service, steady_clock::now()))
    parts_.pool.CloseIdle(backend->id);
}

void BackendConnector::Check(const base::ServiceId& service,
                             const BackendEntry* first,
                             std::size_t count) {
  const base::MonoTime now = steady_clock::now();
  if (!partitions_.TryBeginCheck(service, now))
    return;
  const auto usable = parts_.directory.Usable(service, now);
  std::vector<BackendEntry> checked;
  if (first != nullptr)
    checked.push_back(*first);
  for (std::size_t i = 0; i < usable.size() && checked.size() < count; ++i) {
    const BackendEntry& backend = *usable[next_check_++ % usable.size()];
    if (first == nullptr || backend.id != first->id)
      checked.push_back(backend);
  }
  for (const BackendEntry& backend : checked) {
    // A failure must not begin the next check.
    Open(backend,
         [&pool = parts_.pool, backend](ConnectionPool::Result result) {
           if (auto* connection = std::get_if<BackendConnectionPtr>(&result))
             pool.PutIdle(backend, std::move(*connection), steady_clock::now());
         });
  }
}

void BackendConnector::OnSilent(const BackendEntry& backend) {
  if (!IsPartitioned(backend.service))
    Check(backend.service, &backend, kCheckedBackends);
}

void BackendConnector::Tick() {
  for (const base::ServiceId& service : partitions_.PartitionedServices())
    Check(service, nullptr, kRecheckedBackends);
}

void BackendConnector::ConnectThroughAny(
    const BackendEntry& backend,
    const base::AttemptId& attempt,
    const scheduling::AllowedZones& allowed,
    int tries,
    Handler handler) {
  const auto relay = tries > 0 ? relays_.Choose(backend.service, backend.zone,
                                                allowed, steady_clock::now())
                               : std::nullopt;
  if (!relay) {
    const auto avoided =
        relays_.AvoidedFor(backend.service, steady_clock::now());
    log::Event(log::Level::kInfo, "relay_not_found")
        .With("request", attempt)
        .With("service", backend.service)
        .With("tries", kMaxRelayTries - tries)
        .With("instances", relays_.size())
        .With("unreachable", avoided.unreachable)
        .With("refused", avoided.refused)
        .With("oldest_ms", avoided.oldest)
        .With("has_home_regions", !allowed.ContainsAll());
    asio::post(parts_.loop, [handler = std::move(handler)] {
      handler(ConnectFailure::kNotRelayed);
    });
    return;
  }
  ConnectThrough(*relay, backend, attempt,
                 [this, backend, attempt, allowed, tries, instance = relay->id,
                  handler = std::move(handler)](RelayResult result) mutable {
                   if (result.status == RelayStatus::kConnected) {
                     handler(std::move(result.connection));
                     return;
                   }
                   log::Event(log::Level::kInfo, "relay_failed")
                       .With("request", attempt)
                       .With("service", backend.service)
                       .With("backend", backend.id)
                       .With("relay", instance)
                       .With("status", ToString(result.status));
                   const base::MonoTime now = steady_clock::now();
                   // An instance to which the backend server did not answer may
                   // be partitioned as well.
                   if (result.status == RelayStatus::kNoAnswer)
                     relays_.OnUnreachable(instance, now);
                   else if (result.status == RelayStatus::kUnavailable ||
                            result.status == RelayStatus::kBackendTimedOut)
                     relays_.OnRefused(instance, backend.service, now);
                   if (result.status == RelayStatus::kNoAnswer ||
                       result.status == RelayStatus::kUnavailable)
                     ConnectThroughAny(backend, attempt, allowed, tries - 1,
                                       std::move(handler));
                   else
                     handler(ToConnectFailure(result.status));
                 });
}

void BackendConnector::ConnectThrough(const peer::Instance& relay,
                                      const BackendEntry& backend,
                                      const base::AttemptId& attempt,
                                      RelayHandler handler) {
  std::make_shared<RelayOperation>(parts_.loop, relay, std::move(handler))
      ->Run({backend.id, backend.incarnation, self_, attempt});
}

void BackendConnector::ConnectAgain(const BackendEntry& backend,
                                    const std::optional<peer::Instance>& relay,
                                    Handler handler) {
  if (!relay) {
    ConnectDirectly(backend, std::move(handler));
    return;
  }
  ConnectThrough(*relay, backend, base::AttemptId(),
                 [handler = std::move(handler)](RelayResult result) {
                   if (result.connection)
                     handler(std::move(result.connection));
                   else
                     handler(ToConnectFailure(result.status));
                 });
}

void BackendConnector::OnConnectionRefused(const BackendEntry& backend,
                                           base::MonoTime now) {
  if (!parts_.crash_guard.HasBrokenAttempt(backend.id, now) ||
      refusals_in_check_.count(backend.id) != 0)
    return;
  // The connection is opened and carries nothing, so any instance may do so.
  const auto relay = relays_.Choose(backend.service, backend.zone,
                                    scheduling::AllowedZones(), now);
  if (!relay) {
    // Nobody else can tell.
    if (!IsPartitioned(backend.service))
      parts_.crash_guard.OnConnectionRefused(backend.id, now);
    return;
  }
  refusals_in_check_.insert(backend.id);
  ConnectThrough(*relay, backend, base::AttemptId(),
                 [this, backend, now](const RelayResult& result) {
                   OnRefusalChecked(backend, result, now);
                 });
}

void BackendConnector::OnReconnected(const BackendEntry& backend,
                                     std::int64_t broken_at,
                                     BackendConnectionPtr connection) {
  const base::MonoTime now = steady_clock::now();
  if (!parts_.crash_guard.HasBrokenAttempt(backend.id, now) ||
      !restarts_in_check_.insert(backend.id).second) {
    parts_.pool.PutIdle(backend, std::move(connection), now);
    return;
  }
  CheckIncarnation(
      parts_.loop, backend.address, std::move(connection),
      [this, backend, broken_at, now](IncarnationReport report) {
        restarts_in_check_.erase(backend.id);
        const bool is_crash =
            report.incarnation && *report.incarnation != broken_at;
        log::Event(log::Level::kInfo, "restart_checked")
            .With("backend", backend.id)
            .With("incarnation", broken_at)
            .With("answered", report.is_answered)
            .With("reported", report.incarnation.value_or(0))
            .With("crashed", is_crash);
        if (is_crash)
          parts_.crash_guard.OnRestarted(backend.id, broken_at, now);
        if (report.connection) {
          parts_.pool.PutIdle(backend, std::move(report.connection),
                              steady_clock::now());
        }
      });
}

void BackendConnector::OnRefusalChecked(const BackendEntry& backend,
                                        const RelayResult& result,
                                        base::MonoTime refused_at) {
  refusals_in_check_.erase(backend.id);
  const bool is_crash = result.status == RelayStatus::kBackendRefused ||
                        (!result.connection && !IsPartitioned(backend.service));
  log::Event(log::Level::kInfo, "refusal_checked")
      .With("backend", backend.id)
      .With("relay_status", ToString(result.status))
      .With("crashed", is_crash);
  if (is_crash)
    parts_.crash_guard.OnConnectionRefused(backend.id, refused_at);
  else
    parts_.crash_guard.OnReachable(backend.id);
}

}  // namespace dandelionmill::gateway
