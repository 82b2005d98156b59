#include "standins/platform/rows_server.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <thread>
#include <utility>

#include "dandelionmill/base/base64.h"

namespace standins::platform {
namespace {

using dandelionmill::base::DecodeBase64;
using dandelionmill::base::EncodeBase64;
using nlohmann::json;

constexpr int kMaxConnections = 512;
constexpr char kJson[] = "application/json";

// Bytes that are sent at once on a slow link.
constexpr std::size_t kSlowLinkChunk = 4096;

}  // namespace

RowsServer::RowsServer(int port) {
  Listen(port, nullptr);
}

void RowsServer::AddView(int port, View view) {
  Listen(port, std::move(view));
}

void RowsServer::Listen(int port, View view) {
  Listener& listener = listeners_.emplace_back();
  listener.port = port;
  listener.view = std::move(view);
  listener.server = std::make_unique<dandelionmill::net::HttpServer>(
      dandelionmill::net::HttpServer::Options{{"127.0.0.1", port},
                                              kMaxConnections});
  auto& routes = listener.server->routes();
  const auto unless_down =
      [this, &listener](void (RowsServer::*handler)(
          const View&, const httplib::Request&, httplib::Response&)) {
        return [this, handler, &listener](const httplib::Request& request,
                                          httplib::Response& response) {
          {
            const std::lock_guard<std::mutex> lock(mutex_);
            response.set_header("Store-Era", std::to_string(era_));
            if (is_down_ || listener.is_turned_away) {
              response.status = 503;
              return;
            }
          }
          (this->*handler)(listener.view, request, response);
        };
      };
  routes.Post("/api/rows-tx", unless_down(&RowsServer::OnCommit));
  routes.Get("/api/rows-get", unless_down(&RowsServer::OnRead));
  routes.Get("/api/rows-feed", unless_down(&RowsServer::OnFeed));
  if (!dandelionmill::base::IsOk(listener.server->Start()))
    throw std::runtime_error(
        "the stand-in metadata store cannot bind its port on 127.0.0.1");
}

RowsServer::~RowsServer() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  for (Listener& listener : listeners_)
    listener.server->Stop();
}

void RowsServer::Put(const std::string& table,
                     const std::string& key,
                     const json& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++content_.version;
  Store({table, "", key}, value.dump(), false);
  changed_.notify_all();
}

void RowsServer::Delete(const std::string& table, const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++content_.version;
  Store({table, "", key}, "", true);
  changed_.notify_all();
}

void RowsServer::SetDown(bool down) {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_down_ = down;
  changed_.notify_all();
}

void RowsServer::SetTurnedAway(int port, bool is_turned_away) {
  for (Listener& listener : listeners_) {
    if (listener.port == port)
      listener.is_turned_away = is_turned_away;
  }
}

void RowsServer::SetLoseAnswers(bool lose) {
  const std::lock_guard<std::mutex> lock(mutex_);
  loses_answers_ = lose;
}

void RowsServer::DiscardHistory() {
  const std::lock_guard<std::mutex> lock(mutex_);
  content_.history_start = ++content_.version;
  content_.history.clear();
  changed_.notify_all();
}

void RowsServer::TakeCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copy_ = content_;
}

void RowsServer::Restore() {
  const std::lock_guard<std::mutex> lock(mutex_);
  lost_ = std::exchange(content_, copy_);
  ++era_;
  changed_.notify_all();
}

void RowsServer::RewriteLostRows() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [key, lost] : lost_.rows) {
    const std::string& table = std::get<0>(key);
    if (table != "op" && table != "servers")
      continue;
    const auto restored = content_.rows.find(key);
    const bool is_present = restored != content_.rows.end() &&
                            (restored->second.version > copy_.version ||
                             (restored->second.value == lost.value &&
                              restored->second.deleted == lost.deleted));
    if (is_present)
      continue;
    ++content_.version;
    Store(key, lost.value, lost.deleted);
  }
  changed_.notify_all();
}

json RowsServer::Value(const std::string& table,
                       const std::string& partition,
                       const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = content_.rows.find({table, partition, key});
  return found == content_.rows.end() || found->second.deleted
             ? json()
             : json::parse(found->second.value);
}

void RowsServer::Store(const Key& key, const std::string& value, bool deleted) {
  content_.rows[key] = {value, content_.version, deleted};
  content_.history.emplace_back(key, content_.rows[key]);
}

void RowsServer::Respond(httplib::Response& response, std::string body) const {
  const std::size_t rate = bytes_per_s_;
  if (rate == 0) {
    response.set_content(body, kJson);
    return;
  }
  const std::size_t size = body.size();
  response.set_content_provider(
      size, kJson,
      [body = std::move(body), rate](std::size_t offset, std::size_t length,
                                     httplib::DataSink& sink) {
        const std::size_t count = std::min(length, kSlowLinkChunk);
        std::this_thread::sleep_for(
            std::chrono::microseconds(count * std::size_t{1000000} / rate));
        return sink.write(body.data() + offset, count);
      });
}

json RowsServer::ToJson(const View& view,
                        const Key& key,
                        const Row& row) const {
  json item = {{"table", std::get<0>(key)},
               {"part", std::get<1>(key)},
               {"key", std::get<2>(key)},
               {"rowVersion", row.version}};
  if (row.deleted)
    item["tombstone"] = true;
  else if (view)
    item["value"] =
        EncodeBase64(view(std::get<0>(key), std::get<2>(key), row.value));
  else
    item["value"] = EncodeBase64(row.value);
  return item;
}

json RowsServer::Envelope() const {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
  return {{"rows", json::array()},
          {"rowVersion", content_.version},
          {"nowMs", now.count()},
          {"morePages", false}};
}

void RowsServer::OnCommit(const View& view,
                          const httplib::Request& request,
                          httplib::Response& response) {
  const json body = json::parse(request.body);
  const auto key_of = [](const json& item) {
    return Key{item.at("table"), item.at("part"), item.at("key")};
  };
  std::unique_lock<std::mutex> lock(mutex_);
  json answer = Envelope();
  bool conflict = false;
  for (const json& item : body.at("expectedRevision")) {
    const auto found = content_.rows.find(key_of(item));
    const bool exists = found != content_.rows.end() && !found->second.deleted;
    conflict |= item.at("rowVersion") != (exists ? found->second.version : 0);
    if (exists)
      answer["rows"].push_back(ToJson(view, found->first, found->second));
  }
  if (conflict) {
    response.status = 412;
    response.set_content(answer.dump(), kJson);
    return;
  }
  ++content_.version;
  for (const json& item : body.at("put"))
    Store(key_of(item), DecodeBase64(item.at("value")).value(), false);
  for (const json& item : body.at("remove"))
    Store(key_of(item), "", true);
  changed_.notify_all();
  if (loses_answers_) {
    // Delay the answer beyond the caller's timeout.
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    response.status = 500;
    return;
  }
  answer = Envelope();
  answer.erase("rows");
  response.set_content(answer.dump(), kJson);
}

void RowsServer::OnRead(const View& view,
                        const httplib::Request& request,
                        httplib::Response& response) {
  const std::lock_guard<std::mutex> lock(mutex_);
  json answer = Envelope();
  const std::string limit = request.get_param_value("limit");
  const std::size_t max_rows = limit.empty() ? 500 : std::stoul(limit);
  for (const auto& [key, row] : content_.rows) {
    if (answer["rows"].size() >= max_rows) {
      answer["morePages"] = true;
      break;
    }
    if (std::get<0>(key) == request.get_param_value("table") &&
        std::get<1>(key) == request.get_param_value("part") &&
        std::get<2>(key) >= request.get_param_value("from") && !row.deleted)
      answer["rows"].push_back(ToJson(view, key, row));
  }
  Respond(response, answer.dump());
}

void RowsServer::OnFeed(const View& view,
                        const httplib::Request& request,
                        httplib::Response& response) {
  const std::string table = request.get_param_value("table");
  const std::uint64_t after =
      std::stoull(request.get_param_value("afterRevision"));
  const std::chrono::milliseconds wait(
      std::stoll(request.get_param_value("waitMs")));
  std::unique_lock<std::mutex> lock(mutex_);
  const std::uint64_t era = era_;
  const auto is_discarded = [&] {
    return after < content_.history_start || after > content_.version ||
           era != era_;
  };
  const auto is_new = [&](const std::pair<Key, Row>& change) {
    return std::get<0>(change.first) == table && change.second.version > after;
  };
  const auto has_changes = [&] {
    return std::any_of(content_.history.rbegin(), content_.history.rend(),
                       is_new);
  };
  changed_.wait_for(lock, wait, [&] {
    return is_stopping_ || is_down_ || is_discarded() || has_changes();
  });
  if (is_discarded()) {
    response.status = 410;
    return;
  }
  if (is_down_) {
    response.status = 503;
    return;
  }
  json answer = Envelope();
  for (const auto& change : content_.history) {
    if (is_new(change))
      answer["rows"].push_back(ToJson(view, change.first, change.second));
  }
  lock.unlock();
  Respond(response, answer.dump());
}

}  // namespace standins::platform
