#include "dandelionmill/gateway/gateway.h"

#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/platform/headers.h"
#include "dandelionmill/platform/tables.h"

namespace dandelionmill::gateway {
namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

constexpr milliseconds kTickInterval{250};
constexpr milliseconds kPoolCleanupInterval{1000};
constexpr milliseconds kStoreUseInterval{10000};
// Pause between reads of the registry's and the reports' changes, for each
// instance of the fleet, and the longest.
constexpr milliseconds kCoalesceDelayPerInstance{1};
constexpr milliseconds kMaxCoalesceDelay{400};
// Interval of heartbeats while no prepaid tokens may be drawn since the store
// was restored.
constexpr milliseconds kFleetSettleInterval{500};

// Longest time in which a change of the store is read if the connection to it
// has failed silently: a long poll, the time limit of its answer, and the
// retry.
constexpr milliseconds kMaxStoreDelay{2500};

RetryAllowance::Limits RetryLimits(const platform::NodeSettings& settings) {
  return {settings.retry_ratio, settings.retry_reserve, settings.retry_window};
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& loop,
                 const platform::NodeSettings& settings,
                 const Options& options)
    : loop_(loop),
      settings_(settings),
      options_(options),
      process_id_(settings.instance.value() + "/" + base::RandomToken(8)),
      store_(loop, settings.store),
      token_pool_(loop, store_, settings.instance.value(), process_id_),
      context_(
          loop,
          token_pool_,
          store_,
          settings.zone,
          settings.regions,
          RetryLimits(settings),
          settings.link_bits_per_s,
          MemoryBudget::LimitBytes(settings.memory_mb, options.memory_percent),
          options.placement),
      lending_(
          loop,
          [this](const peer::LendingPort::LoanRequest& request,
                 peer::LendingPort::LoanHandler handler) {
            token_pool_.Lend(request.account, request.tokens, request.may_draw,
                             [handler = std::move(handler)](const auto& loan) {
                               handler({loan.given, loan.is_exhausted, true,
                                        loan.is_drawing});
                             });
          },
          [this](const base::AccountId& account, base::Tokens tokens) {
            token_pool_.AddReceivedTokens(account, tokens);
          }),
      borrower_(loop, lending_, settings.instance),
      load_exchange_(
          loop,
          process_id_,
          context_.random(),
          [this](peer::LoadReport report) {
            context_.placement.OnPeerLoads(peer_loads_.OnReport(
                report.process, report.number, std::move(report.loads),
                std::chrono::steady_clock::now()));
          }),
      backend_reports_(context_.crash_guard,
                       context_.request_limits,
                       store_,
                       process_id_),
      config_follower_(
          loop,
          store_,
          platform::kDesiredStateTable,
          {[this](const auto& row) { OnConfigRow(row); },
           [this](const auto& rows) { OnConfigRows(rows); },
           [this](const TableFollower::Status& status) {
             LogStoreStatus("config", status);
           },
           [this](const TableFollower::CatchUp& catch_up) {
             if (!catch_up.is_complete)
               context_.config_confirmation.OnBehind();
             LogCatchUp("config", catch_up);
           },
           [this](base::BootTime as_of) {
             context_.config_confirmation.OnConfirmed(as_of);
             OnEvacuationChanges(context_.evacuations.OnCurrent(as_of));
           },
           [this](const TableFollower::Restore&) {
             context_.config_confirmation.OnStoreRestored(
                 base::BootClock::now());
             context_.evacuations.OnStoreRestored();
             token_pool_.CheckStore();
           }}),
      backend_follower_(
          loop,
          store_,
          platform::kRegistryTable,
          {[this](const auto& row) { OnBackendRow(row); },
           [this](const auto& rows) { OnBackendRows(rows); },
           [this](const TableFollower::Status& status) {
             if (status.is_reachable) {
               context_.directory.OnOutageEnded(status.last_failed_call);
             }
             LogStoreStatus("registry", status);
           },
           [this](const TableFollower::CatchUp& catch_up) {
             LogCatchUp("registry", catch_up);
           },
           [this](base::BootTime) { OnRegistryCurrent(); },
           [this](const TableFollower::Restore& restore) {
             context_.directory.OnStoreRestored(restore.call_started);
             context_.version_records.OnStoreRestored(restore.era);
           }}),
      crash_follower_(
          loop,
          store_,
          BackendReports::kTable,
          {[this](const auto& row) {
             backend_reports_.OnRow(row, std::chrono::steady_clock::now());
           },
           [this](const auto& rows) {
             backend_reports_.OnRows(rows, std::chrono::steady_clock::now());
           },
           [this](const TableFollower::Status& status) {
             LogStoreStatus("crashes", status);
           },
           [this](const TableFollower::CatchUp& catch_up) {
             LogCatchUp("crashes", catch_up);
           },
           nullptr, nullptr}),
      fleet_members_(
          store_,
          {settings.instance.value(), process_id_, settings.peer_address,
           settings.zone},
          [this] {
            return FleetMembers::State{
                context_.config ? context_.config->version() : 0,
                token_pool_.settled_era()};
          },
          [this](FleetMembers::View view) { OnInstances(std::move(view)); }),
      descriptors_(settings.max_file_descriptors),
      relay_server_(context_, descriptors_.max_relays),
      readiness_(loop),
      metrics_(loop),
      acceptor_(loop, "callers"),
      timers_(loop) {
  context_.cold_allowance.SetBounds(
      {settings.cold_overshoot, settings.cold_slack});
  // A process that ends closes its connections, and may be back at once.
  context_.pool.SetOnClosedByPeer([this](const base::BackendId& backend) {
    if (context_.cold_allowance.empty())
      return;
    context_.cold_allowance.OnUnobserved(
        backend, scheduling::ColdAllowance::Source::kConnectionLost,
        base::BootClock::now());
  });
}

Gateway::~Gateway() = default;

base::Status Gateway::Start() {
  readiness_.AddPage(platform::ReadinessPath(), [this] {
    return IsReady() ? StatusServer::Page{200, "text/plain", "ready\n"}
                     : StatusServer::Page{503, "text/plain", "not ready\n"};
  });
  metrics_.AddPage("/metrics", [this] {
    UpdatePrepaidMetrics();
    return StatusServer::Page{200, "text/plain; version=0.0.4",
                              context_.metrics.ToPrometheus()};
  });
  metrics_.AddPage("/dump", [this] {
    return StatusServer::Page{200, "application/json", Dump()};
  });
  base::Status status = acceptor_.Listen(
      settings_.frontend_address,
      [this](tcp::socket socket) { OnAccepted(std::move(socket)); },
      [this] { CloseOneCaller(); });
  if (base::IsOk(status))
    status = readiness_.Listen(settings_.readiness);
  if (base::IsOk(status) && options_.metrics_port != 0)
    status = metrics_.Listen(
        {settings_.frontend_address.host, options_.metrics_port});
  if (base::IsOk(status))
    status = lending_.Listen(settings_.peer_address);
  if (base::IsOk(status))
    status = relay_server_.Listen(settings_.peer_address);
  if (base::IsOk(status)) {
    // A second port may belong to another process of the machine if the range
    // has only one.
    const base::Status exchange =
        settings_.last_peer_port > settings_.peer_address.port
            ? load_exchange_.Listen(settings_.peer_address)
            : base::Error{base::Code::kBadSetting,
                          "there is no second port for other instances"};
    if (!base::IsOk(exchange)) {
      log::Event(log::Level::kWarning, "load_exchange_off")
          .With(base::ErrorOf(exchange));
    }
  }
  if (!base::IsOk(status))
    return status;
  token_pool_.SetPeers(
      {[this](const base::AccountId& account) {
         return borrower_.IsOwner(account);
       },
       [this](const base::AccountId& account, base::Tokens tokens,
              std::function<void(prepaid::TokenPool::Loan)> handler) {
         borrower_.Borrow(
             account, tokens,
             [handler = std::move(handler)](const auto& answer) {
               handler({answer.given, answer.is_exhausted, answer.is_drawing});
             });
       },
       [this](const base::AccountId& account, base::Tokens tokens) {
         borrower_.Give(account, tokens);
       }});
  log::Event(log::Level::kInfo, "started")
      .With("process", process_id_)
      .With("zone", settings_.zone)
      .With("callers", net::ToString(settings_.frontend_address))
      .With("store", net::ToString(settings_.store))
      .With("memory_limit_bytes", context_.memory.budget().limit())
      .With("max_caller_connections", descriptors_.max_callers)
      .With("max_relayed_connections", descriptors_.max_relays);
  if (settings_.evacuation_bound < kMaxStoreDelay) {
    log::Event(log::Level::kWarning, "evacuation_bound_short")
        .With("evacuation_ms", settings_.evacuation_bound)
        .With("store_delay_ms", kMaxStoreDelay);
  }
  config_follower_.Start();
  backend_follower_.Start();
  context_.version_records.Start();
  crash_follower_.Start();
  fleet_members_.Tick();
  timers_.Subscribe(kTickInterval, [this](base::MonoTime now) { Tick(now); });
  timers_.Subscribe(scheduling::PeerLoads::kReportInterval,
                    [this](base::MonoTime now) { ReportLoad(now); });
  timers_.Subscribe(prepaid::Ledger::kRowInterval,
                    [this](base::MonoTime) { token_pool_.Tick(); });
  timers_.Subscribe(FleetMembers::kHeartbeatInterval,
                    [this](base::MonoTime) { fleet_members_.Tick(); });
  timers_.Subscribe(kFleetSettleInterval, [this](base::MonoTime) {
    if (token_pool_.is_waiting_for_fleet())
      fleet_members_.TickAndRead();
  });
  timers_.Subscribe(StreamRecords::kLifetime, [this](base::MonoTime) {
    context_.stream_records.DeleteOldRows();
  });
  timers_.Subscribe(kPoolCleanupInterval, [this](base::MonoTime now) {
    context_.pool.CloseExpired(now);
  });
  timers_.Subscribe(kStoreUseInterval,
                    [this](base::MonoTime) { ReportStoreUse(); });
  return status;
}

void Gateway::OnAccepted(tcp::socket socket) {
  if (sessions_.size() >= descriptors_.max_callers && !CloseOneCaller()) {
    // Every connection has a request in progress. Closing the new one, on which
    // none was read, leaves it to the balancer to find another instance.
    context_.metrics.OnLimitApplied("connections");
    return;
  }
  auto session = std::make_shared<CallerSession>(
      context_, std::move(socket),
      [this](CallerSession* closed) { sessions_.erase(closed); });
  sessions_[session.get()] = session;
  session->Start();
}

bool Gateway::CloseOneCaller() {
  CallerSession* ending = nullptr;
  CallerSession* idle = nullptr;
  CallerSession* receiving = nullptr;
  for (const auto& [key, session] : sessions_) {
    if (session->is_ending()) {
      ending = key;
    } else if (session->IsIdle()) {
      const bool is_longer =
          idle == nullptr || session->since() < idle->since();
      if (is_longer && !session->HasUnreadBytes())
        idle = key;
    } else if (session->IsReceiving() &&
               (receiving == nullptr ||
                session->since() > receiving->since())) {
      receiving = key;
    }
  }
  CallerSession* chosen = ending != nullptr ? ending
                          : idle != nullptr ? idle
                                            : receiving;
  if (chosen != nullptr)
    chosen->MakeWay();
  return chosen != nullptr;
}

void Gateway::PublishBackendReports(base::MonoTime now) {
  backend_reports_.Publish(now);
  for (const std::string& part : context_.crash_guard.TakeQuarantinedParts())
    log::Event(log::Level::kWarning, "prompt_part_quarantined")
        .With("part", part);
}

void Gateway::LogStoreStatus(const char* table,
                             const TableFollower::Status& status) {
  const char* event = status.is_reachable  ? "store_regained"
                      : status.has_changed ? "store_lost"
                                           : "store_still_lost";
  log::Event(status.is_reachable ? log::Level::kInfo : log::Level::kWarning,
             event)
      .With("table", table)
      .With("failed_calls", status.failed_calls)
      .With("age_ms", status.age)
      .With("store_version", status.version)
      .With("reason", status.reason);
}

void Gateway::ReportStoreUse() {
  for (const auto& [table, use] : store_.use_by_table()) {
    platform::StoreClient::TableUse& last = reported_store_use_[table];
    if (use.calls == last.calls)
      continue;
    log::Event(log::Level::kInfo, "store_use")
        .With("table", table)
        .With("calls", use.calls - last.calls)
        .With("sent_bytes", use.sent_bytes - last.sent_bytes)
        .With("received_bytes", use.received_bytes - last.received_bytes)
        .With("over_ms", kStoreUseInterval);
    context_.metrics.OnStoreUse(table, use.calls - last.calls,
                                use.sent_bytes - last.sent_bytes +
                                    use.received_bytes - last.received_bytes);
    last = use;
  }
}

void Gateway::LogCatchUp(const char* table,
                         const TableFollower::CatchUp& catch_up) {
  log::Event(log::Level::kInfo,
             catch_up.is_complete ? "table_caught_up" : "table_behind")
      .With("table", table)
      .With("from_version", catch_up.from_version)
      .With("version", catch_up.version)
      .With("bytes", catch_up.bytes)
      .With("duration_ms", catch_up.duration)
      .With("reason", catch_up.reason);
}

void Gateway::OnInstances(FleetMembers::View view) {
  context_.instance_count = view.count;
  context_.stream_records.SetInstanceCount(view.count);
  context_.version_records.SetInstanceCount(view.count);
  context_.crash_guard.SetInstanceCount(view.count);
  context_.brittle_services.SetInstanceCount(view.count);
  // Backend servers write their entries all the time. The rule for departures
  // leaves seconds, so a large fleet reads more changes in each call.
  const milliseconds coalesce_delay =
      std::clamp(view.count * kCoalesceDelayPerInstance,
                 TableFollower::kCoalesceDelay, kMaxCoalesceDelay);
  backend_follower_.SetCoalesceDelay(coalesce_delay);
  crash_follower_.SetCoalesceDelay(coalesce_delay);
  context_.config_confirmation.OnPeerVersion(view.newest_config_version);
  if (view.settled_era)
    token_pool_.SetFleetSettledEra(*view.settled_era);
  std::vector<base::InstanceId> ids;
  for (const peer::Instance& other : view.others)
    ids.push_back(other.id);
  context_.request_limits.SetInstances(settings_.instance, ids);
  context_.cold_allowance.SetInstances(settings_.instance, ids,
                                       base::BootClock::now());
  context_.connector.SetInstances(settings_.instance, view.others);
  peer_loads_.SetInstances(view.others.size(), peer::LoadExchange::kMaxTargets);
  load_exchange_.SetInstances(view.others);
  borrower_.SetInstances(std::move(view.others));
}

void Gateway::ReportLoad(base::MonoTime now) {
  context_.placement.OnPeerLoads(peer_loads_.Expire(now));
  context_.placement.SetKnowsPeers(peer_loads_.KnowsMost());
  std::vector<scheduling::InstanceLoad> loads = context_.placement.OwnLoads();
  // An empty report follows the last one, whose requests have ended.
  if (loads.empty() && !std::exchange(has_reported_load_, false))
    return;
  has_reported_load_ = !loads.empty();
  load_exchange_.Send(std::move(loads));
}

void Gateway::Tick(base::MonoTime now) {
  const bool was_overloaded = context_.overload.is_overloaded();
  context_.overload.Tick(
      now, kTickInterval,
      options_.loop_backlog_share ? options_.loop_backlog_share() : 0);
  if (context_.overload.is_overloaded() != was_overloaded) {
    log::Event(log::Level::kWarning,
               was_overloaded ? "overload_ended" : "overloaded")
        .With("link_use", context_.overload.link_use())
        .With("backlog_share", context_.overload.backlog_share())
        .With("connect_ms", context_.overload.connect_delay())
        .With("open_requests", context_.open_exchange_count);
  }
  for (const base::BackendId& id : context_.directory.Expire(now)) {
    log::Event(log::Level::kInfo, "backend_lapsed").With("backend", id);
    context_.pool.CloseIdle(id);
    context_.placement.Remove(id);
    context_.request_limits.Remove(id);
    context_.cold_allowance.Remove(id);
    context_.backoff.Remove(id);
  }
  context_.connector.Tick();
  context_.crash_guard.Expire(now);
  PublishBackendReports(now);
  ReportColdBackends();
  context_.standstill.Tick(base::BootClock::now());
  context_.stream_versions.Expire(now);
  context_.version_records.Update(now);
  context_.stream_records.Tick(now);
  const auto age = [now](const TableFollower& follower) {
    return std::chrono::duration_cast<milliseconds>(now -
                                                    follower.last_answer());
  };
  context_.metrics.OnTick(context_.open_exchange_count,
                          context_.directory.size(), context_.pool.idle_count(),
                          context_.instance_count, age(config_follower_),
                          age(backend_follower_));
  const MemoryBudget& memory = context_.memory.budget();
  context_.metrics.OnHeldBytes("receiving",
                               memory.bytes(MemoryBudget::Use::kReceiving));
  context_.metrics.OnHeldBytes("sending",
                               memory.bytes(MemoryBudget::Use::kSending));
  context_.metrics.OnHeldBytes("other",
                               memory.bytes(MemoryBudget::Use::kOther));
  if (context_.is_shutting_down)
    OnShutdownTick(now);
}

bool Gateway::IsReady() const {
  return !context_.is_shutting_down && !context_.overload.is_overloaded() &&
         context_.config != nullptr && backend_follower_.has_snapshot() &&
         context_.version_records.has_read();
}

void Gateway::Reload(const platform::NodeSettings& settings) {
  settings_.shutdown_grace = settings.shutdown_grace;
  const bool addresses_changed =
      settings.frontend_address != settings_.frontend_address ||
      settings.store != settings_.store;
  log::Event(addresses_changed ? log::Level::kWarning : log::Level::kInfo,
             "settings_reloaded")
      .With("shutdown_grace_ms", settings_.shutdown_grace)
      .With("addresses_need_restart", addresses_changed);
}

}  // namespace dandelionmill::gateway
