#include "dandelionmill/platform/desired_state.h"

#include <nlohmann/json.hpp>
#include <utility>

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

gateway::Route ReadRoute(const json& object) {
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

gateway::ClientAccount ReadAccount(const json& object) {
  gateway::ClientAccount account;
  account.id = base::AccountId(ReadField<std::string>(object, "name"));
  account.api_keys =
      ReadFieldOr<std::vector<std::string>>(object, "apiKeys", {});
  if (object.contains("priority") && object["priority"].is_number())
    account.priority = ReadField<int>(object, "priority");
  if (object.contains("prepaid") && object["prepaid"].is_number())
    account.prepaid =
        static_cast<base::Tokens>(ReadField<double>(object, "prepaid"));
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

template <class T>
std::vector<T> ReadList(const json& state,
                        const char* name,
                        T (*read)(const json&)) {
  std::vector<T> list;
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
  try {
    return gateway::FleetConfigPtr(std::make_shared<gateway::FleetConfig>(
        ReadField<base::ConfigVersion>(state, "version"),
        ReadList(state, "routes", ReadRoute),
        ReadList(state, "services", ReadService),
        ReadList(state, "tenants", ReadAccount), state.contains("tenants"),
        ReadLimits(state)));
  } catch (const DecodeError& error) {
    return base::Error{base::Code::kBadInventory,
                       "desired state: " + error.detail};
  } catch (const json::exception& error) {
    return base::Error{base::Code::kBadInventory,
                       std::string("desired state: ") + error.what()};
  }
}

}  // namespace dandelionmill::platform
