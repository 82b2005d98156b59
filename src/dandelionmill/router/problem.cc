#include "dandelionmill/router/problem.h"

#include <nlohmann/json.hpp>

namespace dandelionmill::router {

std::string ToJson(const Problem& problem, const base::RequestKey& key) {
  const base::CodeInfo& info = base::InfoOf(problem.error.code);
  nlohmann::ordered_json json;
  json["type"] = "about:blank";
  json["title"] = info.name;
  json["status"] = info.http_status;
  json["code"] = static_cast<int>(problem.error.code);
  json["detail"] =
      problem.error.detail.empty() ? info.meaning : problem.error.detail;
  json["ran"] = base::ToString(problem.ran);
  json["request_key"] = key.value();
  return json.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

int RetryAfterSeconds(const Problem& problem) {
  constexpr std::chrono::milliseconds kRoundUp{999};
  return static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(
                              problem.retry_after + kRoundUp)
                              .count());
}

}  // namespace dandelionmill::router
