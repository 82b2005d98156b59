#include "dandelionmill/gateway/gateway.h"

#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/platform/desired_state.h"
#include "dandelionmill/platform/tables.h"

// The operator's rows: configurations and evacuations of availability zones.
namespace dandelionmill::gateway {

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

}  // namespace dandelionmill::gateway
