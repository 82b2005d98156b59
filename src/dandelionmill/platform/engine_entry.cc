#include "dandelionmill/platform/engine_entry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dandelionmill::platform {
namespace {

using nlohmann::json;

// Upper bound for a plausible number of slots; larger values are rejected.
constexpr int kMaxSlots = 1 << 16;

base::Error MalformedField(const std::string& id, const std::string& field) {
  return {base::Code::kMalformedMessage, "registry entry \"" + id +
                                             "\": field \"" + field +
                                             "\" is missing or wrong"};
}

}  // namespace

base::Result<gateway::BackendEntry> DecodeEngineEntry(const std::string& id,
                                                      const std::string& text) {
  const json entry = json::parse(text, nullptr, false);
  if (!entry.is_object())
    return MalformedField(id, "(all)");
  for (const char* field : {"service", "address", "zone", "state"}) {
    if (!entry.contains(field) || !entry[field].is_string())
      return MalformedField(id, field);
  }
  if (id.empty() || !entry.contains("slots") ||
      !entry["slots"].is_number_integer())
    return MalformedField(id, "slots");
  gateway::BackendEntry decoded;
  decoded.id = base::BackendId(id);
  decoded.service = base::ServiceId(entry["service"].get<std::string>());
  const auto address = net::ParseAddress(entry["address"].get<std::string>());
  if (!base::IsOk(address))
    return MalformedField(id, "address");
  decoded.address = base::ValueOf(address);
  decoded.zone = base::ZoneId(entry["zone"].get<std::string>());
  const auto slots = entry["slots"].get<std::int64_t>();
  if (slots < 1 || slots > kMaxSlots)
    return MalformedField(id, "slots");
  decoded.slots = static_cast<int>(slots);
  const auto state = entry["state"].get<std::string>();
  if (state != "ready" && state != "draining")
    return MalformedField(id, "state");
  decoded.draining = state == "draining";
  // "born" is the Unix time of the process start in ms. It increases with each
  // restart, so it serves as the incarnation number.
  if (entry.contains("born")) {
    if (!entry["born"].is_number_integer())
      return MalformedField(id, "born");
    decoded.incarnation = entry["born"].get<std::int64_t>();
  }
  // "version" is that of the engine's software, not of the weights.
  if (entry.contains("version") && entry["version"].is_string())
    decoded.software_version = entry["version"].get<std::string>();
  // "sequence" counts what the engine has said of itself; heartbeats without
  // another change do not show in the feed.
  if (entry.contains("sequence") && entry["sequence"].is_number_unsigned())
    decoded.change_count = entry["sequence"].get<std::uint64_t>();
  if (entry.contains("coldRemainingMs")) {
    if (!entry["coldRemainingMs"].is_number())
      return MalformedField(id, "coldRemainingMs");
    // "coldRemainingMs" is the remaining warm-up time.
    // Negative for a server that has warmed up; no server takes a day.
    constexpr double kMaxWarmUpMs = 24 * 3600 * 1000.0;
    decoded.remaining_warm_up =
        std::chrono::milliseconds(static_cast<std::int64_t>(std::clamp(
            entry["coldRemainingMs"].get<double>(), 0.0, kMaxWarmUpMs)));
  }
  return decoded;
}

}  // namespace dandelionmill::platform
