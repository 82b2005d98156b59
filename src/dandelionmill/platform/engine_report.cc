#include "dandelionmill/platform/engine_report.h"

#include <nlohmann/json.hpp>

namespace dandelionmill::platform {

std::string ReportRequestHead(const net::Address& backend) {
  return "GET /api/report HTTP/1.1\r\nHost: " + net::ToString(backend) +
         "\r\n\r\n";
}

std::string HealthRequestHead(const net::Address& backend,
                              const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: " + net::ToString(backend) +
         "\r\n\r\n";
}

std::optional<std::int64_t> DecodeReportedIncarnation(const std::string& body) {
  const nlohmann::json report = nlohmann::json::parse(body, nullptr, false);
  // "born" is the time of the process start, as in the registry entry.
  if (!report.is_object() || !report.contains("born") ||
      !report["born"].is_number_integer())
    return std::nullopt;
  return report["born"].get<std::int64_t>();
}

}  // namespace dandelionmill::platform
