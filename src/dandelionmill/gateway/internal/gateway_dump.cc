#include "dandelionmill/gateway/gateway.h"

#include <nlohmann/json.hpp>

// What operators see of the process: gauges of prepaid tokens, and the dump.
namespace dandelionmill::gateway {

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
