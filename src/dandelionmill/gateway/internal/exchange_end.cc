#include <algorithm>
#include <string>
#include <utility>

#include "dandelionmill/gateway/exchange.h"
#include "dandelionmill/log/event.h"

// How a request ends: its refusal, its tokens and its last log line.
namespace dandelionmill::gateway {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

void Exchange::Refuse(const Refusal& refusal) {
  const int code = static_cast<int>(refusal.code);
  const char* outcome = refusal.ran == base::Ran::kNo ? "refused" : "failed";
  if (head_sent_) {
    caller_->Abort();
    caller_ = nullptr;
    Finish("failed", head_status_, code, refusal.detail);
    return;
  }
  caller_->Send(
      ToAnswer(refusal, terms_.attempt,
               !caller_keeps_connection_ || core_.ShedsConnections()));
  Finish(outcome, refusal.status, code, refusal.detail);
}

void Exchange::SettleTokens() {
  if (reserved_ == 0)
    return;
  base::Tokens used = 0;
  const bool ran =
      events_ > 0 || may_have_run_ || (sends_ > 0 && !answer_.not_executed);
  if (ran) {
    // An answer that is no stream may hold all tokens.
    const base::Tokens output =
        IsStream(route_->kind) && service_->engine
            ? events_ * service_->engine->tokens_per_event
            : terms_.model->max_output_tokens;
    used = terms_.model->prompt_tokens +
           std::min(output, terms_.model->max_output_tokens);
  }
  core_.keeper.Settle(account_->id, reserved_, used);
  used_ = used;
}

void Exchange::Finish(const char* outcome,
                      int status,
                      int code,
                      const std::string& detail) {
  if (std::exchange(is_finished_, true))
    return;
  timer_.cancel();
  if (waiter_ != 0)
    core_.keeper.Cancel(waiter_);
  SettleTokens();
  --core_.open_exchanges;
  const base::MonoTime now = steady_clock::now();
  const auto since = [this](base::MonoTime at) {
    return at == base::MonoTime() ? milliseconds(-1)
                                  : duration_cast<milliseconds>(at - begun_);
  };
  const char* kind = route_ == nullptr ? "unrouted" : ToString(route_->kind);
  log::Event event(log::Level::kInfo, "request_ended");
  WithChoice(event)
      .With("route", route_ == nullptr ? "" : route_->name)
      .With("kind", kind)
      .With("account", account_ == nullptr ? "" : account_->id.value())
      .With("service", service_ == nullptr ? "" : service_->id.value())
      .With("config", config_ ? config_->version() : 0)
      .With("attempts", sends_)
      .With("no_retry", no_retry_)
      .With("outcome", outcome)
      .With("status", status)
      .With("code", code)
      .With("detail", detail)
      .With("events", events_)
      .With("reserved", reserved_)
      .With("used", used_)
      .With("sent_ms", since(sent_at_))
      .With("first_event_ms", since(first_event_at_))
      .With("total_ms", since(now));
  core_.metrics.OnRequestEnded(kind, outcome, code,
                               duration_cast<milliseconds>(now - begun_));
  if (caller_ != nullptr) {
    std::exchange(caller_, nullptr)
        ->Finish(caller_keeps_connection_ && !core_.ShedsConnections());
  }
}

log::Event& Exchange::WithChoice(log::Event& event) const {
  event.With("request", terms_.attempt)
      .With("backend", backend_ ? backend_->id.value() : "")
      .With("expected_ms", choice_.expected_wait)
      .With("uncached", choice_.uncached_tokens)
      .With("in_flight", choice_.in_flight)
      .With("load_age_ms", choice_.load_age.value_or(milliseconds(-1)));
  return event;
}

}  // namespace dandelionmill::gateway
