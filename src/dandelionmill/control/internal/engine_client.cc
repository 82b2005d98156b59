#include "dandelionmill/control/internal/engine_client.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace dandelionmill::control::internal {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

httplib::Client ClientOf(const net::Address& address) {
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(EngineClient::kTimeout);
  client.set_read_timeout(EngineClient::kTimeout);
  client.set_write_timeout(EngineClient::kTimeout);
  return client;
}

std::optional<std::set<std::string>> ParseModels(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object())
    return std::nullopt;
  std::set<std::string> models;
  const auto found = json.find("models");
  if (found == json.end() || !found->is_array())
    return std::nullopt;
  for (const auto& model : *found) {
    if (model.is_string())
      models.insert(model.get<std::string>());
  }
  return models;
}

}  // namespace

EngineClient::EngineClient(int threads) : workers_(threads) {}

void EngineClient::QueryModels(const base::ServiceId& service,
                               const base::BackendId& backend,
                               const net::Address& address) {
  Add({service, backend, address, "", {}});
}

void EngineClient::SendOrder(const base::ServiceId& service,
                             const base::BackendId& backend,
                             const net::Address& address,
                             std::string body,
                             std::chrono::steady_clock::time_point not_after) {
  Add({service, backend, address, std::move(body), not_after});
}

void EngineClient::Add(Job job) {
  workers_.Add([this, job = std::move(job)] {
    EngineReply reply = Run(job);
    std::lock_guard<std::mutex> lock(mutex_);
    replies_.push_back(std::move(reply));
  });
}

std::vector<EngineReply> EngineClient::TakeReplies() {
  std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(replies_, {});
}

EngineReply EngineClient::Run(const Job& job) {
  httplib::Client client = ClientOf(job.address);
  if (job.order.empty()) {
    EngineReport report{job.service, job.backend, std::nullopt};
    const auto result = client.Get("/v1/load");
    if (result && result->status == kOk)
      report.models = ParseModels(result->body);
    return report;
  }
  OrderReply reply{job.service, job.backend, false, 0};
  if (std::chrono::steady_clock::now() >= job.not_after)
    return reply;
  const auto result = client.Post("/v1/orders", job.order, "application/json");
  if (!result)
    return reply;
  reply.accepted = result->status == kOk;
  if (result->status == kConflict) {
    const auto json = nlohmann::json::parse(result->body, nullptr, false);
    if (json.is_object())
      reply.higher_fence = json.value("fence", std::uint64_t{0});
  }
  return reply;
}

}  // namespace dandelionmill::control::internal
