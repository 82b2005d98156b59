#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "dandelionmill/gateway/exchange.h"
#include "dandelionmill/log/event.h"

// The end of a request: refusal, token settlement and final log event.
namespace dandelionmill::gateway {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// Logged where no load is estimated for the chosen backend server.
constexpr long kNoEstimate = -1;  // NOLINT(google-runtime-int): as std::lround

}  // namespace

void Exchange::Refuse(const Refusal& refusal) {
  const int code = static_cast<int>(refusal.code);
  const char* outcome = refusal.ran == base::Ran::kNo ? "refused" : "failed";
  if (is_head_sent_) {
    response_writer_->Abort();
    response_writer_ = nullptr;
    CompleteRequest("failed", sent_status_, code, refusal.detail);
    return;
  }
  // The balancer gives the retry to an instance that may know more.
  if (refusal.code == base::Code::kConfigBehind ||
      refusal.code == base::Code::kBudgetUnknown)
    caller_keeps_connection_ = false;
  DecideConnection();
  response_writer_->Send(ToHttpResponse(refusal, request_metadata_.attempt,
                                        !caller_keeps_connection_));
  CompleteRequest(outcome, refusal.status, code, refusal.detail);
}

void Exchange::DecideConnection() {
  if (context_.ShouldCloseConnection())
    caller_keeps_connection_ = false;
}

void Exchange::SettleTokens() {
  if (reserved_tokens_ == 0)
    return;
  base::Tokens used = 0;
  const bool ran = event_count_ > 0 || may_have_run_ ||
                   (is_sent_ && !response_metadata_.not_executed);
  if (ran) {
    // A response that is not a stream may use all reserved output tokens.
    const base::Tokens output =
        IsStream(route_->kind) && service_->engine
            ? event_count_ * service_->engine->tokens_per_event
            : request_metadata_.model->max_output_tokens;
    used = request_metadata_.model->prompt_tokens +
           std::min(output, request_metadata_.model->max_output_tokens);
  }
  context_.token_pool.Settle(account_->id, reserved_tokens_, used);
  used_tokens_ = used;
}

void Exchange::CompleteRequest(const char* outcome,
                               int status,
                               int code,
                               const std::string& detail) {
  if (std::exchange(is_finished_, true))
    return;
  timer_.cancel();
  if (reservation_waiter_ != 0)
    context_.token_pool.Cancel(reservation_waiter_);
  SettleTokens();
  --context_.open_exchange_count;
  const base::MonoTime now = steady_clock::now();
  const auto ms_since_start = [this](base::MonoTime at) {
    return at == base::MonoTime()
               ? milliseconds(-1)
               : duration_cast<milliseconds>(at - started_at_);
  };
  const char* kind = route_ == nullptr ? "unrouted" : ToString(route_->kind);
  log::Event event(log::Level::kInfo, "request_ended");
  AddPlacementFields(event)
      .With("route", route_ == nullptr ? "" : route_->name)
      .With("kind", kind)
      .With("account", account_ == nullptr ? "" : account_->id.value())
      .With("service", service_ == nullptr ? "" : service_->id.value())
      .With("config", config_ ? config_->version() : 0)
      .With("config_age_ms",
            context_.config_confirmation.Age(base::BootClock::now())
                .value_or(milliseconds(-1)))
      .With("attempts", attempt_count_)
      .With("no_retry", no_retry_reason_)
      .With("outcome", outcome)
      .With("status", status)
      .With("code", code)
      .With("detail", detail)
      .With("events", event_count_)
      .With("reserved", reserved_tokens_)
      .With("used", used_tokens_)
      .With("sent_ms", ms_since_start(sent_at_))
      .With("first_event_ms", ms_since_start(first_event_at_))
      .With("total_ms", ms_since_start(now));
  context_.metrics.OnRequestEnded(
      kind, outcome, code, duration_cast<milliseconds>(now - started_at_));
  if (response_writer_ != nullptr) {
    std::exchange(response_writer_, nullptr)
        ->EndResponse(caller_keeps_connection_);
  }
}

log::Event& Exchange::AddRegistryFields(log::Event& event) const {
  const BackendEntry* listed = context_.directory.Find(backend_->id);
  event.With("incarnation", backend_->incarnation)
      .With("listed_incarnation", listed == nullptr ? 0 : listed->incarnation)
      .With("registry_age_ms",
            duration_cast<milliseconds>(base::BootClock::now() -
                                        context_.directory.as_of()));
  return event;
}

log::Event& Exchange::AddPlacementFields(log::Event& event) const {
  event.With("request", request_metadata_.attempt)
      .With("backend", backend_ ? backend_->id.value() : "")
      .With("relay", relay_ ? relay_->id.value() : "")
      .With("version", backend_ ? backend_->software_version : "")
      .With("resumes", request_metadata_.resumed_attempt)
      .With("after_event", request_metadata_.last_event_id)
      .With("expected_ms", choice_.expected_wait)
      .With("uncached", choice_.uncached_tokens)
      .With("in_flight", choice_.in_flight)
      .With("load_age_ms", choice_.load_age.value_or(milliseconds(-1)))
      .With("others",
            choice_.load ? std::lround(choice_.load->others) : kNoEstimate)
      .With("work_time_percent",
            choice_.load ? std::lround(100 * choice_.load->work_time)
                         : kNoEstimate);
  return event;
}

}  // namespace dandelionmill::gateway
