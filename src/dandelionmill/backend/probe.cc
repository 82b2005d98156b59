#include "dandelionmill/backend/probe.h"

#include <nlohmann/json.hpp>
#include <string>

#include "dandelionmill/net/http_client.h"

namespace dandelionmill::backend {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

base::Tokens GetInteger(const nlohmann::json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number_integer()
             ? found->get<base::Tokens>()
             : 0;
}

ProbeResult ParseProbeResult(
    const std::variant<net::HttpClientResponse, net::CallFailure>& result) {
  if (const auto* failure = std::get_if<net::CallFailure>(&result)) {
    return *failure == net::CallFailure::kConnectFailed
               ? ProbeResult(BackendDown{})
               : ProbeResult(ProbeInconclusive{});
  }
  const auto& response = std::get<net::HttpClientResponse>(result);
  if (response.status == kNotFound)
    return AttemptUnknown{};
  const auto json = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != kOk || !json.is_object() || !json.contains("state"))
    return ProbeInconclusive{};
  AttemptRecord record;
  record.usage = {GetInteger(json, "prompt_tokens"),
                  GetInteger(json, "completion_tokens")};
  if (json["state"] == "completed")
    record.state = AttemptRecord::State::kCompleted;
  else if (json["state"] == "cancelled")
    record.state = AttemptRecord::State::kCancelled;
  else if (json["state"] != "running")
    return ProbeInconclusive{};
  return record;
}

ProbeResult SendAttemptRequest(net::Fiber& fiber,
                               const net::Address& address,
                               const char* method,
                               const base::AttemptId& attempt,
                               std::chrono::milliseconds timeout) {
  return ParseProbeResult(net::Call(fiber, address,
                                    {method, AttemptPath(attempt), {}, {}},
                                    {timeout, timeout}));
}

}  // namespace

std::string AttemptPath(const base::AttemptId& attempt) {
  return "/v1/attempts/" + net::PercentEncode(attempt.value());
}

ProbeResult ProbeAttempt(net::Fiber& fiber,
                         const net::Address& address,
                         const base::AttemptId& attempt,
                         std::chrono::milliseconds timeout) {
  return SendAttemptRequest(fiber, address, "GET", attempt, timeout);
}

ProbeResult CancelAttempt(net::Fiber& fiber,
                          const net::Address& address,
                          const base::AttemptId& attempt,
                          std::chrono::milliseconds timeout) {
  return SendAttemptRequest(fiber, address, "DELETE", attempt, timeout);
}

}  // namespace dandelionmill::backend
