#include "dandelionmill/control/orders_module.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/membership/ownership.h"

namespace dandelionmill::control {
namespace {

constexpr int kEngineThreads = 2;
// Controls that compete for the lease of a service.
constexpr std::size_t kCandidates = 3;
constexpr base::Millis kBusyPollPeriod{2000};
constexpr base::Millis kIdlePollPeriod{10000};
// An order that is still queued after this long is not sent. The sum of this
// and EngineClient::kTimeout stays within the time that a new holder waits.
constexpr base::Millis kOrderQueueTimeout{1000};

}  // namespace

OrdersModule::OrdersModule(Context& context)
    : context_(context), engines_(kEngineThreads) {}

void OrdersModule::OnConfig() {
  for (const inventory::Service& spec : context_.config->core().services) {
    if (spec.kind != inventory::ServiceKind::kModel)
      continue;
    const auto [found, added] = services_.try_emplace(
        spec.id,
        orders::OrderLease("orders/" + spec.id.value(), context_.holder,
                           orders::OrderLease::Options()));
    Service& service = found->second;
    service.planner.SetDesired(orders::DesiredStates(*context_.config, spec));
    service.next_poll = base::MonoTime();
    const auto& backends = context_.config->core().backends;
    service.lease.SetSettleRequired(
        std::any_of(backends.begin(), backends.end(), [&](const auto& backend) {
          return backend.service == spec.id && !backend.checks_fencing;
        }));
  }
  // Removed services are kept: a pending result from the table may still refer
  // to their lease.
  for (auto& [id, service] : services_) {
    if (context_.config->FindService(id) == nullptr)
      service.planner.SetDesired({});
  }
}

void OrdersModule::OnLeave() {
  for (auto& [id, service] : services_)
    service.lease.Resign();
}

void OrdersModule::OnTick(base::MonoTime now) {
  now_ = now;
  ProcessReplies(now);
  for (auto& [id, service] : services_) {
    MaintainLease(id, service, now);
    if (!service.lease.Fence(now))
      continue;
    Poll(id, service, now);
    SendOrders(id, service, now);
  }
}

bool OrdersModule::IsCandidate(const base::ServiceId& id) const {
  std::vector<base::InstanceId> instances;
  for (const membership::Member& member : context_.members.members) {
    if (member.instance == context_.instance ||
        (member.reachable && !member.leaving))
      instances.push_back(member.instance);
  }
  const auto ranked = membership::RankOwners("orders/" + id.value(), instances);
  const auto end = ranked.begin() + std::min(kCandidates, ranked.size());
  return ranked.empty() ||
         std::find(ranked.begin(), end, context_.instance) != end;
}

void OrdersModule::MaintainLease(const base::ServiceId& id,
                                 Service& service,
                                 base::MonoTime now) {
  if (context_.leaving || (!service.lease.IsHolder() && !IsCandidate(id)) ||
      service.planner.size() == 0)
    return;
  if (service.lease.IsHolder() != service.was_holder) {
    service.was_holder = service.lease.IsHolder();
    service.planner.Reset();
    log::Event(log::Level::kInfo, "order_lease")
        .With("service", id)
        .With("held", service.was_holder);
  }
  const auto action = service.lease.OnTick(now);
  if (!action)
    return;
  orders::OrderLease& lease = service.lease;
  std::visit(base::Overloaded{
                 [&](const orders::OrderLease::ReadRow&) {
                   context_.platform.Read(
                       lease.key(),
                       [this, &lease](const base::Result<storage::Row>& row) {
                         lease.OnRead(row, now_);
                       });
                 },
                 [&](const orders::OrderLease::WriteRow& write) {
                   context_.platform.Commit(
                       storage::Transaction{{write.write}},
                       [this, &lease](const base::Status& status) {
                         lease.OnWritten(status, now_);
                       });
                 }},
             *action);
}

void OrdersModule::Poll(const base::ServiceId& id,
                        Service& service,
                        base::MonoTime now) {
  if (now < service.next_poll)
    return;
  const bool idle = service.planner.CountSettled() == service.planner.size();
  service.next_poll = now + (idle ? kIdlePollPeriod : kBusyPollPeriod);
  for (const inventory::Backend& backend : context_.config->core().backends) {
    if (backend.service == id &&
        service.pending_reports.insert(backend.id).second)
      engines_.QueryModels(id, backend.id, backend.address);
  }
}

void OrdersModule::SendOrders(const base::ServiceId& id,
                              Service& service,
                              base::MonoTime now) {
  for (const base::BackendId& backend : service.planner.EnginesToOrder(now)) {
    const inventory::Backend* spec = context_.config->FindBackend(backend);
    // The lease may have expired since `now` if the process was paused.
    const auto fence = service.lease.Fence(std::chrono::steady_clock::now());
    if (spec == nullptr || !fence)
      return;
    service.planner.OnOrderSent(backend, now);
    engines_.SendOrder(
        id, backend, spec->address,
        orders::OrderBody(*service.planner.Desired(backend), *fence),
        now + kOrderQueueTimeout);
  }
}

void OrdersModule::ProcessReplies(base::MonoTime now) {
  for (const internal::EngineReply& reply : engines_.TakeReplies()) {
    std::visit(
        base::Overloaded{[&](const internal::EngineReport& report) {
                           Service* service = Find(report.service);
                           if (service == nullptr)
                             return;
                           service->pending_reports.erase(report.backend);
                           if (report.models)
                             service->planner.OnReport(report.backend,
                                                       *report.models, now);
                           else
                             service->planner.OnReportFailed(report.backend);
                         },
                         [&](const internal::OrderReply& order) {
                           Service* service = Find(order.service);
                           if (service == nullptr)
                             return;
                           service->planner.OnOrderAnswered(
                               order.backend, order.accepted, now);
                           if (order.higher_fence > 0)
                             service->lease.OnHigherFence(order.higher_fence);
                           log::Event(log::Level::kInfo, "order")
                               .With("backend", order.backend)
                               .With("accepted", order.accepted)
                               .With("higher_fence", order.higher_fence);
                         }},
        reply);
  }
}

OrdersModule::Service* OrdersModule::Find(const base::ServiceId& id) {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : &found->second;
}

void OrdersModule::Dump(nlohmann::json& dump) const {
  for (const auto& [id, service] : services_) {
    dump["orders"][id.value()] = {
        {"held", service.lease.IsHolder()},
        {"fence", service.lease.Fence(now_).value_or(0)},
        {"engines", service.planner.size()},
        {"settled", service.planner.CountSettled()},
        {"loading", service.planner.CountLoading(now_)}};
  }
}

}  // namespace dandelionmill::control
