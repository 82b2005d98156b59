#include "dandelionmill/gateway/gateway.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/platform/desired_state.h"
#include "dandelionmill/platform/engine_entry.h"
#include "dandelionmill/platform/headers.h"
#include "dandelionmill/platform/tables.h"

namespace dandelionmill::gateway {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

// Rows that tell which requests ran when a backend server crashed.
constexpr char kCrashTable[] = "crashes";
constexpr milliseconds kShareTimeout{600};

constexpr milliseconds kTick{250};
constexpr milliseconds kPrepaidTick = prepaid::Ledger::kQuiet / 2;
constexpr milliseconds kSweep{1000};

// How long after the start of leaving the balancer may still send new
// connections: two questions a second apart, and one on its way.
constexpr milliseconds kRotationTime{2600};
// Until when requests are taken that may last longer than the process.
constexpr milliseconds kLastNewRequest{2800};
// When connections without a request are closed while leaving.
constexpr milliseconds kCloseIdleAfter{1500};
// Time for failing what is left and giving back tokens before the platform
// kills the process: two calls to the store that both time out.
constexpr milliseconds kLastWords{1000};
// When the process ends whatever it still waits for.
constexpr milliseconds kLastMoment{400};

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
      process_(settings.instance.value() + "/" + base::RandomToken(8)),
      store_(loop, settings.store),
      keeper_(loop, store_, settings.instance.value(), process_),
      core_(loop,
            keeper_,
            settings.zone,
            RetryLimits(settings),
            settings.link_bits_per_s,
            options.placement),
      lending_(
          loop,
          [this](const peer::LendingPort::Question& question,
                 peer::LendingPort::Reply reply) {
            keeper_.Lend(question.account, question.tokens, question.may_draw,
                         [reply = std::move(reply)](const auto& loan) {
                           reply({loan.given, loan.is_exhausted, true});
                         });
          },
          [this](const base::AccountId& account, base::Tokens tokens) {
            keeper_.OnGiven(account, tokens);
          }),
      borrower_(loop, lending_, settings.instance),
      config_follower_(
          loop,
          store_,
          platform::kDesiredStateTable,
          {[this](const auto& row) { OnConfigRow(row); },
           [this](const auto& rows) {
             for (const auto& row : rows)
               OnConfigRow(row);
           },
           [this](bool reachable, base::MonoTime, const std::string& reason) {
             OnStoreReachable("config", reachable, reason);
           }}),
      backend_follower_(loop,
                        store_,
                        platform::kRegistryTable,
                        {[this](const auto& row) { OnBackendRow(row); },
                         [this](const auto& rows) { OnBackendRows(rows); },
                         [this](bool reachable,
                                base::MonoTime since,
                                const std::string& reason) {
                           if (reachable)
                             core_.directory.OnOutageEnded(since);
                           OnStoreReachable("registry", reachable, reason);
                         }}),
      crash_follower_(
          loop,
          store_,
          kCrashTable,
          {[this](const auto& row) { OnCrashRow(row); },
           [this](const auto& rows) {
             for (const auto& row : rows)
               OnCrashRow(row);
           },
           [this](bool reachable, base::MonoTime, const std::string& reason) {
             OnStoreReachable("crashes", reachable, reason);
           }}),
      members_(store_,
               {settings.instance.value(), process_, settings.peers},
               [this](int count, std::vector<peer::Instance> others) {
                 OnInstances(count, std::move(others));
               }),
      readiness_(loop),
      metrics_(loop),
      acceptor_(loop),
      timers_(loop) {}

Gateway::~Gateway() = default;

base::Status Gateway::Start() {
  readiness_.AddPage(platform::ReadinessPath(), [this] {
    return IsReady() ? StatusServer::Page{200, "text/plain", "ready\n"}
                     : StatusServer::Page{503, "text/plain", "not ready\n"};
  });
  metrics_.AddPage("/metrics", [this] {
    MeasurePrepaid();
    return StatusServer::Page{200, "text/plain; version=0.0.4",
                              core_.metrics.ToPrometheus()};
  });
  metrics_.AddPage("/dump", [this] {
    return StatusServer::Page{200, "application/json", Dump()};
  });
  base::Status status = Listen(acceptor_, settings_.callers);
  if (base::IsOk(status))
    status = readiness_.Listen(settings_.readiness);
  if (base::IsOk(status) && options_.metrics_port != 0)
    status = metrics_.Listen({settings_.callers.host, options_.metrics_port});
  if (base::IsOk(status))
    status = lending_.Listen(settings_.peers);
  if (!base::IsOk(status))
    return status;
  keeper_.SetPeers(
      {[this](const base::AccountId& account) {
         return borrower_.IsOwner(account);
       },
       [this](const base::AccountId& account, base::Tokens tokens,
              std::function<void(prepaid::Keeper::Loan)> handler) {
         borrower_.Borrow(account, tokens,
                          [handler = std::move(handler)](const auto& answer) {
                            handler({answer.given, answer.is_exhausted});
                          });
       },
       [this](const base::AccountId& account, base::Tokens tokens) {
         borrower_.Give(account, tokens);
       }});
  log::Event(log::Level::kInfo, "started")
      .With("process", process_)
      .With("zone", settings_.zone)
      .With("callers", net::ToString(settings_.callers))
      .With("store", net::ToString(settings_.store));
  Accept();
  config_follower_.Start();
  backend_follower_.Start();
  crash_follower_.Start();
  members_.Tick();
  timers_.Subscribe(kTick, [this](base::MonoTime now) { Tick(now); });
  timers_.Subscribe(kPrepaidTick, [this](base::MonoTime) { keeper_.Tick(); });
  timers_.Subscribe(FleetMembers::kHeartbeat,
                    [this](base::MonoTime) { members_.Tick(); });
  timers_.Subscribe(kSweep,
                    [this](base::MonoTime now) { core_.pool.Sweep(now); });
  return status;
}

void Gateway::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted)
      return;
    if (error) {
      log::Event(log::Level::kWarning, "accept_failed")
          .With("reason", error.message());
    } else {
      auto session = std::make_shared<CallerSession>(
          core_, std::move(socket),
          [this](CallerSession* closed) { sessions_.erase(closed); });
      sessions_[session.get()] = session;
      session->Start();
    }
    Accept();
  });
}

void Gateway::OnConfigRow(const storage::VersionedRow& row) {
  if (row.deleted || row.key.key != platform::kDesiredStateKey)
    return;
  const auto decoded = platform::DecodeDesiredState(row.value);
  if (!base::IsOk(decoded)) {
    log::Event(log::Level::kError, "config_rejected")
        .With("row_version", row.version)
        .With(base::ErrorOf(decoded));
    return;
  }
  const FleetConfigPtr& config = base::ValueOf(decoded);
  if (core_.config && config->version() <= core_.config->version())
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
      .With("from", core_.config ? core_.config->version() : 0)
      .With("version", config->version())
      .With("routes", config->routes().size())
      .With("accounts", config->accounts().size())
      .With("prepaid_total", prepaid_total)
      .With("row_version", row.version);
  core_.config = config;
  core_.metrics.OnConfigVersion(static_cast<std::int64_t>(config->version()));
  keeper_.SetAccounts(std::move(prepaid));
  for (const auto& [id, service] : config->services()) {
    if (service.engine)
      core_.placement.SetCacheTokens(id, service.engine->kv_cache_tokens);
  }
}

void Gateway::OnBackendRow(const storage::VersionedRow& row) {
  const base::MonoTime now = std::chrono::steady_clock::now();
  const base::BackendId id(row.key.key);
  if (row.deleted) {
    log::Event(log::Level::kInfo, "backend_removed").With("backend", id);
    core_.directory.Remove(id, now);
    return;
  }
  const auto entry = platform::DecodeEngineEntry(row.key.key, row.value);
  if (!base::IsOk(entry)) {
    log::Event(log::Level::kWarning, "backend_entry_rejected")
        .With(base::ErrorOf(entry));
    core_.directory.Remove(id, now);
    return;
  }
  const BackendEntry& backend = base::ValueOf(entry);
  const BackendEntry* known = core_.directory.Find(id);
  if (known == nullptr || known->draining != backend.draining ||
      known->incarnation != backend.incarnation) {
    log::Event(log::Level::kInfo, "backend_changed")
        .With("backend", id)
        .With("service", backend.service)
        .With("zone", backend.zone)
        .With("address", net::ToString(backend.address))
        .With("draining", backend.draining)
        .With("incarnation", backend.incarnation)
        .With("row_version", row.version);
    core_.pool.Drop(id);
  }
  core_.directory.Put(backend);
}

void Gateway::OnBackendRows(const std::vector<storage::VersionedRow>& rows) {
  std::vector<BackendEntry> entries;
  for (const storage::VersionedRow& row : rows) {
    const auto entry = platform::DecodeEngineEntry(row.key.key, row.value);
    if (base::IsOk(entry)) {
      entries.push_back(base::ValueOf(entry));
    } else {
      log::Event(log::Level::kWarning, "backend_entry_rejected")
          .With(base::ErrorOf(entry));
    }
  }
  core_.directory.Replace(entries, std::chrono::steady_clock::now());
  log::Event(log::Level::kInfo, "backends_read").With("count", entries.size());
}

void Gateway::OnCrashRow(const storage::VersionedRow& row) {
  const std::size_t at = row.key.key.find(' ');
  if (row.deleted || at == std::string::npos)
    return;
  core_.guard.Learn(
      {row.key.key.substr(0, at), base::BackendId(row.key.key.substr(at + 1))},
      std::chrono::steady_clock::now());
}

void Gateway::ShareCrashes() {
  storage::RowChange change;
  for (const CrashGuard::Report& report : core_.guard.TakeReports()) {
    log::Event(log::Level::kWarning, "crash_suspected")
        .With("request_digest", report.digest)
        .With("backend", report.backend);
    change.puts.push_back(
        {{kCrashTable, "", report.digest + " " + report.backend.value()},
         process_});
  }
  if (change.puts.empty())
    return;
  store_.Commit(std::move(change), kShareTimeout,
                [](storage::TableAnswer answer) {
                  if (answer.outcome != storage::CallOutcome::kDone) {
                    log::Event(log::Level::kWarning, "crash_not_shared")
                        .With("detail", answer.detail);
                  }
                });
}

void Gateway::OnStoreReachable(const char* what,
                               bool reachable,
                               const std::string& reason) {
  log::Event(reachable ? log::Level::kInfo : log::Level::kWarning,
             reachable ? "store_regained" : "store_lost")
      .With("table", what)
      .With("reason", reason);
}

void Gateway::OnInstances(int count, std::vector<peer::Instance> others) {
  core_.instances = count;
  borrower_.SetInstances(std::move(others));
}

void Gateway::Tick(base::MonoTime now) {
  const bool was_overloaded = core_.overload.is_overloaded();
  core_.overload.Tick(now, kTick);
  if (core_.overload.is_overloaded() != was_overloaded) {
    log::Event(log::Level::kWarning,
               was_overloaded ? "overload_ended" : "overloaded")
        .With("link_use", core_.overload.link_use())
        .With("open_requests", core_.open_exchanges);
  }
  for (const base::BackendId& id : core_.directory.Expire(now)) {
    log::Event(log::Level::kInfo, "backend_lapsed").With("backend", id);
    core_.pool.Drop(id);
    core_.placement.Forget(id);
  }
  core_.guard.Expire(now);
  ShareCrashes();
  const auto age = [now](const TableFollower& follower) {
    return std::chrono::duration_cast<milliseconds>(now -
                                                    follower.last_answer());
  };
  core_.metrics.OnTick(core_.open_exchanges, core_.directory.size(),
                       core_.pool.idle(), core_.instances,
                       age(config_follower_), age(backend_follower_));
  if (core_.is_leaving)
    OnLeavingTick(now);
}

bool Gateway::IsReady() const {
  return !core_.ShedsConnections() && core_.config != nullptr &&
         backend_follower_.has_snapshot();
}

void Gateway::Leave(std::function<void()> done) {
  if (core_.is_leaving)
    return;
  log::Event(log::Level::kInfo, "leaving")
      .With("open_requests", core_.open_exchanges);
  left_ = std::move(done);
  leaving_since_ = std::chrono::steady_clock::now();
  core_.is_leaving = true;
  core_.shutdown_window = {
      leaving_since_ + kLastNewRequest,
      leaving_since_ + settings_.shutdown_grace - kLastWords};
}

void Gateway::OnLeavingTick(base::MonoTime now) {
  const auto passed = now - leaving_since_;
  if (passed >= settings_.shutdown_grace - kLastMoment) {
    FinishLeaving();
    return;
  }
  if (is_giving_back_)
    return;
  if (passed >= kCloseIdleAfter) {
    const auto sessions = sessions_;
    for (const auto& [key, session] : sessions)
      session->CloseIfIdle();
  }
  if (passed >= kRotationTime)
    keeper_.BeginReturn();
  const bool out_of_time = passed >= settings_.shutdown_grace - kLastWords;
  if ((passed < kRotationTime || core_.open_exchanges > 0) && !out_of_time)
    return;
  if (out_of_time) {
    const auto sessions = sessions_;
    for (const auto& [key, session] : sessions)
      session->Shutdown();
  }
  GiveBack();
}

void Gateway::GiveBack() {
  is_giving_back_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  keeper_.ReturnAll([this] { members_.Leave([this] { FinishLeaving(); }); });
}

void Gateway::FinishLeaving() {
  if (!left_)
    return;
  log::Event(log::Level::kInfo, "left")
      .With("open_requests", core_.open_exchanges);
  std::exchange(left_, nullptr)();
}

void Gateway::Reload(const platform::NodeSettings& settings) {
  settings_.shutdown_grace = settings.shutdown_grace;
  const bool moved = settings.callers != settings_.callers ||
                     settings.store != settings_.store;
  log::Event(moved ? log::Level::kWarning : log::Level::kInfo,
             "settings_reloaded")
      .With("shutdown_grace_ms", settings_.shutdown_grace)
      .With("addresses_need_restart", moved);
}

void Gateway::MeasurePrepaid() {
  const base::BootTime now = base::BootClock::now();
  const prepaid::Ledger& ledger = keeper_.ledger();
  for (const base::AccountId& account : ledger.Accounts()) {
    core_.metrics.OnPrepaid(account.value(), ledger.Held(account),
                            ledger.Available(account, now),
                            keeper_.Waiting(account));
  }
}

std::string Gateway::Dump() const {
  nlohmann::json dump = {
      {"process", process_},
      {"zone", settings_.zone.value()},
      {"ready", IsReady()},
      {"leaving", core_.is_leaving},
      {"overloaded", core_.overload.is_overloaded()},
      {"config_version", core_.config ? core_.config->version() : 0},
      {"instances", core_.instances},
      {"open_requests", core_.open_exchanges},
      {"caller_connections", sessions_.size()},
      {"backends", nlohmann::json::array()},
      {"prepaid", nlohmann::json::object()}};
  if (core_.config) {
    for (const auto& [id, service] : core_.config->services()) {
      for (const BackendEntry* backend :
           core_.directory.Usable(id, std::chrono::steady_clock::now())) {
        dump["backends"].push_back(
            {{"id", backend->id.value()},
             {"service", id.value()},
             {"zone", backend->zone.value()},
             {"in_flight", core_.placement.InFlight(backend->id)}});
      }
    }
  }
  const base::BootTime now = base::BootClock::now();
  for (const base::AccountId& account : keeper_.ledger().Accounts()) {
    dump["prepaid"][account.value()] = {
        {"held", keeper_.ledger().Held(account)},
        {"available", keeper_.ledger().Available(account, now)},
        {"used_here", keeper_.ledger().Used(account)},
        {"undrawn", keeper_.Undrawn(account)}};
  }
  return dump.dump() + "\n";
}

}  // namespace dandelionmill::gateway
