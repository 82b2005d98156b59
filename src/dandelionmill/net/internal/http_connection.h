#ifndef SRC_DANDELIONMILL_NET_INTERNAL_HTTP_CONNECTION_H_
#define SRC_DANDELIONMILL_NET_INTERNAL_HTTP_CONNECTION_H_

#include <boost/asio/ssl/context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <chrono>
#include <variant>

#include "dandelionmill/net/async_http_server.h"
#include "dandelionmill/net/fiber.h"
#include "dandelionmill/net/http_message.h"

namespace dandelionmill::net::internal {

// A connection accepted by an AsyncHttpServer, plain or TLS. Used on the loop
// only; all functions except CloseIfIdle() run in the connection's fiber.
class HttpConnection : private BodyWriter {
 public:
  // Uses TLS if `tls_context` is not null.
  HttpConnection(Fiber& fiber,
                 boost::asio::ip::tcp::socket socket,
                 boost::asio::ssl::context* tls_context,
                 const AsyncHttpServer::Options& options);

  // Serves requests until the connection ends or `is_stopping` is true.
  void Serve(const AsyncHttpServer::Handler& handler,
             const AsyncHttpServer::ErrorHandler& error_handler,
             const bool& is_stopping);

  // Closes the connection if it is waiting for a request.
  void CloseIfIdle();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using PlainStream = boost::beast::tcp_stream;
  using TlsStream = boost::beast::ssl_stream<boost::beast::tcp_stream>;

  // BodyWriter:
  bool Write(std::string_view bytes) override;
  bool IsCallerConnected() override;

  bool Handshake();
  // Returns 0 for a complete request, the status to reject it with, or -1 if
  // the connection ended.
  int ReadRequest(Parser& parser);
  // Waits for the first bytes of a request. Returns false if the connection
  // ends or stays idle for `options_.keep_alive`.
  bool WaitForRequest();
  // Returns whether the response was sent completely.
  bool SendResponse(HttpResponse& response, bool keep_alive);
  bool WriteBytes(std::string_view bytes);
  // Closes the connection such that the caller can still read the last
  // response.
  void CloseAfterResponse();
  boost::beast::tcp_stream& tcp();

  Fiber& fiber_;
  const AsyncHttpServer::Options& options_;
  std::variant<PlainStream, TlsStream> stream_;
  boost::beast::flat_buffer buffer_;
  bool is_idle_ = false;
};

}  // namespace dandelionmill::net::internal

#endif  // SRC_DANDELIONMILL_NET_INTERNAL_HTTP_CONNECTION_H_
