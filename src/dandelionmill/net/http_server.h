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

// An HTTP server on its own thread, based on cpp-httplib. It uses a long accept
// backlog and disables Nagle's algorithm, which delays small stream events.
class HttpServer {
 public:
  struct Options {
    Address bind;
    // Maximum number of connections served concurrently; each open connection
    // occupies one thread.
    int max_connections = 64;
    // In bytes; a larger request body is answered with 413.
    std::size_t max_body = 1 << 20;
    // Timeout of each read of a request and of each write of a response.
    std::chrono::milliseconds io_timeout{5000};
    // Timeout after which an idle connection is closed; rounded down to whole
    // seconds.
    std::chrono::milliseconds keep_alive{5000};
  };

  explicit HttpServer(Options options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The server to register handlers on, before Start().
  httplib::Server& routes() { return *server_; }

  // Binds the address and starts serving. Fails with kBadSetting if the address
  // cannot be bound.
  base::Status Start();

  // Stops accepting, waits for running handlers and joins the thread.
  void Stop();

 private:
  const Options options_;
  std::unique_ptr<httplib::Server> server_;
  std::thread thread_;
};

}  // namespace dandelionmill::net

#endif  // SRC_DANDELIONMILL_NET_HTTP_SERVER_H_
