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

// An HTTP server on an event loop. Each connection is a fiber, so that handlers
// may wait.
class AsyncHttpServer {
 public:
  struct Options {
    Address bind;
    // Connections served at once; more wait to be accepted.
    int max_connections = 1024;
    // Bytes; a larger request body is answered with 413.
    std::size_t max_body = 1 << 20;
    // How long a caller may take to deliver the head of a request, or a part of
    // its body, or to accept a part of an answer.
    std::chrono::milliseconds io_timeout{5000};
    // How long an idle connection is kept open.
    std::chrono::milliseconds keep_alive{5000};
    // PEM files; both empty for plain HTTP.
    std::string certificate_file;
    std::string key_file;
  };
  // Answers one request.
  using Handler = std::function<
      void(Fiber& fiber, const HttpRequest& request, HttpResponse& response)>;
  // Fills in the answer to what is refused here, `response.status` telling why:
  // 400, 413, 431, or 500 when the handler threw.
  using Refuser = std::function<void(HttpResponse& response)>;

  // `loop` must run until the server is stopped.
  AsyncHttpServer(boost::asio::io_context& loop,
                  Options options,
                  Handler handler,
                  Refuser refuser);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  // Binds and begins to serve. Fails with kBadSetting when the address cannot
  // be bound or the certificate cannot be read.
  base::Status Start();

  // Stops accepting, closes idle connections and waits for the answers under
  // way. Not for the loop's thread.
  void Stop();

 private:
  class Core;
  const std::shared_ptr<Core> core_;
  boost::asio::io_context& loop_;
};

}  // namespace dandelionmill::net

#endif  // SRC_DANDELIONMILL_NET_ASYNC_HTTP_SERVER_H_
