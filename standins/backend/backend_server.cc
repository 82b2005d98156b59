#include "standins/backend/backend_server.h"

#include <httplib.h>
#include <unistd.h>

#include <atomic>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/net/http_server.h"
#include "standins/backend/engine.h"
#include "standins/backend/faults.h"
#include "standins/backend/model_set.h"
#include "standins/backend/plain_service.h"

namespace standins::backend {
namespace {

using dandelionmill::base::IsOk;
using dandelionmill::base::MonoTime;
using dandelionmill::base::Sha256Hex;
using dandelionmill::base::ValueOf;
using dandelionmill::net::HttpServer;
using httplib::DataSink;
using httplib::Request;
using httplib::Response;
using Json = nlohmann::json;

constexpr int kCrashExitStatus = 70;
constexpr char kCrashMarker[] = "\"crash-the-backend\"";
constexpr char kJson[] = "application/json";
constexpr char kEventStream[] = "text/event-stream";
constexpr std::chrono::milliseconds kEventWaitTimeout{500};
constexpr std::chrono::milliseconds kLoadSampleInterval{50};
constexpr std::size_t kMaxCacheEvents = 5000;

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

void Send(Response& response, int status, const Json& json) {
  response.status = status;
  response.set_content(json.dump(), kJson);
}

std::int64_t ToInteger(const std::string& text, std::int64_t default_value) {
  return text.empty() ? default_value : std::atoll(text.c_str());
}

RunRecord NewRecord(const Request& request) {
  RunRecord record;
  record.attempt = request.get_header_value("X-Attempt-Id");
  record.account = request.get_header_value("X-Account");
  record.request_key = request.get_header_value("X-Request-Key");
  record.body_sha256 = Sha256Hex(request.body);
  record.path = request.path;
  record.arrived_unix_us = UnixUs();
  record.started_unix_ms = UnixMs();
  return record;
}

HttpServer::Options ServerOptions(const dandelionmill::net::Address& bind,
                                  int connections) {
  HttpServer::Options options;
  options.bind = bind;
  options.max_connections = connections;
  options.max_body = 16 << 20;
  options.io_timeout = std::chrono::seconds(30);
  options.keep_alive = std::chrono::seconds(5);
  return options;
}

Faults ParseFaults(const Json& json) {
  Faults faults;
  faults.down = json.value("down", false);
  faults.delay = std::chrono::milliseconds(json.value("delay_ms", 0));
  faults.leaving = json.value("leaving", false);
  faults.leaving_silently = json.value("leaving_silently", false);
  faults.drop_events_percent = json.value("drop_events_percent", 0);
  faults.break_streams_after = json.value("break_streams_after", 0);
  faults.slow_factor = json.value("slow_factor", 1.0);
  return faults;
}

ModelSet::Options ModelOptions(const BackendServer::Options& options) {
  ModelSet::Options models;
  models.models = options.models;
  models.checks_fencing = options.checks_fencing;
  models.load_time = options.load_time;
  if (options.weight_store.port == 0)
    return models;
  models.fetch = [options](const std::string& model,
                           const std::string& version) {
    httplib::Client client(options.weight_store.host,
                           options.weight_store.port);
    client.set_bearer_token_auth(options.platform_key);
    const auto result =
        client.Get(("/weights/" + model + "/" + version).c_str());
    return result && result->status == 200;
  };
  return models;
}

Engine::Options EngineOptions(const BackendServer::Options& options) {
  Engine::Options engine;
  engine.slots = options.slots;
  engine.prefill_per_token = options.prefill_per_token;
  engine.cache.capacity = options.kv_blocks;
  engine.cache.event_lag = options.load_lag;
  engine.cache.seed = options.seed;
  return engine;
}

}  // namespace

class BackendServer::Impl {
 public:
  explicit Impl(Options options)
      : options_(std::move(options)),
        faults_(options_.seed),
        records_(options_.records_file),
        engine_(EngineOptions(options_),
                records_,
                [] { ::_exit(kCrashExitStatus); }),
        plain_(options_.slots, options_.token_interval, records_),
        models_(ModelOptions(options_)),
        server_(ServerOptions(options_.listen, options_.max_connections)),
        admin_(ServerOptions(options_.admin, 4)) {
    AddCommonRoutes();
    if (options_.kind == Kind::kModel)
      AddModelRoutes();
    else
      AddPlainRoutes();
    AddAdminRoutes();
  }

  dandelionmill::base::Status Start() {
    step_thread_ = std::thread([this] { RunSteps(); });
    dandelionmill::base::Status started = admin_.Start();
    return IsOk(started) ? server_.Start() : started;
  }

  void Stop() {
    stopping_ = true;
    if (step_thread_.joinable())
      step_thread_.join();
    server_.Stop();
    admin_.Stop();
  }

 private:
  // A connection that streams the events of an attempt.
  struct Stream {
    std::shared_ptr<Attempt> attempt;
    int last_id = 0;
    int sent = 0;
  };

  struct LoadSample {
    MonoTime taken_at;
    std::int64_t unix_ms = 0;
    Engine::Load load;
  };

  void AddCommonRoutes() {
    auto& routes = server_.routes();
    routes.set_pre_routing_handler([this](const Request&, Response& response) {
      const Faults faults = faults_.Get();
      std::this_thread::sleep_for(faults.delay);
      if (!faults.down)
        return httplib::Server::HandlerResponse::Unhandled;
      Send(response, 503, {{"detail", "the backend server is down"}});
      return httplib::Server::HandlerResponse::Handled;
    });
    routes.Get("/v1/load", [this](const Request&, Response& response) {
      Send(response, 200, LoadReport());
    });
  }

  void AddModelRoutes() {
    auto& routes = server_.routes();
    const auto run = [this](const Request& request, Response& response) {
      HandleCompletion(request, response);
    };
    routes.Post("/v1/chat/completions", run);
    routes.Post("/v1/completions", run);
    routes.Get("/v1/attempts/(.+)/events", [this](const Request& request,
                                                  Response& response) {
      const auto attempt = engine_.Find(request.matches[1].str());
      if (!attempt)
        return Send(response, 404, {{"detail", "no such attempt"}});
      const auto last = ToInteger(request.get_header_value("Last-Event-ID"), 0);
      SendEvents(attempt, static_cast<int>(last), response);
    });
    routes.Get("/v1/attempts/(.+)",
               [this](const Request& request, Response& response) {
                 SendAttempt(engine_.Find(request.matches[1].str()), response);
               });
    routes.Delete("/v1/attempts/(.+)", [this](const Request& request,
                                              Response& response) {
      SendAttempt(engine_.Cancel(request.matches[1].str()), response);
    });
    routes.Get("/v1/cache-events",
               [this](const Request& request, Response& response) {
                 SendCacheEvents(request, response);
               });
    routes.Post("/v1/orders",
                [this](const Request& request, Response& response) {
                  HandleOrder(request, response);
                });
  }

  void AddPlainRoutes() {
    auto& routes = server_.routes();
    const auto run = [this](const Request& request, Response& response) {
      faults_.CountRequest();
      if (request.body.find(kCrashMarker) != std::string::npos) {
        records_.Begin(NewRecord(request));
        records_.RecordCrash();
        ::_exit(kCrashExitStatus);
      }
      const RunRecord record = NewRecord(request);
      const int runs = plain_.Call(record, faults_.Get().slow_factor);
      Send(response, 200,
           {{"service", options_.id},
            {"path", request.path},
            {"body_sha256", record.body_sha256},
            {"run", runs}});
    };
    routes.Get("/.*", run);
    routes.Post("/.*", run);
    routes.Put("/.*", run);
    routes.Patch("/.*", run);
    routes.Delete("/.*", run);
  }

  void HandleCompletion(const Request& request, Response& response) {
    faults_.CountRequest();
    const auto call = ParseModelCall(request.body);
    if (!IsOk(call))
      return Send(response, 400,
                  {{"detail", dandelionmill::base::ErrorOf(call).detail}});
    if (!models_.IsLoaded(ValueOf(call).model))
      return Send(
          response, 404,
          {{"detail", "model " + ValueOf(call).model + " is not loaded"}});
    Attempt::Call submitted;
    submitted.record = NewRecord(request);
    submitted.record.prompt_tokens = ValueOf(call).prompt_tokens;
    submitted.model_call = ValueOf(call);
    submitted.priority =
        static_cast<int>(ToInteger(request.get_header_value("X-Priority"), 5));
    submitted.crashes = request.body.find(kCrashMarker) != std::string::npos;
    SendEvents(engine_.Submit(std::move(submitted), Now()), 0, response);
  }

  void SendEvents(std::shared_ptr<Attempt> attempt,
                  int after,
                  Response& response) {
    auto stream = std::make_shared<Stream>(Stream{std::move(attempt), after});
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider(
        kEventStream, [this, stream](std::size_t, DataSink& sink) {
          return WriteEvents(*stream, sink);
        });
  }

  // Writes the available events. Returns false to close the connection.
  bool WriteEvents(Stream& stream, DataSink& sink) {
    const int available =
        stream.attempt->WaitForEvents(stream.last_id, kEventWaitTimeout);
    const Faults faults = faults_.Get();
    if (faults.down || stopping_)
      return false;
    std::string text;
    bool close_connection = false;
    while (stream.last_id < available && !close_connection) {
      ++stream.last_id;
      ++stream.sent;
      if (!faults_.ShouldDropEvent())
        text += stream.attempt->EventText(stream.last_id);
      close_connection = faults.break_streams_after > 0 &&
                         stream.sent >= faults.break_streams_after;
    }
    if (text.empty() ? !sink.is_writable()
                     : !sink.write(text.data(), text.size()))
      return false;
    if (close_connection)
      return false;
    if (stream.last_id >= available && stream.attempt->IsFinished() &&
        stream.attempt->WaitForEvents(stream.last_id, {}) <= stream.last_id)
      sink.done();
    return true;
  }

  static void SendAttempt(const std::shared_ptr<Attempt>& attempt,
                          Response& response) {
    if (!attempt)
      return Send(response, 404, {{"detail", "no such attempt"}});
    const RunRecord record = attempt->Record();
    Send(response, 200,
         {{"attempt", record.attempt},
          {"state", record.state},
          {"prompt_tokens", record.prompt_tokens},
          {"completion_tokens", record.completion_tokens}});
  }

  void SendCacheEvents(const Request& request, Response& response) const {
    const auto after = static_cast<std::uint64_t>(
        ToInteger(request.get_param_value("after"), 0));
    const auto limit = std::min<std::size_t>(
        kMaxCacheEvents, static_cast<std::size_t>(ToInteger(
                             request.get_param_value("limit"), 1000)));
    Json answer = {{"events", Json::array()}, {"next", after}};
    for (const CacheEvent& event : engine_.CacheEvents(after, limit, Now())) {
      answer["events"].push_back({{"seq", event.sequence},
                                  {"kind", event.stored ? "stored" : "evicted"},
                                  {"block", event.block}});
      answer["next"] = event.sequence;
    }
    Send(response, 200, answer);
  }

  void HandleOrder(const Request& request, Response& response) {
    try {
      std::uint64_t highest_fence = 0;
      if (models_.ApplyOrder(Json::parse(request.body), &highest_fence))
        return Send(response, 200, Json::object());
      Send(response, 409, {{"fence", highest_fence}});
    } catch (const Json::exception& problem) {
      Send(response, 400, {{"detail", problem.what()}});
    }
  }

  Json LoadReport() const {
    LoadSample sample;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      const MonoTime visible_until = Now() - options_.load_lag;
      for (const LoadSample& candidate : samples_) {
        if (candidate.taken_at > visible_until)
          break;
        sample = candidate;
      }
    }
    Json report = {{"running", sample.load.running},
                   {"waiting", sample.load.waiting},
                   {"slots", options_.slots},
                   {"generated_at_unix_ms", sample.unix_ms},
                   {"leaving", faults_.Get().leaving}};
    if (options_.kind == Kind::kModel) {
      report["kv_used_blocks"] = sample.load.used_blocks;
      report["kv_blocks"] = sample.load.blocks;
      report["models"] = models_.Loaded();
    }
    return report;
  }

  void AddAdminRoutes() {
    auto& routes = admin_.routes();
    routes.Post("/faults", [this](const Request& request, Response& response) {
      const Json faults = Json::parse(request.body, nullptr, false);
      if (!faults.is_object())
        return Send(response, 400, {{"detail", "expected a JSON object"}});
      faults_.Set(ParseFaults(faults));
      Send(response, 200, faults);
    });
    routes.Get("/records", [this](const Request&, Response& response) {
      Json records = {
          {"id", options_.id},
          {"crashes", records_.crashes()},
          {"last_new_request_unix_ms", faults_.last_new_request_unix_ms()},
          {"requests_after_leaving_mark",
           faults_.requests_after_leaving_mark()},
          {"orders", models_.Orders()},
          {"attempts", Json::array()}};
      for (const RunRecord& record : records_.All())
        records["attempts"].push_back(ToJson(record));
      Send(response, 200, records);
    });
  }

  void RunSteps() {
    MonoTime next = Now();
    while (!stopping_) {
      next += std::chrono::duration_cast<MonoTime::duration>(
          std::chrono::duration<double, std::micro>(options_.token_interval) *
          faults_.Get().slow_factor);
      std::this_thread::sleep_until(next);
      engine_.Step(Now());
      SampleLoad();
    }
  }

  void SampleLoad() {
    LoadSample sample{Now(), UnixMs(), engine_.CurrentLoad()};
    if (options_.kind == Kind::kPlain)
      sample.load.running = plain_.running();
    std::lock_guard<std::mutex> lock(mutex_);
    if (!samples_.empty() &&
        sample.taken_at - samples_.back().taken_at < kLoadSampleInterval)
      return;
    samples_.push_back(sample);
    while (samples_.size() > 2 &&
           samples_[1].taken_at + options_.load_lag < sample.taken_at)
      samples_.pop_front();
  }

  const Options options_;
  FaultState faults_;
  RecordLog records_;
  Engine engine_;
  PlainService plain_;
  ModelSet models_;

  mutable std::mutex mutex_;
  std::deque<LoadSample> samples_;
  std::atomic<bool> stopping_{false};
  std::thread step_thread_;

  HttpServer server_;
  HttpServer admin_;
};

BackendServer::BackendServer(Options options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

BackendServer::~BackendServer() {
  impl_->Stop();
}

dandelionmill::base::Status BackendServer::Start() {
  return impl_->Start();
}

void BackendServer::Stop() {
  impl_->Stop();
}

}  // namespace standins::backend
