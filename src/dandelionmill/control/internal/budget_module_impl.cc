#include "dandelionmill/control/internal/budget_module_impl.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/metrics/registry.h"

namespace dandelionmill::control {
namespace {

// A router that has sent nothing for this long gets no slice of new leases.
constexpr std::chrono::milliseconds kRouterTimeout{10000};

budget::LeasePolicy PolicyFor(const inventory::Snapshot& config,
                              const inventory::Budget& budget,
                              std::size_t instances) {
  switch (config.rules().lease_policy) {
    case inventory::LeasePolicy::kFixedSplit:
      return budget::FixedSplitPolicy{static_cast<int>(instances)};
    case inventory::LeasePolicy::kPerRequest:
      return budget::PerRequestPolicy{};
    case inventory::LeasePolicy::kDemand:
      break;
  }
  int zones = 0;
  for (const inventory::Region& region : config.core().regions)
    zones += static_cast<int>(region.zones.size());
  const auto reserve =
      budget.reserve.count() > 0 ? budget.reserve : config.rules().reserve;
  return budget::DemandPolicy{reserve, std::max(1, zones)};
}

}  // namespace

bool IsHolderIdOf(const base::HolderId& holder, const base::HolderId& process) {
  const std::string& id = process.value();
  return holder == process ||
         holder.value().compare(0, id.size() + 1, id + ".") == 0;
}

BudgetModule::Impl::Impl(Context& context)
    : context_(context),
      recovery_(context.platform, context.zone, RecoveryHooks()),
      charges_(context.platform,
               context.holder,
               [this](const std::vector<base::AttemptId>& attempts) {
                 Acknowledge(attempts);
               }),
      claims_(context.platform),
      now_(std::chrono::steady_clock::now()),
      next_sweep_(now_ + kSweepPeriod / 3) {
  BeginEpoch();
}

void BudgetModule::Impl::BeginEpoch() {
  std::string id = context_.holder.value();
  if (!epochs_.empty())
    id += "." + std::to_string(epochs_.size() + 1);
  const std::size_t number = epochs_.size();
  Epoch epoch;
  epoch.row = std::make_unique<HolderRow>(
      context_.platform, base::HolderId(id), context_.zone, context_.instance,
      [this, number] { epochs_[number].leases->OnHolderRow(); });
  BudgetLeases::Hooks hooks;
  hooks.budget_config = [this](const budget::BudgetKey& key) {
    return FindBudgetConfig(key);
  };
  hooks.live_routers = [this]() -> const std::set<base::RouterId>& {
    return live_routers_;
  };
  hooks.on_other_lease = [this](const budget::BudgetKey& key,
                                const base::HolderId& holder,
                                const std::set<base::HolderId>& counted) {
    if (!IsOfAnotherZone(holder))
      recovery_.OnLease(key, holder, counted);
  };
  hooks.on_shortage =
      [this](const budget::BudgetKey& key, const base::HolderId& holder,
             base::Tokens wanted) { SendRecall(key, holder, wanted); };
  hooks.on_closed = [this, number] {
    if (number + 1 == epochs_.size())
      OnEpochClosed();
  };
  epoch.leases = std::make_unique<BudgetLeases>(context_.platform, *epoch.row,
                                                std::move(hooks));
  epochs_.push_back(std::move(epoch));
  for (const base::RouterId& router : live_routers_)
    holder_row().AddRouter(router);
}

// Another control considered this process lost and closed its holder. The other
// control now accounts for the attempts; this process continues under a new id.
void BudgetModule::Impl::OnEpochClosed() {
  log::Event(log::Level::kWarning, "holder_closed")
      .With("holder", holder_row().holder());
  std::vector<BudgetLeases::TokenRequest> waiting = leases().TakeWaiting();
  BeginEpoch();
  for (BudgetLeases::TokenRequest& request : waiting)
    leases().Reserve(std::move(request), now_);
}

void BudgetModule::Impl::OnMessage(const wire::Route& from,
                                   const wire::Envelope& message) {
  now_ = std::max(now_, std::chrono::steady_clock::now());
  switch (message.body_case()) {
    case wire::Envelope::kReserveRequest:
      return OnReserve(from, message);
    case wire::Envelope::kDispatched:
      return OnDispatched(message);
    case wire::Envelope::kShrink:
      return OnShrink(message);
    case wire::Envelope::kCallerGone:
      return OnCallerGone(from, message);
    case wire::Envelope::kSettle:
      return OnSettle(from, message);
    case wire::Envelope::kRouterHello:
      return RegisterRouter(from,
                            base::RouterId(message.router_hello().router()));
    case wire::Envelope::kCloseReport:
      return recovery_.OnReport(message.close_report());
    case wire::Envelope::kRecall:
      return leases().Recall({base::AccountId(message.recall().account()),
                              message.recall().budget()},
                             now_);
    default:
      return;
  }
}

void BudgetModule::Impl::RegisterRouter(const wire::Route& from,
                                        const base::RouterId& router) {
  routers_[router] = {from, now_};
  live_routers_.insert(router);
  holder_row().AddRouter(router);
}

void BudgetModule::Impl::ExpireRouters() {
  for (auto router = routers_.begin(); router != routers_.end();) {
    if (now_ - router->second.last_seen < kRouterTimeout) {
      ++router;
      continue;
    }
    live_routers_.erase(router->first);
    router = routers_.erase(router);
  }
}

std::optional<BudgetConfig> BudgetModule::Impl::FindBudgetConfig(
    const budget::BudgetKey& key) const {
  if (!context_.config)
    return std::nullopt;
  const inventory::Account* account = context_.config->FindAccount(key.account);
  if (account == nullptr)
    return std::nullopt;
  for (const inventory::Budget& budget : account->budgets) {
    if (budget.name != key.name)
      continue;
    const std::size_t instances =
        std::max<std::size_t>(1, context_.members.members.size());
    return BudgetConfig{budget.granted,
                        PolicyFor(*context_.config, budget, instances)};
  }
  return std::nullopt;
}

void BudgetModule::Impl::SendRecall(const budget::BudgetKey& key,
                                    const base::HolderId& holder,
                                    base::Tokens wanted) {
  for (const membership::Member& member : context_.members.members) {
    if (!IsHolderIdOf(holder, member.holder))
      continue;
    wire::Envelope envelope;
    wire::Recall& recall = *envelope.mutable_recall();
    recall.set_account(key.account.value());
    recall.set_budget(key.name);
    recall.set_wanted_tokens(wanted);
    context_.bus.Send(context_.bus.Connect(member.address),
                      std::move(envelope));
  }
}

void BudgetModule::Impl::OnTick(base::MonoTime now) {
  now_ = std::max(now_, now);
  for (const Epoch& epoch : epochs_)
    epoch.row->OnTick(now_);
  leases().OnTick(now_);
  recovery_.OnTick(now_);
  charges_.OnTick(now_);
  claims_.OnTick(now_);
  ProcessLookups();
  CancelAbandoned();
  if (now_ < next_maintenance_)
    return;
  next_maintenance_ = now_ + std::chrono::seconds(1);
  ExpireRouters();
  CheckOrphans();
  SweepHolders();
  attempts_.Expire(now_);
  charges_.SetFleetSize(context_.members.members.size());
  UpdateMetrics();
}

void BudgetModule::Impl::OnLeave() {
  charges_.Flush();
  leases().OnLeave();
}

bool BudgetModule::Impl::IsDrained() const {
  return attempts_.running() == 0 && charges_.size() == 0 &&
         claims_.IsDrained() && leases().IsDrained();
}

void BudgetModule::Impl::UpdateMetrics() {
  metrics::Registry& metrics = context_.metrics;
  const BudgetLeases::Counters& counters = leases().counters();
  metrics
      .GetGauge("dandelion_lease_draws", "Draws from budgets by this holder.")
      .Set(counters.draws);
  metrics.GetGauge("dandelion_lease_returns", "Returns by this holder.")
      .Set(counters.returns);
  metrics.GetGauge("dandelion_lease_commits", "Writes sent on budget rows.")
      .Set(counters.commits);
  metrics
      .GetGauge("dandelion_lease_conflicts",
                "Writes on budget rows that met a conflict.")
      .Set(counters.conflicts);
  metrics
      .GetGauge("dandelion_written_off_tokens",
                "Tokens written off by this holder for lost processes.")
      .Set(counters.written_off);
  metrics
      .GetGauge("dandelion_reservations_waiting",
                "Requests that wait for tokens.")
      .Set(static_cast<std::int64_t>(leases().waiting()));
  metrics.GetGauge("dandelion_attempts_running", "Attempts with a grant.")
      .Set(static_cast<std::int64_t>(attempts_.running()));
  metrics.GetGauge("dandelion_charges_queued", "Charges not stored yet.")
      .Set(static_cast<std::int64_t>(charges_.size()));
}

void BudgetModule::Impl::Dump(nlohmann::json& dump) const {
  nlohmann::json& budget = dump["budget"];
  budget["holder"] = holder_row().holder().value();
  budget["epoch"] = epochs_.size();
  budget["routers"] = nlohmann::json::array();
  for (const base::RouterId& router : holder_row().routers())
    budget["routers"].push_back(router.value());
  budget["live_routers"] = live_routers_.size();
  budget["attempts_running"] = attempts_.running();
  budget["attempts_remembered"] = attempts_.size();
  budget["charges_queued"] = charges_.size();
  budget["reservations_waiting"] = calls_.size();
  leases().Dump(budget);
  recovery_.Dump(budget);
}

}  // namespace dandelionmill::control
