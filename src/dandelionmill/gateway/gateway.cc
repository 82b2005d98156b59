#include "dandelionmill/gateway/gateway.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/platform/desired_state.h"
#include "dandelionmill/platform/engine_entry.h"
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
    const base::Status exchange = load_exchange_.Listen(settings_.peer_address);
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

void Gateway::OnConfigRows(const std::vector<storage::VersionedRow>& rows) {
  std::vector<scheduling::EvacuationRow> evacuations;
  for (const storage::VersionedRow& row : rows) {
    if (auto evacuation = platform::DecodeEvacuationRow(row))
      evacuations.push_back(std::move(*evacuation));
    else
      OnConfigRow(row);
  }
  OnEvacuationChanges(
      context_.evacuations.OnRows(evacuations, base::BootClock::now()));
}

void Gateway::ForgetObservations(const base::ZoneId& zone) {
  if (context_.cold_allowance.empty() || !context_.config)
    return;
  const base::BootTime now = base::BootClock::now();
  for (const auto& [id, service] : context_.config->services()) {
    for (const BackendEntry* backend :
         context_.directory.Usable(id, std::chrono::steady_clock::now())) {
      if (backend->zone != zone)
        continue;
      context_.pool.CloseIdle(backend->id);
      context_.cold_allowance.OnUnobserved(
          backend->id, scheduling::ColdAllowance::Source::kEvacuation, now);
    }
  }
}

void Gateway::OnEvacuationChanges(
    const scheduling::EvacuationChanges& changes) {
  for (const scheduling::EvacuationChange& change : changes) {
    std::visit(base::Overloaded{
                   [this](const scheduling::EvacuationBegun& begun) {
                     ForgetObservations(begun.zone);
                     log::Event(log::Level::kWarning, "evacuation_begun")
                         .With("zone", begun.zone)
                         .With("row_version", begun.row_version);
                   },
                   [this](const scheduling::EvacuationEnded& ended) {
                     ForgetObservations(ended.zone);
                     log::Event(log::Level::kWarning, "evacuation_ended")
                         .With("zone", ended.zone)
                         .With("row_version", ended.row_version);
                   },
                   [](const scheduling::EvacuationIgnored& ignored) {
                     log::Event(log::Level::kWarning, "evacuation_ignored")
                         .With("zone", ignored.zone)
                         .With("row_version", ignored.row_version)
                         .With("reason", ignored.reason);
                   }},
               change);
  }
  if (!changes.empty())
    context_.metrics.OnEvacuatedZones(context_.evacuations.zones().size());
}

void Gateway::OnConfigRow(const storage::VersionedRow& row) {
  if (const auto evacuation = platform::DecodeEvacuationRow(row)) {
    OnEvacuationChanges(context_.evacuations.OnRow(*evacuation));
    return;
  }
  if (row.deleted || row.key.key != platform::kDesiredStateKey)
    return;
  const auto decoded = platform::DecodeDesiredState(row.value);
  const base::Status status =
      base::IsOk(decoded)
          ? CheckHomeRegions(*base::ValueOf(decoded), context_.zone_regions)
          : base::ErrorOf(decoded);
  if (!base::IsOk(status)) {
    log::Event(log::Level::kError, "config_rejected")
        .With("row_version", row.version)
        .With(base::ErrorOf(status));
    context_.config_confirmation.OnRejected();
    return;
  }
  const FleetConfigPtr& config = base::ValueOf(decoded);
  context_.config_confirmation.OnStored(config->version());
  if (context_.config && config->version() <= context_.config->version())
    return;
  std::map<base::AccountId, base::Tokens> prepaid;
  base::Tokens prepaid_total = 0;
  for (const ClientAccount& account : config->accounts()) {
    if (account.prepaid) {
      prepaid[account.id] = *account.prepaid;
      prepaid_total += *account.prepaid;
    }
  }
  log::Event(log::Level::kInfo, "config_in_force")
      .With("from", context_.config ? context_.config->version() : 0)
      .With("version", config->version())
      .With("routes", config->routes().size())
      .With("accounts", config->accounts().size())
      .With("prepaid_total", prepaid_total)
      .With("bytes", row.value.size())
      .With("row_version", row.version);
  context_.config = config;
  context_.config_confirmation.OnInForce(config->version());
  context_.metrics.OnConfigVersion(
      static_cast<std::int64_t>(config->version()));
  token_pool_.SetAccounts(std::move(prepaid));
  for (const auto& [id, service] : config->services()) {
    if (service.engine)
      context_.placement.SetCacheTokens(id, service.engine->kv_cache_tokens);
  }
  SetColdTerms();
}

void Gateway::SetColdTerms() {
  std::map<base::ServiceId, scheduling::ColdAllowance::Terms> terms;
  for (const auto& [id, service] : context_.config->services()) {
    if (service.cold_requests_per_s > 0)
      terms[id] = {service.cold_requests_per_s, service.cold_start};
  }
  context_.cold_allowance.SetServices(terms);
  // Entries that were read before count as well.
  for (const auto& [id, service_terms] : terms) {
    for (const BackendEntry* backend :
         context_.directory.Usable(id, std::chrono::steady_clock::now()))
      context_.cold_allowance.OnEntry(*backend, base::BootClock::now());
  }
}

void Gateway::ReportColdBackends() {
  if (context_.cold_allowance.empty())
    return;
  const base::BootTime now = base::BootClock::now();
  for (const auto& change : context_.cold_allowance.TakeChanges(now)) {
    log::Event(log::Level::kInfo, "backend_cold_state")
        .With("backend", change.backend)
        .With("state", ToString(change.state))
        .With("source", ToString(change.source))
        .With("remaining_ms", change.remaining)
        .With("share_per_s", change.requests_per_s)
        .With("sharing", change.sharing)
        .With("instances", change.known);
  }
  context_.metrics.OnColdBackends(context_.cold_allowance.LimitedCount(now));
}

void Gateway::OnBackendRow(const storage::VersionedRow& row) {
  const base::MonoTime now = std::chrono::steady_clock::now();
  const base::BackendId id(row.key.key);
  if (row.deleted) {
    log::Event(log::Level::kInfo, "backend_removed").With("backend", id);
    context_.directory.Remove(id, now);
    if (context_.directory.Find(id) == nullptr)
      context_.cold_allowance.Remove(id);
    return;
  }
  const auto entry = platform::DecodeEngineEntry(row.key.key, row.value);
  if (!base::IsOk(entry)) {
    log::Event(log::Level::kWarning, "backend_entry_rejected")
        .With(base::ErrorOf(entry));
    context_.directory.Remove(id, now);
    return;
  }
  const BackendEntry& backend = base::ValueOf(entry);
  const BackendEntry* known = context_.directory.Find(id);
  if (known == nullptr || known->draining != backend.draining ||
      known->incarnation != backend.incarnation) {
    log::Event(log::Level::kInfo, "backend_changed")
        .With("backend", id)
        .With("service", backend.service)
        .With("zone", backend.zone)
        .With("address", net::ToString(backend.address))
        .With("draining", backend.draining)
        .With("incarnation", backend.incarnation)
        .With("version", backend.software_version)
        .With("row_version", row.version);
    context_.pool.CloseIdle(id);
  }
  NoteReplacedVersion(backend);
  context_.directory.Put(backend);
  context_.cold_allowance.OnEntry(backend, base::BootClock::now());
}

void Gateway::OnBackendRows(const std::vector<storage::VersionedRow>& rows) {
  std::vector<BackendEntry> entries;
  for (const storage::VersionedRow& row : rows) {
    const auto entry = platform::DecodeEngineEntry(row.key.key, row.value);
    if (base::IsOk(entry)) {
      NoteReplacedVersion(base::ValueOf(entry));
      entries.push_back(base::ValueOf(entry));
    } else {
      log::Event(log::Level::kWarning, "backend_entry_rejected")
          .With(base::ErrorOf(entry));
    }
  }
  context_.directory.Replace(entries, std::chrono::steady_clock::now());
  for (const BackendEntry& entry : entries)
    context_.cold_allowance.OnEntry(entry, base::BootClock::now());
  context_.cold_allowance.RemoveUnless([this](const base::BackendId& id) {
    return context_.directory.Find(id) != nullptr;
  });
  log::Event(log::Level::kInfo, "backends_read").With("count", entries.size());
}

void Gateway::NoteReplacedVersion(const BackendEntry& entry) {
  const BackendEntry* last = context_.directory.FindLast(entry.id);
  if (last != nullptr && last->incarnation < entry.incarnation &&
      last->software_version != entry.software_version) {
    context_.stream_versions.OnVersionReplaced(entry.id,
                                               context_.directory.as_of());
  }
}

void Gateway::OnRegistryCurrent() {
  context_.directory.OnCurrent(backend_follower_.answered_call_started());
  context_.stream_versions.OnRegistryRead(context_.directory.as_of());
  const base::MonoTime now = std::chrono::steady_clock::now();
  for (const auto& [service, versions] : context_.directory.ListedVersions())
    context_.service_versions.OnListed(service, versions, now);
  context_.version_records.Update(now);
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

void Gateway::UpdatePrepaidMetrics() {
  const base::BootTime now = base::BootClock::now();
  const prepaid::Ledger& ledger = token_pool_.ledger();
  for (const base::AccountId& account : ledger.Accounts()) {
    context_.metrics.OnPrepaid(account.value(), ledger.Held(account),
                               ledger.Available(account, now),
                               token_pool_.WaitingCount(account));
  }
}

std::string Gateway::Dump() const {
  nlohmann::json dump = {
      {"process", process_id_},
      {"zone", settings_.zone.value()},
      {"ready", IsReady()},
      {"leaving", context_.is_shutting_down},
      {"overloaded", context_.overload.is_overloaded()},
      {"config_version", context_.config ? context_.config->version() : 0},
      {"instances", context_.instance_count},
      {"open_requests", context_.open_exchange_count},
      {"caller_connections", sessions_.size()},
      {"evacuations", nlohmann::json::array()},
      {"held_bytes", context_.memory.budget().bytes()},
      {"held_bytes_limit", context_.memory.budget().limit()},
      {"backends", nlohmann::json::array()},
      {"prepaid", nlohmann::json::object()}};
  for (const auto& [zone, evacuation] : context_.evacuations.zones()) {
    dump["evacuations"].push_back(
        {{"zone", zone.value()},
         {"row_version", evacuation.row_version},
         {"row_missing", evacuation.ends_at.has_value()},
         {"in_flight", context_.placement.InFlightIn(zone)}});
  }
  if (context_.config) {
    for (const auto& [id, service] : context_.config->services()) {
      for (const BackendEntry* backend :
           context_.directory.Usable(id, std::chrono::steady_clock::now())) {
        dump["backends"].push_back(
            {{"id", backend->id.value()},
             {"service", id.value()},
             {"zone", backend->zone.value()},
             {"in_flight", context_.placement.InFlight(backend->id)}});
      }
    }
  }
  const base::BootTime now = base::BootClock::now();
  for (const base::AccountId& account : token_pool_.ledger().Accounts()) {
    dump["prepaid"][account.value()] = {
        {"held", token_pool_.ledger().Held(account)},
        {"available", token_pool_.ledger().Available(account, now)},
        {"used_here", token_pool_.ledger().Used(account)},
        {"undrawn", token_pool_.Undrawn(account)}};
  }
  return dump.dump() + "\n";
}

}  // namespace dandelionmill::gateway
