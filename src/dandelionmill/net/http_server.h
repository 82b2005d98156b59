#ifndef SRC_DANDELIONMILL_NET_HTTP_SERVER_H_
#define SRC_DANDELIONMILL_NET_HTTP_SERVER_H_

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "dandelionmill/base/result.h"
#include "dandelionmill/net/address.h"

namespace httplib {
class Server;
}  // namespace httplib

namespace dandelionmill::net {

// An HTTP server on a thread of its own: cpp-httplib with a deep accept queue
// and without Nagle's algorithm, which delays small stream events.
class HttpServer {
 public:
  struct Options {
    Address bind;
    // Connections served at once; each takes one thread while it is open.
    int max_connections = 64;
    // Bytes; a larger request body is answered with 413.
    std::size_t max_body = 1 << 20;
    // How long a connection may take to deliver a request or accept a write.
    std::chrono::milliseconds io_timeout{5000};
    // How long an idle connection is kept open.
    std::chrono::milliseconds keep_alive{5000};
  };

  explicit HttpServer(Options options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The server to register handlers on, before Start().
  httplib::Server& routes() { return *server_; }

  // Binds and begins to serve. Fails with kBadSetting when the address cannot
  // be bound.
  base::Status Start();

  // Stops accepting, waits for running handlers and ends the thread.
  void Stop();

 private:
  const Options options_;
  std::unique_ptr<httplib::Server> server_;
  std::thread thread_;
};

}  // namespace dandelionmill::net

#endif  // SRC_DANDELIONMILL_NET_HTTP_SERVER_H_
