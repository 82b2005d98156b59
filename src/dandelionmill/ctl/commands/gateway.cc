#include <boost/asio/io_context.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "dandelionmill/ctl/admin_client.h"
#include "dandelionmill/ctl/commands/commands.h"
#include "dandelionmill/gateway/gateway_settings.h"
#include "dandelionmill/platform/desired_state.h"
#include "dandelionmill/platform/node_settings.h"
#include "dandelionmill/platform/store_client.h"
#include "dandelionmill/platform/tables.h"
#include "dandelionmill/prepaid/rows.h"

// Commands for gateways that run on the users' platform.
namespace dandelionmill::ctl::commands {
namespace {

using nlohmann::json;

base::Result<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    return base::Error{base::Code::kBadSetting,
                       "file \"" + path + "\" cannot be read"};
  return text.str();
}

Exit RunCheckGateway(const Invocation& invocation, Environment& environment) {
  const auto settings_text = ReadTextFile(invocation.arguments[0]);
  if (!base::IsOk(settings_text))
    return ReportError(base::ErrorOf(settings_text), invocation, environment);
  const auto settings =
      settings::Check(gateway::GatewaySchema(), base::ValueOf(settings_text));
  if (!base::IsOk(settings))
    return ReportError(base::ErrorOf(settings), invocation, environment);
  json checked = {{"valid", true}};
  if (invocation.arguments.size() > 1) {
    const auto node_text = ReadTextFile(invocation.arguments[1]);
    if (!base::IsOk(node_text))
      return ReportError(base::ErrorOf(node_text), invocation, environment);
    const auto node = platform::ParseNodeSettings(base::ValueOf(node_text));
    if (!base::IsOk(node))
      return ReportError(base::ErrorOf(node), invocation, environment);
    checked["instance"] = base::ValueOf(node).instance.value();
    checked["callers"] = net::ToString(base::ValueOf(node).frontend_address);
    checked["store"] = net::ToString(base::ValueOf(node).store);
  }
  if (invocation.json) {
    environment.out << checked.dump() << "\n";
    return Exit::kDone;
  }
  environment.out << "valid";
  for (const char* key : {"instance", "callers", "store"}) {
    if (checked.contains(key))
      environment.out << " " << key << "=" << checked[key].get<std::string>();
  }
  environment.out << "\n";
  return Exit::kDone;
}

// Reads the state of the gateway whose metrics address is `text`. Fails with
// kBadCommandLine when the address is malformed, and with the errors of
// ReadDump.
base::Result<json> ReadGateway(const Environment& environment,
                               const std::string& text) {
  const auto address = net::ParseAddress(text);
  if (!base::IsOk(address))
    return base::Error{base::Code::kBadCommandLine,
                       base::ErrorOf(address).detail};
  return ReadDump(environment, base::ValueOf(address));
}

Exit RunGatewayStatus(const Invocation& invocation, Environment& environment) {
  const auto read = ReadGateway(environment, invocation.arguments[0]);
  if (!base::IsOk(read))
    return ReportError(base::ErrorOf(read), invocation, environment);
  const json& dump = base::ValueOf(read);
  if (invocation.json) {
    environment.out << dump.dump() << "\n";
    return Exit::kDone;
  }
  for (const char* key :
       {"process", "zone", "ready", "leaving", "overloaded", "config_version",
        "instances", "open_requests", "caller_connections"})
    environment.out << key << ": " << dump.value(key, json()).dump() << "\n";
  for (const json& evacuation : dump.value("evacuations", json::array()))
    environment.out << "evacuation: " << evacuation.dump() << "\n";
  environment.out << "backend servers: "
                  << dump.value("backends", json::array()).size() << "\n";
  for (const json& backend : dump.value("backends", json::array()))
    environment.out << "  " << backend.dump() << "\n";
  return Exit::kDone;
}

// Reads rows of the platform's store, blocking up to `timeout` for each.
class StoreReader {
 public:
  StoreReader(const net::Address& store, std::chrono::milliseconds timeout)
      : timeout_(timeout), client_(loop_, store) {}

  // Returns the value of a row, or nothing if it does not exist. Fails with
  // kStoreUnavailable.
  base::Result<std::optional<std::string>> Read(const char* table,
                                                const std::string& part,
                                                const char* key) {
    storage::TableResponse answer;
    client_.Read(
        table, part, key, timeout_,
        [&](storage::TableResponse received) { answer = std::move(received); });
    loop_.restart();
    loop_.run();
    if (answer.outcome != storage::CallOutcome::kDone)
      return base::Error{base::Code::kStoreUnavailable,
                         "store call failed: " + answer.detail};
    for (const storage::VersionedRow& row : answer.rows) {
      if (row.key.key == key && !row.deleted)
        return std::optional<std::string>(row.value);
    }
    return std::optional<std::string>();
  }

 private:
  const std::chrono::milliseconds timeout_;
  boost::asio::io_context loop_;
  platform::StoreClient client_;
};

// Returns one account's prepaid tokens as stored and as reported by a gateway.
// `reported` is null when the gateway reports none.
base::Result<json> CompareTokens(StoreReader& store,
                                 const gateway::ClientAccount& account,
                                 const json& reported) {
  const auto row =
      store.Read(prepaid::kTable, prepaid::kAccountPart + account.id.value(),
                 prepaid::kTotalKey);
  if (!base::IsOk(row))
    return base::ErrorOf(row);
  base::Tokens drawn = 0;
  if (base::ValueOf(row)) {
    const auto decoded = prepaid::DecodeAccountRow(*base::ValueOf(row));
    if (!base::IsOk(decoded))
      return base::ErrorOf(decoded);
    drawn = base::ValueOf(decoded).drawn;
  }
  return json{{"account", account.id.value()},
              {"prepaid", *account.prepaid},
              {"stored_drawn", drawn},
              {"stored_undrawn", *account.prepaid - drawn},
              {"believed", reported.is_null() ? json::object() : reported}};
}

Exit RunPrepaid(const Invocation& invocation, Environment& environment) {
  const auto dump = ReadGateway(environment, invocation.arguments[0]);
  if (!base::IsOk(dump))
    return ReportError(base::ErrorOf(dump), invocation, environment);
  const auto address = net::ParseAddress(invocation.arguments[1]);
  if (!base::IsOk(address))
    return ReportError(
        {base::Code::kBadCommandLine, base::ErrorOf(address).detail},
        invocation, environment);
  StoreReader store(base::ValueOf(address), environment.timeout);
  const auto state =
      store.Read(platform::kDesiredStateTable, "", platform::kDesiredStateKey);
  if (!base::IsOk(state))
    return ReportError(base::ErrorOf(state), invocation, environment);
  if (!base::ValueOf(state))
    return ReportError(
        {base::Code::kNoConfig, "the store has no configuration"}, invocation,
        environment);
  const auto config = platform::DecodeDesiredState(*base::ValueOf(state));
  if (!base::IsOk(config))
    return ReportError(base::ErrorOf(config), invocation, environment);
  const json reported = base::ValueOf(dump).value("prepaid", json::object());
  json lines = json::array();
  for (const gateway::ClientAccount& account :
       base::ValueOf(config)->accounts()) {
    if (!account.prepaid)
      continue;
    const auto line = CompareTokens(store, account,
                                    reported.value(account.id.value(), json()));
    if (!base::IsOk(line))
      return ReportError(base::ErrorOf(line), invocation, environment);
    lines.push_back(base::ValueOf(line));
  }
  if (invocation.json) {
    environment.out << lines.dump() << "\n";
    return Exit::kDone;
  }
  for (const json& line : lines) {
    environment.out << line["account"].get<std::string>()
                    << " prepaid=" << line["prepaid"]
                    << " stored_drawn=" << line["stored_drawn"]
                    << " stored_undrawn=" << line["stored_undrawn"]
                    << " believed=" << line["believed"].dump() << "\n";
  }
  return Exit::kDone;
}

}  // namespace

Command CheckGateway() {
  return {"check-gateway",
          "SETTINGS [NODE_FILE]",
          "Checks a gateway's settings file and, if given, the platform's node "
          "file of an instance.",
          1,
          2,
          {},
          RunCheckGateway};
}

Command GatewayStatus() {
  return {
      "gateway", "METRICS_ADDRESS", "Prints the state of one gateway.", 1, 1,
      {},        RunGatewayStatus};
}

Command Prepaid() {
  return {"prepaid",
          "METRICS_ADDRESS STORE_ADDRESS",
          "Prints each account's prepaid tokens as stored and as reported by a "
          "gateway.",
          2,
          2,
          {},
          RunPrepaid};
}

}  // namespace dandelionmill::ctl::commands
