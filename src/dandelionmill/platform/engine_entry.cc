#include "dandelionmill/platform/engine_entry.h"

#include <nlohmann/json.hpp>

namespace dandelionmill::platform {
namespace {

using nlohmann::json;

// Largest number of slots that is taken for real.
constexpr int kMaxSlots = 1 << 16;

base::Error Malformed(const std::string& id, const std::string& field) {
  return {base::Code::kMalformedMessage, "registry entry \"" + id +
                                             "\": field \"" + field +
                                             "\" is missing or wrong"};
}

}  // namespace

base::Result<gateway::BackendEntry> DecodeEngineEntry(const std::string& id,
                                                      const std::string& text) {
  const json entry = json::parse(text, nullptr, false);
  if (!entry.is_object())
    return Malformed(id, "(all)");
  for (const char* field : {"service", "address", "zone", "state"}) {
    if (!entry.contains(field) || !entry[field].is_string())
      return Malformed(id, field);
  }
  if (id.empty() || !entry.contains("slots") ||
      !entry["slots"].is_number_integer())
    return Malformed(id, "slots");
  gateway::BackendEntry decoded;
  decoded.id = base::BackendId(id);
  decoded.service = base::ServiceId(entry["service"].get<std::string>());
  const auto address = net::ParseAddress(entry["address"].get<std::string>());
  if (!base::IsOk(address))
    return Malformed(id, "address");
  decoded.address = base::ValueOf(address);
  decoded.zone = base::ZoneId(entry["zone"].get<std::string>());
  const auto slots = entry["slots"].get<std::int64_t>();
  if (slots < 1 || slots > kMaxSlots)
    return Malformed(id, "slots");
  decoded.slots = static_cast<int>(slots);
  const auto state = entry["state"].get<std::string>();
  if (state != "ready" && state != "draining")
    return Malformed(id, "state");
  decoded.draining = state == "draining";
  // Unix time of the start in ms; serves as the incarnation number.
  if (entry.contains("born")) {
    if (!entry["born"].is_number_integer())
      return Malformed(id, "born");
    decoded.incarnation = entry["born"].get<std::int64_t>();
  }
  if (entry.contains("coldRemainingMs")) {
    if (!entry["coldRemainingMs"].is_number())
      return Malformed(id, "coldRemainingMs");
    decoded.warm_up_left = std::chrono::milliseconds(
        static_cast<std::int64_t>(entry["coldRemainingMs"].get<double>()));
  }
  return decoded;
}

}  // namespace dandelionmill::platform
