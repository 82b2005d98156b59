#include "dandelionmill/gateway/internal/response_end.h"

#include <algorithm>
#include <utility>

#include "dandelionmill/gateway/exchange.h"
#include "dandelionmill/log/event.h"

// The end of responses whose body ends with the connection: whether they are
// whole.
namespace dandelionmill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Longest wait for proof that a response without framing is complete: two
// connections and the reports on them.
constexpr milliseconds kMaxEndConfirmTime{1500};
constexpr int kMaxEndProbes = 2;
// How long after the time limit that proof may come.
constexpr milliseconds kEndConfirmGrace{30};
// Longest idle time of a connection that is used for it.
constexpr milliseconds kMaxIdleForProbe{60000};

// Time from the end of a connection until its backend server is probed: a
// process that crashes closes its connections and its listening socket one
// after the other.
constexpr milliseconds kCrashSettleTime{20};

// Whether a response that ended with its connection may have been cut short by
// the crash of its backend server or of the instance that relayed it, judging
// by another connection on the same path.
bool ShowsCrash(const ConnectionPool::Result& probe, bool is_relayed) {
  const auto* failure = std::get_if<ConnectFailure>(&probe);
  if (failure == nullptr)
    return false;
  return *failure == ConnectFailure::kRefused ||
         (is_relayed && *failure != ConnectFailure::kUnreachable);
}

}  // namespace

namespace internal {

bool EndsWithConnection(const boost::beast::http::fields& fields) {
  return fields.count(boost::beast::http::field::content_length) == 0 &&
         fields.count(boost::beast::http::field::transfer_encoding) == 0;
}

void ProbeBackend(GatewayContext& context,
                  const BackendEntry& backend,
                  const std::optional<peer::Instance>& relay,
                  ConnectionPool::Handler handler) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      context.loop, kCrashSettleTime);
  timer->async_wait(
      [&context, backend, relay, timer,
       handler = std::move(handler)](boost::system::error_code error) mutable {
        if (!error)
          context.connector.ConnectAgain(backend, relay, std::move(handler));
      });
}

}  // namespace internal

using internal::ProbeBackend;

void Exchange::IdentifyWriter() {
  // What is read after a standstill may have been written by an earlier
  // process.
  if (is_writer_reported_ || IsReadingLate())
    return;
  auto ask = [self = shared_from_this(), backend = *backend_,
              attempt = attempt_count_](ConnectionPool::Result result) mutable {
    auto* connection = std::get_if<BackendConnectionPtr>(&result);
    if (connection == nullptr)
      return;
    boost::asio::io_context& loop = self->context_.loop;
    CheckIncarnation(
        loop, backend.address, std::move(*connection),
        [self, backend, attempt](IncarnationReport report) {
          if (report.connection) {
            self->context_.pool.PutIdle(backend, std::move(report.connection),
                                        steady_clock::now());
          }
          // A report that comes after the end may be a later process's.
          if (report.incarnation && self->call_ &&
              self->attempt_count_ == attempt && !self->is_confirming_end_ &&
              !self->IsReadingLate()) {
            self->answering_incarnation_ = *report.incarnation;
            self->is_writer_reported_ = true;
          }
        });
  };
  if (auto connection = context_.pool.TakeIdle(*backend_, kMaxIdleForProbe))
    ask(std::move(connection));
  else
    context_.connector.ConnectAgain(*backend_, relay_, ask);
}

void Exchange::ConfirmEnd() {
  if (is_event_stream_ && attempt_first_event_at_ == base::MonoTime()) {
    OnBroken("the stream ended without an event");
    return;
  }
  is_confirming_end_ = true;
  may_end_be_old_ = is_body_old_ || IsReadingLate();
  timer_.expires_at(std::min(steady_clock::now() + kMaxEndConfirmTime,
                             deadline_ + kEndConfirmGrace));
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (!error && self)
      self->OnEndChecked(EndCheck::kUnknown, "timeout");
  });
  // One that is open already counts towards no limit of the backend server.
  if (service_->engine && !relay_) {
    if (auto connection = context_.pool.TakeIdle(*backend_, kMaxIdleForProbe)) {
      AskForEnd(std::move(connection), kMaxEndProbes);
      return;
    }
  }
  ProbeEnd(kMaxEndProbes);
}

void Exchange::ProbeEnd(int probes) {
  // A later attempt may have begun when the connection is open.
  ProbeBackend(
      context_, *backend_, relay_,
      [self = shared_from_this(), backend = *backend_, attempt = attempt_count_,
       probes](ConnectionPool::Result result) {
        if (self->is_finished_ || !self->is_confirming_end_ ||
            self->attempt_count_ != attempt) {
          if (auto* connection = std::get_if<BackendConnectionPtr>(&result)) {
            self->context_.pool.PutIdle(backend, std::move(*connection),
                                        steady_clock::now());
          }
          return;
        }
        self->OnEndProbed(std::move(result), probes);
      });
}

void Exchange::OnEndProbed(ConnectionPool::Result result, int probes) {
  auto* connection = std::get_if<BackendConnectionPtr>(&result);
  if (ShowsCrash(result, relay_.has_value())) {
    OnEndChecked(EndCheck::kCrashed, "refused");
  } else if (connection == nullptr) {
    if (probes > 1)
      ProbeEnd(probes - 1);
    else
      OnEndChecked(EndCheck::kUnknown, "not reached");
  } else if (service_->engine) {
    AskForEnd(std::move(*connection), probes);
  } else {
    context_.pool.PutIdle(*backend_, std::move(*connection),
                          steady_clock::now());
    OnEndChecked(EndCheck::kConnected, "connected");
  }
}

void Exchange::AskForEnd(BackendConnectionPtr connection, int probes) {
  CheckIncarnation(
      context_.loop, backend_->address, std::move(connection),
      [self = shared_from_this(), backend = *backend_, attempt = attempt_count_,
       probes](IncarnationReport report) {
        if (report.connection) {
          self->context_.pool.PutIdle(backend, std::move(report.connection),
                                      steady_clock::now());
        }
        if (!self->is_finished_ && self->is_confirming_end_ &&
            self->attempt_count_ == attempt)
          self->OnEndReport(std::move(report), probes);
      });
}

void Exchange::OnEndReport(IncarnationReport report, int probes) {
  if (!report.is_answered && probes > 1)
    ProbeEnd(probes - 1);
  else if (!report.is_answered)
    OnEndChecked(EndCheck::kUnknown, "no answer");
  else if (!report.incarnation)
    OnEndChecked(EndCheck::kConnected, "no report");
  else if (*report.incarnation == answering_incarnation_)
    OnEndChecked(EndCheck::kSameIncarnation, "reported");
  else if (IsWriterKnown())
    OnEndChecked(EndCheck::kCrashed, "reported another start");
  else
    OnEndChecked(EndCheck::kConnected, "reported an unlisted start");
}

bool Exchange::IsWriterKnown() const {
  return is_writer_reported_ ||
         context_.stream_versions.IsListedSince(beginning_.connected_at);
}

bool Exchange::IsReadingLate() const {
  const base::BootTime now = base::BootClock::now();
  return context_.standstill.MayBeBehind(now) ||
         now - long_pause_ended_at_ < StandstillDetector::kBacklogTime;
}

void Exchange::OnEndChecked(EndCheck check, const char* detail) {
  if (is_finished_ || !std::exchange(is_confirming_end_, false))
    return;
  const BackendEntry* listed = context_.directory.Find(backend_->id);
  const bool is_replaced = listed != nullptr &&
                           listed->incarnation != answering_incarnation_ &&
                           IsWriterKnown();
  // A connection alone proves nothing if the backend server has had the time to
  // crash and to start again.
  const bool is_whole =
      check == EndCheck::kSameIncarnation ||
      (check == EndCheck::kConnected && !is_replaced && !may_end_be_old_);
  {
    log::Event event(log::Level::kInfo, "response_end_checked");
    AddRegistryFields(AddPlacementFields(event))
        .With("events", event_count_)
        .With("check", detail)
        .With("may_be_old", may_end_be_old_)
        .With("complete", is_whole);
  }
  if (is_whole)
    FinishResponse();
  else
    OnBroken("the response may have been cut short");
}

}  // namespace dandelionmill::gateway
