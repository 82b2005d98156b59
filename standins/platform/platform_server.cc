#include "standins/platform/platform_server.h"

#include <httplib.h>

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/net/http_server.h"
#include "standins/platform/lagging_list.h"
#include "standins/platform/memory_objects.h"
#include "standins/platform/memory_table.h"
#include "standins/platform/token_bucket.h"

namespace standins::platform {
namespace {

using dandelionmill::base::Code;
using dandelionmill::base::Error;
using dandelionmill::base::ErrorOf;
using dandelionmill::base::IsOk;
using dandelionmill::base::MonoTime;
using dandelionmill::base::ValueOf;
using dandelionmill::net::HttpServer;
using dandelionmill::storage::ListedInstance;
using dandelionmill::storage::Row;
using dandelionmill::storage::Transaction;
using httplib::Request;
using httplib::Response;
using Json = nlohmann::json;

constexpr char kJson[] = "application/json";
constexpr std::size_t kMaxTransactionWrites = 100;
constexpr int kMaxPageSize = 1000;

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

void Send(Response& response, int status, const Json& json) {
  response.status = status;
  response.set_content(json.dump(), kJson);
}

// Closes the connection after the response header and before the body, so that
// the outcome is unknown to the caller.
void LoseAnswer(Response& response) {
  response.status = 500;
  response.set_content_provider(
      1, kJson,
      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

void SendError(Response& response, const Error& error) {
  switch (error.code) {
    case Code::kStoreOutcomeUnknown:
      return LoseAnswer(response);
    case Code::kStoreConflict:
      response.status = 409;
      return response.set_content(error.detail, kJson);
    case Code::kNotFound:
      return Send(response, 404, {{"detail", error.detail}});
    default:
      return Send(response, 503, {{"detail", error.detail}});
  }
}

int PageLimit(const Request& request) {
  const std::string text = request.get_param_value("limit");
  const int limit = text.empty() ? kMaxPageSize : std::atoi(text.c_str());
  return std::min(std::max(limit, 1), kMaxPageSize);
}

Json ToJson(const Row& row) {
  return {{"key", row.key}, {"version", row.version}, {"value", row.value}};
}

Json ToJson(const ListedInstance& instance) {
  return {{"id", instance.id},
          {"role", instance.role},
          {"zone", instance.zone},
          {"region", instance.region},
          {"address", instance.address},
          {"state", instance.leaving ? "leaving" : "live"}};
}

// Parses the body of POST /table/transactions. Throws nlohmann::json::exception
// if the body is malformed.
Transaction ParseTransaction(const std::string& body) {
  Transaction transaction;
  const Json json = Json::parse(body);
  for (const Json& item : json.at("writes")) {
    dandelionmill::storage::RowWrite write;
    write.key = item.at("key").get<std::string>();
    write.expected_version = item.at("expected_version").get<std::uint64_t>();
    write.erase = item.value("erase", false);
    if (!write.erase && !item.value("check", false))
      write.value = item.at("value").get<std::string>();
    transaction.writes.push_back(std::move(write));
  }
  return transaction;
}

Json NewVersions(const Transaction& transaction) {
  Json versions = Json::object();
  for (const auto& write : transaction.writes) {
    if (write.erase)
      versions[write.key] = 0;
    else if (write.value.empty())
      versions[write.key] = write.expected_version;
    else
      versions[write.key] = write.expected_version + 1;
  }
  return {{"versions", versions}};
}

HttpServer::Options ServerOptions(const dandelionmill::net::Address& bind,
                                  int connections) {
  HttpServer::Options options;
  options.bind = bind;
  options.max_connections = connections;
  options.max_body = 16 << 20;
  options.keep_alive = std::chrono::seconds(1);
  return options;
}

}  // namespace

class PlatformServer::Impl {
 public:
  explicit Impl(Options options)
      : options_(std::move(options)),
        table_faults_(std::make_shared<FaultPlan>(options_.seed)),
        object_faults_(std::make_shared<FaultPlan>(options_.seed + 1)),
        table_(table_faults_),
        objects_(object_faults_),
        instances_(options_.list_lag),
        table_limits_{{options_.reads_per_s, Now()},
                      {options_.writes_per_s, Now()}},
        object_limits_{{options_.reads_per_s, Now()},
                       {options_.writes_per_s, Now()}},
        weight_limit_(options_.weight_reads_per_s, Now()),
        server_(ServerOptions(options_.listen, 128)),
        admin_(ServerOptions(options_.admin, 16)) {
    AddTableRoutes();
    AddObjectRoutes();
    AddInstanceAndWeightRoutes();
    AddAdminRoutes();
  }

  dandelionmill::base::Status Start() {
    dandelionmill::base::Status started = admin_.Start();
    return IsOk(started) ? server_.Start() : started;
  }

  void Stop() {
    server_.Stop();
    admin_.Stop();
  }

 private:
  struct Limits {
    TokenBucket reads;
    TokenBucket writes;
  };

  // Applies a rate limit to the call. Answers with status 429 and returns false
  // when the limit is exceeded.
  bool CheckRateLimit(TokenBucket& bucket,
                      std::atomic<std::int64_t>& counter,
                      double units,
                      Response& response) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (!bucket.Take(units, Now())) {
        ++throttled_;
        response.set_header("Retry-After", "1");
        Send(response, 429, {{"detail", "over the rate limit"}});
        return false;
      }
    }
    ++counter;
    return true;
  }

  void InjectDelay(bool is_table) const {
    if (is_table || !faults_table_only_)
      std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms_));
  }

  void AddTableRoutes() {
    auto& routes = server_.routes();
    routes.set_pre_routing_handler([this](const Request& request,
                                          Response& response) {
      const bool allowed = dandelionmill::base::ConstantTimeEquals(
          request.get_header_value("Authorization"), "Bearer " + options_.key);
      if (allowed)
        return httplib::Server::HandlerResponse::Unhandled;
      Send(response, 401, {{"detail", "the platform key is wrong"}});
      return httplib::Server::HandlerResponse::Handled;
    });
    routes.Get("/table/rows/(.+)",
               [this](const Request& request, Response& response) {
                 if (!CheckRateLimit(table_limits_.reads, reads_, 1, response))
                   return;
                 InjectDelay(true);
                 const auto row = table_.Read(request.matches[1].str());
                 if (!IsOk(row))
                   return SendError(response, ErrorOf(row));
                 Send(response, 200, ToJson(ValueOf(row)));
               });
    routes.Get(
        "/table/scan", [this](const Request& request, Response& response) {
          if (!CheckRateLimit(table_limits_.reads, reads_, 1, response))
            return;
          InjectDelay(true);
          const auto rows =
              table_.Scan(request.get_param_value("prefix"),
                          request.get_param_value("after"), PageLimit(request));
          if (!IsOk(rows))
            return SendError(response, ErrorOf(rows));
          Json answer = {{"rows", Json::array()}};
          for (const Row& row : ValueOf(rows))
            answer["rows"].push_back(ToJson(row));
          Send(response, 200, answer);
        });
    routes.Post("/table/transactions",
                [this](const Request& request, Response& response) {
                  Commit(request.body, response);
                });
  }

  void Commit(const std::string& body, Response& response) {
    Transaction transaction;
    try {
      transaction = ParseTransaction(body);
    } catch (const Json::exception& problem) {
      return Send(response, 400, {{"detail", problem.what()}});
    }
    if (transaction.writes.empty() ||
        transaction.writes.size() > kMaxTransactionWrites)
      return Send(response, 400, {{"detail", "1 to 100 writes are allowed"}});
    if (!CheckRateLimit(table_limits_.writes, writes_, 1, response))
      return;
    InjectDelay(true);
    const auto committed = table_.Commit(transaction);
    if (!IsOk(committed))
      return SendError(response, ErrorOf(committed));
    Send(response, 200, NewVersions(transaction));
  }

  void AddObjectRoutes() {
    auto& routes = server_.routes();
    routes.Get(
        "/objects/(.+)", [this](const Request& request, Response& response) {
          if (!CheckRateLimit(object_limits_.reads, reads_, 1, response))
            return;
          InjectDelay(false);
          const auto content = objects_.Get(request.matches[1].str());
          if (!IsOk(content))
            return SendError(response, ErrorOf(content));
          response.set_content(ValueOf(content), "application/octet-stream");
        });
    routes.Get("/objects", [this](const Request& request, Response& response) {
      if (!CheckRateLimit(object_limits_.reads, reads_, 1, response))
        return;
      InjectDelay(false);
      const auto names =
          objects_.List(request.get_param_value("prefix"),
                        request.get_param_value("after"), PageLimit(request));
      if (!IsOk(names))
        return SendError(response, ErrorOf(names));
      Send(response, 200, {{"names", ValueOf(names)}});
    });
    routes.Put("/objects/(.+)", [this](const Request& request,
                                       Response& response) {
      if (!CheckRateLimit(object_limits_.writes, writes_, 1, response))
        return;
      InjectDelay(false);
      const auto stored = objects_.Put(request.matches[1].str(), request.body);
      if (!IsOk(stored))
        return SendError(response, ErrorOf(stored));
      Send(response, 200, Json::object());
    });
  }

  void AddInstanceAndWeightRoutes() {
    auto& routes = server_.routes();
    routes.Get("/instances", [this](const Request&, Response& response) {
      InjectDelay(false);
      if (object_faults_->IsDown())
        return Send(response, 503, {{"detail", "the instance list is down"}});
      Json answer = {{"instances", Json::array()}};
      std::lock_guard<std::mutex> lock(mutex_);
      for (const ListedInstance& instance : instances_.Visible(Now()))
        answer["instances"].push_back(ToJson(instance));
      Send(response, 200, answer);
    });
    routes.Get("/weights/([^/]+)/([^/]+)",
               [this](const Request& request, Response& response) {
                 if (!CheckRateLimit(weight_limit_, weight_reads_, 1, response))
                   return;
                 InjectDelay(false);
                 Send(response, 200,
                      {{"model", request.matches[1].str()},
                       {"version", request.matches[2].str()}});
               });
  }

  void AddAdminRoutes() {
    auto& routes = admin_.routes();
    routes.Post("/faults", [this](const Request& request, Response& response) {
      const Json faults = Json::parse(request.body, nullptr, false);
      if (!faults.is_object())
        return Send(response, 400, {{"detail", "expected a JSON object"}});
      SetFaults(faults);
      Send(response, 200, faults);
    });
    routes.Put(
        "/instances/(.+)", [this](const Request& request, Response& response) {
          const Json item = Json::parse(request.body, nullptr, false);
          if (!item.is_object())
            return Send(response, 400, {{"detail", "expected a JSON object"}});
          std::lock_guard<std::mutex> lock(mutex_);
          instances_.Put(
              {request.matches[1].str(), item.value("role", ""),
               item.value("zone", ""), item.value("region", ""),
               item.value("address", ""), item.value("state", "") == "leaving"},
              Now());
          Send(response, 200, Json::object());
        });
    routes.Delete("/instances/(.+)",
                  [this](const Request& request, Response& response) {
                    std::lock_guard<std::mutex> lock(mutex_);
                    instances_.Erase(request.matches[1].str(), Now());
                    Send(response, 200, Json::object());
                  });
    routes.Get("/records", [this](const Request&, Response& response) {
      Send(response, 200, Records());
    });
    routes.Get(
        "/records/objects", [this](const Request& request, Response& response) {
          Send(response, 200, objects_.All(request.get_param_value("prefix")));
        });
  }

  void SetFaults(const Json& faults) {
    const bool down = faults.value("down", false);
    const int percent = faults.value("lose_answers_percent", 0);
    faults_table_only_ = faults.value("table_only", false);
    delay_ms_ = faults.value("delay_ms", 0);
    table_faults_->SetDown(down);
    table_faults_->SetLoseAnswersPercent(percent);
    object_faults_->SetDown(down && !faults_table_only_);
    object_faults_->SetLoseAnswersPercent(faults_table_only_ ? 0 : percent);
  }

  Json Records() const {
    Json records = {{"writes", writes_.load()},
                    {"reads", reads_.load()},
                    {"weight_reads", weight_reads_.load()},
                    {"throttled", throttled_.load()},
                    {"transactions_committed", table_.committed()},
                    {"rows", Json::object()}};
    for (const Row& row : table_.AllRows()) {
      records["rows"][row.key] = {{"version", row.version},
                                  {"value", row.value}};
    }
    return records;
  }

  const Options options_;
  const std::shared_ptr<FaultPlan> table_faults_;
  const std::shared_ptr<FaultPlan> object_faults_;
  MemoryTable table_;
  MemoryObjects objects_;

  std::mutex mutex_;
  LaggingList instances_;
  Limits table_limits_;
  Limits object_limits_;
  TokenBucket weight_limit_;

  std::atomic<int> delay_ms_{0};
  std::atomic<bool> faults_table_only_{false};
  std::atomic<std::int64_t> writes_{0};
  std::atomic<std::int64_t> reads_{0};
  std::atomic<std::int64_t> weight_reads_{0};
  std::atomic<std::int64_t> throttled_{0};

  HttpServer server_;
  HttpServer admin_;
};

PlatformServer::PlatformServer(Options options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

PlatformServer::~PlatformServer() = default;

dandelionmill::base::Status PlatformServer::Start() {
  return impl_->Start();
}

void PlatformServer::Stop() {
  impl_->Stop();
}

}  // namespace standins::platform
