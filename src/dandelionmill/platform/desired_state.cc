#include "dandelionmill/platform/desired_state.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <string_view>
#include <type_traits>
#include <utility>

#include "dandelionmill/platform/tables.h"

namespace dandelionmill::platform {
namespace {

using nlohmann::json;

// Thrown by the nested readers; DecodeDesiredState converts it to an Error.
struct DecodeError {
  std::string detail;
};

const json& RequireField(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end())
    throw DecodeError{std::string("field \"") + name + "\" is missing"};
  return *found;
}

template <class T>
T ReadField(const json& object, const char* name) {
  try {
    return RequireField(object, name).get<T>();
  } catch (const json::exception&) {
    throw DecodeError{std::string("field \"") + name + "\" has a wrong type"};
  }
}

template <class T>
T ReadFieldOr(const json& object, const char* name, T default_value) {
  return object.contains(name) && !object[name].is_null()
             ? ReadField<T>(object, name)
             : default_value;
}

std::chrono::milliseconds ReadMillis(const json& object,
                                     const char* name,
                                     std::chrono::milliseconds default_value) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(ReadFieldOr<double>(
          object, name, static_cast<double>(default_value.count()))));
}

// Reads lists of home regions. Equal lists share one object, since a
// configuration may have hundreds of thousands of accounts.
class HomeRegionsReader {
 public:
  scheduling::HomeRegions Read(const json& object, const std::string& owner) {
    const auto field = object.find("homeRegions");
    if (field == object.end() || field->is_null())
      return nullptr;
    const auto is_name = [](const json& item) { return item.is_string(); };
    if (!field->is_array() ||
        !std::all_of(field->begin(), field->end(), is_name)) {
      throw DecodeError{"field \"homeRegions\" of " + owner + " is " +
                        field->dump().substr(0, kMaxQuotedBytes) +
                        "; allowed: a list of region names"};
    }
    std::vector<base::RegionId> regions;
    for (const json& name : *field)
      regions.emplace_back(name.get<std::string>());
    auto [known, is_new] = known_.try_emplace(regions);
    if (is_new)
      known->second = scheduling::MakeHomeRegions(std::move(regions));
    return known->second;
  }

 private:
  // Longest part of a wrong value in an error message.
  static constexpr std::size_t kMaxQuotedBytes = 80;

  std::map<std::vector<base::RegionId>, scheduling::HomeRegions> known_;
};

gateway::RequestKind ReadRequestKind(const json& route) {
  const auto kind = ReadField<std::string>(route, "kind");
  if (kind == "safe")
    return gateway::RequestKind::kIdempotent;
  if (kind == "streaming") {
    return ReadFieldOr<bool>(route, "resumable", false)
               ? gateway::RequestKind::kResumableStream
               : gateway::RequestKind::kStream;
  }
  // An unknown kind may have side effects, so it is not retried.
  return gateway::RequestKind::kNonIdempotent;
}

std::vector<gateway::WeightedService> ReadServices(const json& route) {
  std::vector<gateway::WeightedService> services;
  if (route.contains("trafficSplit") && !route["trafficSplit"].empty()) {
    for (const json& share : route["trafficSplit"]) {
      services.push_back(
          {base::ServiceId(ReadField<std::string>(share, "service")),
           static_cast<int>(ReadField<double>(share, "weight"))});
    }
  } else {
    services.push_back(
        {base::ServiceId(ReadField<std::string>(route, "service"))});
  }
  return services;
}

gateway::Route ReadRoute(const json& object, HomeRegionsReader& home_regions) {
  gateway::Route route;
  route.name = ReadFieldOr<std::string>(object, "name", "");
  route.host = ReadField<std::string>(object, "host");
  route.path_prefix = ReadField<std::string>(object, "prefix");
  route.kind = ReadRequestKind(object);
  route.services = ReadServices(object);
  route.timeout =
      ReadMillis(object, "timeoutMs", std::chrono::milliseconds(10000));
  // "targetLatencyMs" covers the complete response, or, for a stream, the time
  // to its first event.
  route.latency_objective =
      ReadMillis(object, "targetLatencyMs", std::chrono::milliseconds(1000));
  route.event_gap_objective =
      ReadMillis(object, "targetGapMs", std::chrono::milliseconds(0));
  route.max_attempts = std::max(1, ReadFieldOr<int>(object, "attempts", 1));
  route.priority = ReadFieldOr<int>(object, "priority", 5);
  route.is_public = ReadFieldOr<bool>(object, "public", false);
  route.home_regions =
      home_regions.Read(object, "route " + route.host + route.path_prefix);
  return route;
}

// Largest rate and number of seconds that a service may name.
constexpr double kMaxServiceNumber = 1e6;

// Returns 0 if the field is missing or null.
double ReadServiceNumber(const json& object, const char* name) {
  const auto value = ReadFieldOr<double>(object, name, 0);
  if (!(value >= 0 && value <= kMaxServiceNumber)) {
    throw DecodeError{std::string("field \"") + name + "\" is " +
                      std::to_string(value) + "; allowed: 0 to 1000000"};
  }
  return value;
}

gateway::Service ReadService(const json& object) {
  gateway::Service service;
  service.id = base::ServiceId(ReadField<std::string>(object, "name"));
  service.health_path =
      ReadFieldOr<std::string>(object, "healthPath", "/health");
  service.max_connections = ReadFieldOr<int>(object, "connectionLimit", 64);
  service.cold_start = std::chrono::milliseconds(static_cast<std::int64_t>(
      1000 * ReadServiceNumber(object, "coldStartS")));
  service.cold_requests_per_s = ReadServiceNumber(object, "coldPerS");
  if (object.contains("engine") && object["engine"].is_object()) {
    const json& engine = object["engine"];
    gateway::EngineTraits traits;
    traits.slots = ReadFieldOr<int>(engine, "slots", 1);
    traits.kv_cache_tokens =
        ReadFieldOr<base::Tokens>(engine, "kvCacheTokens", 0);
    // "stride" is the largest number of tokens in one event.
    traits.tokens_per_event = ReadFieldOr<base::Tokens>(engine, "stride", 1);
    service.engine = traits;
  }
  return service;
}

gateway::ClientAccount ReadAccount(const json& object,
                                   HomeRegionsReader& home_regions) {
  gateway::ClientAccount account;
  account.id = base::AccountId(ReadField<std::string>(object, "name"));
  account.api_keys =
      ReadFieldOr<std::vector<std::string>>(object, "apiKeys", {});
  if (object.contains("priority") && object["priority"].is_number())
    account.priority = ReadField<int>(object, "priority");
  if (object.contains("prepaid") && object["prepaid"].is_number())
    account.prepaid =
        static_cast<base::Tokens>(ReadField<double>(object, "prepaid"));
  account.home_regions =
      home_regions.Read(object, "account " + account.id.value());
  return account;
}

gateway::CallerLimits ReadLimits(const json& state) {
  gateway::CallerLimits limits;
  if (!state.contains("limits"))
    return limits;
  const json& object = state["limits"];
  limits.max_header_bytes = ReadFieldOr<std::size_t>(object, "maxHeaderBytes",
                                                     limits.max_header_bytes);
  limits.max_body_bytes =
      ReadFieldOr<std::size_t>(object, "maxBodyBytes", limits.max_body_bytes);
  limits.header_timeout =
      ReadMillis(object, "headerTimeoutMs", limits.header_timeout);
  limits.idle_timeout =
      ReadMillis(object, "idleTimeoutMs", limits.idle_timeout);
  return limits;
}

// `read` converts one item.
template <class Reader>
auto ReadList(const json& state, const char* name, const Reader& read) {
  std::vector<std::invoke_result_t<Reader, const json&>> list;
  if (!state.contains(name))
    return list;
  if (!state[name].is_array())
    throw DecodeError{std::string("field \"") + name + "\" is not a list"};
  for (const json& item : state[name])
    list.push_back(read(item));
  return list;
}

}  // namespace

base::Result<gateway::FleetConfigPtr> DecodeDesiredState(
    const std::string& text) {
  const json state = json::parse(text, nullptr, false);
  if (!state.is_object()) {
    return base::Error{base::Code::kBadInventory,
                       "the desired state is not a JSON object"};
  }
  HomeRegionsReader home_regions;
  const auto read_route = [&](const json& object) {
    return ReadRoute(object, home_regions);
  };
  const auto read_account = [&](const json& object) {
    return ReadAccount(object, home_regions);
  };
  try {
    return gateway::FleetConfigPtr(std::make_shared<gateway::FleetConfig>(
        ReadField<base::ConfigVersion>(state, "version"),
        ReadList(state, "routes", read_route),
        ReadList(state, "services", ReadService),
        ReadList(state, "tenants", read_account), state.contains("tenants"),
        ReadLimits(state)));
  } catch (const DecodeError& error) {
    return base::Error{base::Code::kBadInventory,
                       "desired state: " + error.detail};
  } catch (const json::exception& error) {
    return base::Error{base::Code::kBadInventory,
                       std::string("desired state: ") + error.what()};
  }
}

std::optional<scheduling::EvacuationRow> DecodeEvacuationRow(
    const storage::VersionedRow& row) {
  constexpr std::string_view kPrefix = kEvacuationKeyPrefix;
  const std::string& key = row.key.key;
  if (key.compare(0, kPrefix.size(), kPrefix) != 0)
    return std::nullopt;
  scheduling::EvacuationRow decoded;
  decoded.zone = base::ZoneId(key.substr(kPrefix.size()));
  decoded.version = row.version;
  if (row.deleted)
    decoded.state = scheduling::EvacuationRow::Removed{};
  else if (!json::parse(row.value, nullptr, false).is_object())
    decoded.state = scheduling::EvacuationRow::Malformed{};
  return decoded;
}

}  // namespace dandelionmill::platform
