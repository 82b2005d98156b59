#ifndef SRC_DANDELIONMILL_NET_ASYNC_HTTP_SERVER_H_
#define SRC_DANDELIONMILL_NET_ASYNC_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/net/address.h"
#include "dandelionmill/net/fiber.h"
#include "dandelionmill/net/http_message.h"

namespace dandelionmill::net {

// An HTTP/1.1 server on an event loop. Each connection runs in its own fiber,
// so handlers may block the fiber without blocking the loop.
class AsyncHttpServer {
 public:
  struct Options {
    Address bind;
    // Maximum number of open connections; further ones wait to be accepted.
    int max_connections = 1024;
    // In bytes; a larger request body is answered with 413.
    std::size_t max_body = 1 << 20;
    // Timeout of the TLS handshake, of each read of a request and of each write
    // of a part of a response.
    std::chrono::milliseconds io_timeout{5000};
    // Timeout after which an idle connection is closed.
    std::chrono::milliseconds keep_alive{5000};
    // Paths of PEM files; both empty for plain HTTP.
    std::string certificate_file;
    std::string key_file;
  };
  // Handles one request by filling in `response`.
  using Handler = std::function<
      void(Fiber& fiber, const HttpRequest& request, HttpResponse& response)>;
  // Fills in the response to a request that the server itself rejects.
  // `response.status` is set to 400, 413 or 431, or to 500 if the handler
  // threw.
  using ErrorHandler = std::function<void(HttpResponse& response)>;

  // `loop` must run until the server is stopped.
  AsyncHttpServer(boost::asio::io_context& loop,
                  Options options,
                  Handler handler,
                  ErrorHandler error_handler);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  // Binds the address and starts serving. Fails with kBadSetting if the address
  // cannot be bound or the certificate or its key_error cannot be read.
  base::Status Start();

  // Stops accepting, closes idle connections and waits for the responses in
  // progress. Must not be called on the loop's thread, which it would block.
  void Stop();

 private:
  class Impl;
  const std::shared_ptr<Impl> impl_;
  boost::asio::io_context& loop_;
};

}  // namespace dandelionmill::net

#endif  // SRC_DANDELIONMILL_NET_ASYNC_HTTP_SERVER_H_
