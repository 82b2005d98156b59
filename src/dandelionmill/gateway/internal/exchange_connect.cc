#include <algorithm>
#include <utility>

#include "dandelionmill/gateway/exchange.h"
#include "dandelionmill/gateway/internal/exchange_limits.h"
#include "dandelionmill/gateway/response_observer.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/platform/headers.h"

// The connection of an attempt to its backend server, and the request on it.
namespace dandelionmill::gateway {
namespace {

namespace http = boost::beast::http;
using internal::kMinAttemptTime;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A request that cannot be retried reuses only connections that were idle for a
// short time. If the peer closes the connection at that moment, it is unknown
// whether it read the request.
constexpr milliseconds kMaxIdleForNonRetryable{1000};
constexpr milliseconds kMaxIdleForRetryable{60000};

// Failed connection attempts after which a request is refused.
constexpr int kMaxConnectFailures = 4;

}  // namespace

void Exchange::Connect() {
  const milliseconds max_idle = IsRetryable(route_->kind)
                                    ? kMaxIdleForRetryable
                                    : kMaxIdleForNonRetryable;
  if (auto connection = context_.pool.TakeIdle(*backend_, max_idle)) {
    UseConnection(std::move(connection));
    return;
  }
  ArmTimer();
  context_.connector.Connect(
      *backend_, request_metadata_.attempt, UpdateAllowedZones(),
      [self = shared_from_this()](ConnectionPool::Result result) {
        self->OnConnected(std::move(result));
      });
}

void Exchange::OnConnected(ConnectionPool::Result result) {
  if (is_finished_)
    return;
  if (auto* connection = std::get_if<BackendConnectionPtr>(&result)) {
    if (IsChoiceOutdated(steady_clock::now())) {
      ChooseAgain(std::move(*connection));
      return;
    }
    UseConnection(std::move(*connection));
    return;
  }
  const auto failure = std::get<ConnectFailure>(result);
  {
    log::Event event(log::Level::kInfo, "connect_failed");
    AddPlacementFields(event).With("reason", ToString(failure));
  }
  if (failure == ConnectFailure::kRefused)
    context_.connector.OnConnectionRefused(*backend_, steady_clock::now());
  // On a full link of this instance every connection times out, and more of
  // them fill it further.
  const bool is_own_link = failure == ConnectFailure::kTimedOut &&
                           context_.overload.is_link_queued();
  const bool is_own_path =
      is_own_link || context_.connector.IsPartitioned(service_->id);
  NoteConnectionLost();
  EndAttempt(is_own_path ? AttemptEnd::kAbandoned : AttemptEnd::kBroken);
  ConnectElsewhere(!is_own_link && failure != ConnectFailure::kNotRelayed,
                   is_own_path);
}

void Exchange::ConnectElsewhere(bool may_try_again, bool is_own_path) {
  ++connect_failures_;
  if (may_try_again && connect_failures_ < kMaxConnectFailures &&
      RemainingTime() > kMinAttemptTime) {
    StartAttempt();
    return;
  }
  Refuse(may_have_run_
             ? FailMaybeRun(base::Code::kBackendFailed, 502,
                            "no other backend server could be reached")
             : RefuseNotRun(base::Code::kNoBackend,
                            "no backend server could be reached",
                            is_own_path ? kRetryAtOnce : kRetryAfterNoBackend));
}

std::string Exchange::RequestHead() const {
  platform::ForwardedRequestFields forward_metadata;
  forward_metadata.backend = backend_->id;
  if (account_ != nullptr)
    forward_metadata.account = account_->id;
  forward_metadata.remaining_time = RemainingTime();
  if (service_->engine) {
    forward_metadata.priority = account_ != nullptr && account_->priority
                                    ? *account_->priority
                                    : route_->priority;
  }
  forward_metadata.resume_after_event = last_event_id_;
  forward_metadata.body_bytes = request_.body().size();
  forward_metadata.has_body = !request_.body().empty() ||
                              request_.method() == http::verb::post ||
                              request_.method() == http::verb::put ||
                              request_.method() == http::verb::patch;
  std::string head = std::string(request_.method_string()) + " " +
                     std::string(request_.target()) + " HTTP/1.1\r\n";
  platform::AppendForwardedFields(request_, forward_metadata, head);
  return head + "\r\n";
}

bool Exchange::IsListedIncarnation(const BackendConnection& connection) const {
  const BackendEntry* listed = context_.directory.Find(backend_->id);
  if (listed == nullptr || listed->incarnation != backend_->incarnation)
    return false;
  if (connection.incarnation)
    return *connection.incarnation == listed->incarnation;
  return !IsRegistryOutdated() ||
         context_.stream_versions.IsListedSince(connection.opened_at);
}

std::optional<std::string> Exchange::BegunVersion() const {
  return resumed_version_
             ? resumed_version_
             : context_.stream_versions.VersionOf(request_metadata_.attempt,
                                                  base::BootClock::now());
}

bool Exchange::NeedsWarmUpCheck(const BackendConnection& connection) const {
  // An instance that relays a connection makes the check itself.
  return !context_.cold_allowance.empty() && !is_warm_up_checked_ &&
         !connection.relay &&
         context_.cold_allowance.NeedsCheck(*backend_, connection.opened_at,
                                            base::BootClock::now());
}

void Exchange::AskForWarmUp(BackendConnectionPtr connection) {
  is_warm_up_checked_ = true;
  ArmTimer();
  CheckWarmUp(context_.loop, backend_->address, service_->health_path,
              std::move(connection),
              [self = shared_from_this(),
               backend = *backend_](IncarnationReport report) {
                NoteWarmUpCheck(self->context_, backend, report);
                if (!self->is_finished_)
                  self->OnWarmUpChecked(std::move(report));
                else if (report.connection)
                  self->context_.pool.PutIdle(backend,
                                              std::move(report.connection),
                                              steady_clock::now());
              });
}

void Exchange::OnWarmUpChecked(IncarnationReport report) {
  const base::MonoTime now = steady_clock::now();
  if (report.connection && !IsChoiceOutdated(now)) {
    UseConnection(std::move(report.connection));
    return;
  }
  // A process that closes the connection after its answer is known by now.
  if (report.is_answered && !report.connection && !IsChoiceOutdated(now)) {
    Connect();
    return;
  }
  if (report.connection)
    context_.pool.PutIdle(*backend_, std::move(report.connection), now);
  EndAttempt(AttemptEnd::kAbandoned);
  if (report.is_answered)
    StartAttempt();
  else
    ConnectElsewhere(true, false);
}

void Exchange::NoteConnectionLost() {
  if (context_.cold_allowance.empty())
    return;
  context_.cold_allowance.OnUnobserved(
      backend_->id, scheduling::ColdAllowance::Source::kConnectionLost,
      base::BootClock::now());
}

void Exchange::UseConnection(BackendConnectionPtr connection) {
  if (NeedsWarmUpCheck(*connection)) {
    AskForWarmUp(std::move(connection));
    return;
  }
  const bool needs_incarnation =
      route_->kind == RequestKind::kResumableStream && service_->engine &&
      (IsResume() || IsRegistryOutdated());
  if (!needs_incarnation) {
    SendRequest(std::move(connection));
    return;
  }
  // An instance that relays a connection takes its first response for that of
  // the request.
  if (connection->incarnation || connection->relay) {
    IncarnationReport report;
    report.is_answered = true;
    report.incarnation = connection->incarnation;
    report.connection = std::move(connection);
    OnIncarnation(std::move(report));
    return;
  }
  ArmTimer();
  CheckIncarnation(context_.loop, backend_->address, std::move(connection),
                   [self = shared_from_this()](IncarnationReport report) {
                     self->OnIncarnation(std::move(report));
                   });
}

void Exchange::OnIncarnation(IncarnationReport report) {
  const base::MonoTime now = steady_clock::now();
  if (is_finished_) {
    if (report.connection)
      context_.pool.PutIdle(*backend_, std::move(report.connection), now);
    return;
  }
  if (report.remaining_warm_up && report.connection) {
    context_.cold_allowance.OnResponse(*backend_, report.remaining_warm_up,
                                       report.connection->opened_at,
                                       report.sent_at, base::BootClock::now());
  }
  const bool is_listed =
      report.connection && IsListedIncarnation(*report.connection);
  {
    log::Event event(log::Level::kInfo, "incarnation_checked");
    AddRegistryFields(AddPlacementFields(event))
        .With("answered", report.is_answered)
        .With("reported", report.incarnation.value_or(0))
        .With("connected", report.connection != nullptr)
        .With("is_listed", is_listed);
  }
  // A stream that begins at another start than the listed one may have a
  // version that the store has no record of.
  const bool may_begin =
      !IsResume() && report.connection && !report.incarnation;
  if ((is_listed || may_begin) && !IsChoiceOutdated(now)) {
    SendRequest(std::move(report.connection));
    return;
  }
  EndAttempt(AttemptEnd::kAbandoned);
  // A backend server that leaves closes the connection after its report.
  if (report.is_answered)
    StartAttempt();
  else
    ConnectElsewhere(true, false);
}

bool Exchange::IsChoiceOutdated(base::MonoTime now) const {
  const BackendEntry* listed = context_.directory.Find(backend_->id);
  return context_.backoff.IsPaused(*backend_, now) ||
         context_.directory.IsLeaving(*backend_) ||
         (listed != nullptr && listed->incarnation != backend_->incarnation);
}

void Exchange::ChooseAgain(BackendConnectionPtr connection) {
  context_.pool.PutIdle(*backend_, std::move(connection), steady_clock::now());
  EndAttempt(AttemptEnd::kAbandoned);
  StartAttempt();
}

void Exchange::SendRequest(BackendConnectionPtr connection) {
  // On a busy instance the end of the caller's connection may wait behind other
  // work.
  if (response_writer_->HasCallerLeft()) {
    context_.pool.PutIdle(*backend_, std::move(connection),
                          steady_clock::now());
    OnCallerDisconnected();
    return;
  }
  if (!MayBeSentOn(*connection)) {
    // Another relay may reach the same backend server.
    if (connection->relay)
      tried_backends_.erase(backend_->id);
    ChooseAgain(std::move(connection));
    return;
  }
  if (!context_.cold_allowance.empty() &&
      !context_.cold_allowance.TrySend(*backend_, base::BootClock::now())) {
    context_.metrics.OnColdDeferred();
    // It was not tried, so that it may be chosen again.
    tried_backends_.erase(backend_->id);
    ChooseAgain(std::move(connection));
    return;
  }
  context_.metrics.OnAttempt(attempt_count_ == 0 ? "first" : "again");
  ++attempt_count_;
  is_sent_ = true;
  if (event_count_ > 0) {
    log::Event event(log::Level::kInfo, "stream_continued");
    AddRegistryFields(AddPlacementFields(event))
        .With("begun_version", BegunVersion().value_or(""))
        .With("events", event_count_);
  }
  sent_at_ = steady_clock::now();
  beginning_ = {service_->id, backend_->id, std::nullopt, connection->opened_at,
                connection->incarnation.has_value()};
  if (!IsRegistryOutdated() || connection->incarnation) {
    if (!connection->incarnation ||
        *connection->incarnation == backend_->incarnation)
      beginning_.version = backend_->software_version;
  }
  answering_incarnation_ =
      connection->incarnation.value_or(backend_->incarnation);
  is_writer_reported_ = connection->incarnation.has_value();
  relay_ = connection->relay;
  call_ = std::make_shared<BackendCall>(
      context_.pool, context_.overload, *backend_, std::move(connection),
      static_cast<BackendCall::Listener&>(*this), request_metadata_.attempt,
      request_.method() == http::verb::head);
  call_->Run(RequestHead(), request_.body(), shared_from_this());
  ArmTimer();
}

}  // namespace dandelionmill::gateway
