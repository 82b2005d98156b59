#include "dandelionmill/gateway/gateway.h"

#include <utility>

#include "dandelionmill/log/event.h"

// The end of the process.
namespace dandelionmill::gateway {
namespace {

using std::chrono::milliseconds;

// Time after the start of a shutdown until the balancer sends no new
// connections: two readiness checks one second apart, and one in flight.
constexpr milliseconds kBalancerRemovalTime{2600};
// Time after the start of a shutdown during which every request is accepted,
// even if its deadline is after the end of the process.
constexpr milliseconds kNewRequestTime{2800};
// Time after the start of a shutdown at which idle caller connections are
// closed.
constexpr milliseconds kCloseIdleAfter{1500};
// Time before the end of the shutdown grace at which the remaining requests
// fail and tokens are returned: allows for two store calls that both time out
// before the platform kills the process.
constexpr milliseconds kTokenReturnTime{1000};
// Time before the end of the shutdown grace at which the process exits without
// waiting for calls in progress.
constexpr milliseconds kForcedExitMargin{400};

}  // namespace

void Gateway::Shutdown(std::function<void()> done) {
  if (context_.is_shutting_down)
    return;
  log::Event(log::Level::kInfo, "leaving")
      .With("open_requests", context_.open_exchange_count);
  on_shutdown_complete_ = std::move(done);
  shutdown_started_at_ = std::chrono::steady_clock::now();
  context_.is_shutting_down = true;
  context_.shutdown_window = {
      shutdown_started_at_ + kNewRequestTime,
      shutdown_started_at_ + settings_.shutdown_grace - kTokenReturnTime};
}

void Gateway::OnShutdownTick(base::MonoTime now) {
  const auto elapsed = now - shutdown_started_at_;
  if (elapsed >= settings_.shutdown_grace - kForcedExitMargin) {
    CompleteShutdown();
    return;
  }
  const bool is_time_over =
      elapsed >= settings_.shutdown_grace - kTokenReturnTime;
  const auto sessions = sessions_;
  for (const auto& [key, session] : sessions) {
    if (is_time_over)
      session->Shutdown();
    else if (elapsed >= kCloseIdleAfter)
      session->CloseIfIdle();
  }
  if (is_returning_tokens_) {
    CompleteIfWritten();
    return;
  }
  if (elapsed >= kBalancerRemovalTime)
    token_pool_.BeginReturn();
  if (is_time_over)
    relay_server_.Stop();
  if (is_time_over || (elapsed >= kBalancerRemovalTime && !IsServing()))
    ReturnTokensAndDeregister();
}

bool Gateway::IsServing() const {
  // Idle connections are closed by the time this is asked. On any other one, a
  // request is in progress or has begun to arrive.
  return !sessions_.empty() || relay_server_.open_count() > 0;
}

void Gateway::ReturnTokensAndDeregister() {
  is_returning_tokens_ = true;
  context_.shutdown_window = ShutdownWindow::Closed();
  acceptor_.Stop();
  token_pool_.ReturnAll([this] {
    fleet_members_.Deregister([this] {
      is_deregistered_ = true;
      CompleteIfWritten();
    });
  });
}

void Gateway::CompleteIfWritten() {
  if (is_deregistered_ && !IsServing())
    CompleteShutdown();
}

void Gateway::CompleteShutdown() {
  if (!on_shutdown_complete_)
    return;
  log::Event(log::Level::kInfo, "left")
      .With("open_requests", context_.open_exchange_count);
  std::exchange(on_shutdown_complete_, nullptr)();
}

}  // namespace dandelionmill::gateway
