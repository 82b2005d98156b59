#include "dandelionmill/platform/node_settings.h"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

namespace dandelionmill::platform {
namespace {

constexpr char kPathVariable[] = "DANDELIONMILL_NODE_FILE";
constexpr char kDefaultPath[] = "/etc/dandelionmill/node.conf";

using RawSettings = std::map<std::string, std::string>;

base::Error InvalidSetting(const std::string& key,
                           const std::string& value,
                           const std::string& allowed) {
  return {base::Code::kBadSetting, "platform setting \"" + key + "\" is \"" +
                                       value + "\"; allowed: " + allowed};
}

RawSettings SplitSettings(const std::string& text) {
  RawSettings values;
  std::istringstream input(text);
  std::string line;
  while (std::getline(input, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const std::size_t equals = line.find('=');
    if (line.empty() || line[0] == '#' || equals == std::string::npos)
      continue;
    values[line.substr(0, equals)] = line.substr(equals + 1);
  }
  return values;
}

// Converts values to their types and keeps the first error.
class SettingsReader {
 public:
  explicit SettingsReader(const RawSettings& values) : values_(values) {}

  std::string Text(const std::string& key) {
    const auto found = values_.find(key);
    if (found == values_.end() || found->second.empty()) {
      Fail(InvalidSetting(key, "", "a text that is not empty"));
      return {};
    }
    return found->second;
  }

  net::Address Address(const std::string& key) {
    const std::string text = Text(key);
    if (text.empty())
      return {};
    const auto parsed = net::ParseAddress(text);
    if (!base::IsOk(parsed)) {
      Fail(InvalidSetting(key, text, "IP:PORT"));
      return {};
    }
    return base::ValueOf(parsed);
  }

  int FirstPort(const std::string& key) {
    const std::string text = Text(key);
    const int port = std::atoi(text.c_str());
    if (!text.empty() && (port < 1 || port > 65535))
      Fail(InvalidSetting(key, text, "FIRST,LAST with ports from 1 to 65535"));
    return port;
  }

  // The same as the first port if there is no other.
  int LastPort(const std::string& key) {
    const int first = FirstPort(key);
    const std::string text = Text(key);
    const std::size_t comma = text.find(',');
    if (comma == std::string::npos)
      return first;
    const int last = std::atoi(text.c_str() + comma + 1);
    if (last < first || last > 65535)
      Fail(InvalidSetting(key, text, "FIRST,LAST with ports from 1 to 65535"));
    return last;
  }

  // Returns `default_value` when the key is missing or empty.
  double Number(const std::string& key, double default_value, double maximum) {
    const auto found = values_.find(key);
    if (found == values_.end() || found->second.empty())
      return default_value;
    char* end = nullptr;
    const double value = std::strtod(found->second.c_str(), &end);
    if (*end != '\0' || !(value >= 0 && value <= maximum)) {
      Fail(InvalidSetting(key, found->second,
                          "a number from 0 to " + std::to_string(maximum)));
      return default_value;
    }
    return value;
  }

  std::chrono::milliseconds Milliseconds(
      const std::string& key,
      std::chrono::milliseconds default_value,
      double unit_ms = 1) {
    const double value =
        Number(key, static_cast<double>(default_value.count()) / unit_ms, 1e8);
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(value * unit_ms));
  }

  const std::optional<base::Error>& error() const { return error_; }

 private:
  void Fail(base::Error error) {
    if (!error_)
      error_ = std::move(error);
  }

  const RawSettings& values_;
  std::optional<base::Error> error_;
};

std::string NodeSettingsPath() {
  const char* path = std::getenv(kPathVariable);
  return path != nullptr && *path != '\0' ? path : kDefaultPath;
}

}  // namespace

base::Result<NodeSettings> ParseNodeSettings(const std::string& text) {
  const RawSettings values = SplitSettings(text);
  SettingsReader reader(values);
  NodeSettings settings;
  settings.instance = base::InstanceId(reader.Text("nodeName"));
  settings.zone = base::ZoneId(reader.Text("zone"));
  settings.region = base::RegionId(reader.Text("region"));
  settings.frontend_address = reader.Address("listen.frontend");
  settings.readiness = reader.Address("listen.ready");
  settings.store = reader.Address("platform.address");
  // "internalPortRange" is FIRST,LAST, a range of ports reserved for traffic
  // between instances; the first two are used.
  settings.peer_address = {reader.Text("ipAddress"),
                           reader.FirstPort("internalPortRange")};
  settings.last_peer_port = reader.LastPort("internalPortRange");
  settings.shutdown_grace =
      reader.Milliseconds("bounds.graceS", settings.shutdown_grace, 1000);
  settings.drain_timeout =
      reader.Milliseconds("bounds.drainMs", settings.drain_timeout);
  settings.evacuation_bound =
      reader.Milliseconds("bounds.evacuationMs", settings.evacuation_bound);
  settings.heartbeat_interval =
      reader.Milliseconds("heartbeatIntervalMs", settings.heartbeat_interval);
  settings.retry_ratio =
      reader.Number("bounds.retryBudgetRatio", settings.retry_ratio, 1);
  settings.retry_reserve =
      reader.Number("bounds.retryBudgetSlack", settings.retry_reserve, 1e6);
  settings.retry_window =
      reader.Milliseconds("bounds.budgetWindowS", settings.retry_window, 1000);
  settings.cold_overshoot =
      reader.Number("bounds.coldOvershoot", settings.cold_overshoot, 100);
  settings.cold_slack =
      reader.Number("bounds.coldSlack", settings.cold_slack, 1e6);
  settings.max_file_descriptors = static_cast<int>(reader.Number(
      "limits.fileDescriptors", settings.max_file_descriptors, 1e7));
  settings.memory_mb = static_cast<int>(
      reader.Number("limits.memoryMb", settings.memory_mb, 1e7));
  settings.link_bits_per_s = 1e6 * reader.Number("limits.linkMbps", 0, 1e7);
  constexpr char kZonePrefix[] = "zones.";
  for (auto it = values.lower_bound(kZonePrefix);
       it != values.end() && it->first.rfind(kZonePrefix, 0) == 0; ++it) {
    settings.regions[base::ZoneId(it->first.substr(sizeof(kZonePrefix) - 1))] =
        base::RegionId(it->second);
  }
  if (reader.error())
    return *reader.error();
  return settings;
}

std::string ReadNodeSettingsText() {
  std::ifstream file(NodeSettingsPath());
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

base::Result<NodeSettings> LoadNodeSettings() {
  const std::string text = ReadNodeSettingsText();
  if (text.empty()) {
    return base::Error{base::Code::kBadSetting,
                       "the platform's settings file \"" + NodeSettingsPath() +
                           "\" cannot be read"};
  }
  return ParseNodeSettings(text);
}

}  // namespace dandelionmill::platform
