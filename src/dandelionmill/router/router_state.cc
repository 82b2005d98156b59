#include "dandelionmill/router/router_state.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/log/event.h"

namespace dandelionmill::router {
namespace {

constexpr std::chrono::milliseconds kHelloPeriod{500};

}  // namespace

RouterState::RouterState(Options options,
                         SendMessage send,
                         PublishConfig publish,
                         RouterMetrics& metrics)
    : identity_(std::move(options.identity)),
      send_(std::move(send)),
      publish_(std::move(publish)),
      metrics_(metrics),
      controls_(std::move(options.controls)),
      dispatcher_(identity_.zone, options.seed) {}

void RouterState::OnTick(base::MonoTime now) {
  pending_calls_.Expire(now);
  if (now >= next_hello_at_) {
    next_hello_at_ = now + kHelloPeriod;
    controls_.RemoveStale(now);
    limiter_.RemoveIdle(now);
    SendHellos();
  }
  CheckReservations(now);
  SendSettlements(now);
  const std::set<base::BackendId> leaving = controls_.LeavingBackends(now);
  if (leaving != leaving_backends_) {
    leaving_backends_ = leaving;
    ApplyDecisions(dispatcher_.SetLeavingBackends(leaving, now), now);
  }
  ApplyDecisions(dispatcher_.OnTick(now), now);
}

void RouterState::OnLoad(const base::BackendId& backend,
                         const std::optional<routing::LoadReport>& report,
                         base::MonoTime now) {
  if (report)
    ApplyDecisions(dispatcher_.OnLoadReport(backend, *report, now), now);
  else
    dispatcher_.OnLoadReportFailed(backend, now);
}

void RouterState::OnCacheEvents(
    const base::BackendId& backend,
    const std::vector<routing::CacheEvent>& events) {
  dispatcher_.OnCacheEvents(backend, events);
}

void RouterState::OnLeave(base::MonoTime now) {
  leaving_ = true;
  next_hello_at_ = now;
  OnTick(now);
}

bool RouterState::IsDrained() const {
  return requests_.empty() && outbox_.pending() == 0;
}

RouterState::ActiveRequest* RouterState::Find(Number number) {
  const auto found = requests_.find(number);
  return found == requests_.end() ? nullptr : &found->second;
}

std::optional<RouterState::Number> RouterState::FindByAttempt(
    const base::AttemptId& attempt) const {
  for (const auto& [number, request] : requests_) {
    if (request.held && request.held->attempt == attempt)
      return number;
  }
  return std::nullopt;
}

std::string RouterState::Dump(base::MonoTime now) const {
  nlohmann::json dump;
  dump["router"] = identity_.router.value();
  dump["instance"] = identity_.instance.value();
  dump["zone"] = identity_.zone.value();
  dump["leaving"] = leaving_;
  dump["config_version"] = follower_.version();
  dump["config_problem"] = follower_.problem();
  dump["running_requests"] = requests_.size();
  dump["held_grants"] = ledger_.running();
  dump["settlements_pending"] = outbox_.pending();
  dump["pending_calls"] = pending_calls_.size();
  nlohmann::json& controls = dump["controls"] = nlohmann::json::array();
  for (const base::HolderId& holder : controls_.LiveControls(now))
    controls.push_back(holder.value());
  nlohmann::json& closed = dump["closed_holders"] = nlohmann::json::array();
  for (const base::HolderId& holder : ledger_.closed())
    closed.push_back(holder.value());
  nlohmann::json& requests = dump["requests"] = nlohmann::json::array();
  for (const auto& [number, request] : requests_) {
    requests.push_back(
        {{"number", number},
         {"account", request.info->request.account.value()},
         {"service", request.info->request.service.value()},
         {"attempt", request.held ? request.held->attempt.value() : ""},
         {"backend", request.backend.value()},
         {"reserving", request.reservation.has_value()},
         {"running", request.running},
         {"attached", request.attached}});
  }
  dispatcher_.Dump(dump, now);
  return dump.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace dandelionmill::router
