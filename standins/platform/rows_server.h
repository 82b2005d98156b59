#ifndef STANDINS_PLATFORM_ROWS_SERVER_H_
#define STANDINS_PLATFORM_ROWS_SERVER_H_

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "dandelionmill/net/http_server.h"

namespace standins::platform {

// Test double for the metadata store of the users' platform: rows in tables
// with transactions and change feeds, according to the published protocol. All
// data is held in memory.
class RowsServer {
 public:
  // Listens on 127.0.0.1. Throws std::runtime_error if the port cannot be
  // bound.
  explicit RowsServer(int port);
  ~RowsServer();

  // Returns the value of a row that a reader sees in place of the stored one.
  using View = std::function<std::string(const std::string& table,
                                         const std::string& key,
                                         const std::string& value)>;
  // Listens on another port, whose readers see rows as `view` shows them.
  // Throws std::runtime_error if the port cannot be bound.
  void AddView(int port, View view);
  // Write or delete one row, as an operator or a backend server would.
  void Put(const std::string& table,
           const std::string& key,
           const nlohmann::json& value);
  void Delete(const std::string& table, const std::string& key);
  // While down, every call is answered with status 503.
  void SetDown(bool down);
  // While turned away, every new call at the port of a view is answered with
  // status 503; the store serves the other ports.
  void SetTurnedAway(int port, bool is_turned_away);
  // While set, commits are applied but not answered in time: status 500 follows
  // after 2 s.
  void SetLoseAnswers(bool lose);
  // Discards the change history: feeds that resume from an earlier revision are
  // answered with status 410.
  void DiscardHistory();
  // Takes a copy of the store, which Restore brings back: the rows, the
  // versions and the change history.
  void TakeCopy();
  // Replaces the content by the last copy. Versions are given out again from
  // there on, and each answer names the next era.
  void Restore();
  // Writes again the rows of `op` and `servers` that the last Restore lost, as
  // the operator and the backend servers do, unless they have been changed
  // since.
  void RewriteLostRows();
  // Sends the body of each answer to a read at this rate, as over a slow link;
  // 0 for no limit.
  void SetBytesPerSecond(std::size_t rate) { bytes_per_s_ = rate; }

  // Returns the value of a row, or null if the row does not exist.
  nlohmann::json Value(const std::string& table,
                       const std::string& partition,
                       const std::string& key);

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };

  struct Listener {
    int port = 0;
    std::atomic<bool> is_turned_away{false};
    View view;
    std::unique_ptr<dandelionmill::net::HttpServer> server;
  };

  void Listen(int port, View view);
  void OnCommit(const View& view,
                const httplib::Request& request,
                httplib::Response& response);
  void OnRead(const View& view,
              const httplib::Request& request,
              httplib::Response& response);
  void OnFeed(const View& view,
              const httplib::Request& request,
              httplib::Response& response);
  // Sends the answer to a read, at the set rate.
  void Respond(httplib::Response& response, std::string body) const;
  nlohmann::json ToJson(const View& view, const Key& key, const Row& row) const;
  nlohmann::json Envelope() const;
  void Store(const Key& key, const std::string& value, bool deleted);

  struct Content {
    std::map<Key, Row> rows;
    // Every change since `history_start`, oldest first. A row that was changed
    // several times is listed with each of its values.
    std::vector<std::pair<Key, Row>> history;
    std::uint64_t version = 0;
    std::uint64_t history_start = 0;
  };

  std::mutex mutex_;
  std::condition_variable changed_;
  Content content_;
  Content copy_;
  // The content before the last Restore.
  Content lost_;
  std::uint64_t era_ = 0;
  bool is_down_ = false;
  bool loses_answers_ = false;
  std::atomic<std::size_t> bytes_per_s_{0};
  bool is_stopping_ = false;
  // A list, since the handlers refer to its elements.
  std::list<Listener> listeners_;
};

}  // namespace standins::platform

#endif  // STANDINS_PLATFORM_ROWS_SERVER_H_
