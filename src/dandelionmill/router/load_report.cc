#include "dandelionmill/router/load_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dandelionmill::router {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::int64_t IntegerOf(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number_integer()
             ? found->get<std::int64_t>()
             : 0;
}

bool BooleanOf(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_boolean() && found->get<bool>();
}

std::string TextOf(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

}  // namespace

std::optional<routing::LoadReport> ParseLoad(const std::string& text,
                                             base::WallTime wall_now,
                                             base::MonoTime now) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object())
    return std::nullopt;
  routing::LoadReport report;
  report.running = static_cast<int>(IntegerOf(body, "running"));
  report.waiting = static_cast<int>(IntegerOf(body, "waiting"));
  report.slots = static_cast<int>(IntegerOf(body, "slots"));
  report.leaving = BooleanOf(body, "leaving");
  const auto models = body.find("models");
  if (models != body.end() && models->is_array()) {
    for (const json& model : *models) {
      if (model.is_string())
        report.models.insert(model.get<std::string>());
    }
  }
  report.measured_at = now;
  const std::int64_t generated = IntegerOf(body, "generated_at_unix_ms");
  if (generated > 0) {
    const base::WallTime measured{milliseconds(generated)};
    const auto age = std::clamp<base::WallTime::duration>(
        wall_now - measured, milliseconds(0), std::chrono::hours(1));
    report.measured_at =
        now - std::chrono::duration_cast<base::MonoTime::duration>(age);
  }
  return report;
}

CacheEventPage ParseCacheEvents(const std::string& text) {
  CacheEventPage page;
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("events") ||
      !body["events"].is_array())
    return page;
  for (const json& event : body["events"]) {
    if (!event.is_object())
      continue;
    const std::int64_t sequence = IntegerOf(event, "seq");
    if (sequence < 1)
      continue;
    page.events.push_back({static_cast<std::uint64_t>(sequence),
                           TextOf(event, "kind") == "stored",
                           TextOf(event, "block")});
  }
  page.next = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, IntegerOf(body, "next")));
  return page;
}

}  // namespace dandelionmill::router
