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

// One caller's connection to an AsyncHttpServer, plain or encrypted. Used by
// its fiber alone.
class HttpConnection : private BodyWriter {
 public:
  // Takes part in TLS if `encryption` is not null.
  HttpConnection(Fiber& fiber,
                 boost::asio::ip::tcp::socket socket,
                 boost::asio::ssl::context* encryption,
                 const AsyncHttpServer::Options& options);

  // Serves requests until the connection is over or `is_stopping`.
  void Serve(const AsyncHttpServer::Handler& handler,
             const AsyncHttpServer::Refuser& refuser,
             const bool& is_stopping);

  // Closes the connection if it waits for a request.
  void CloseIfIdle();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Plain = boost::beast::tcp_stream;
  using Encrypted = boost::beast::ssl_stream<boost::beast::tcp_stream>;

  // BodyWriter:
  bool Write(std::string_view bytes) override;
  bool IsCallerThere() override;

  bool Handshake();
  // Returns the status to refuse the request with, 0 for a whole request, or -1
  // when the connection is over.
  int ReadRequest(Parser& parser);
  // Waits for the first bytes of a request; returns false when none come.
  bool WaitForRequest();
  bool Answer(HttpResponse& response, bool keeps);
  bool WriteBytes(std::string_view bytes);
  // Ends the connection so that the caller can still read the last answer.
  void CloseAfterAnswer();
  boost::beast::tcp_stream& tcp();

  Fiber& fiber_;
  const AsyncHttpServer::Options& options_;
  std::variant<Plain, Encrypted> stream_;
  boost::beast::flat_buffer buffer_;
  bool is_idle_ = false;
};

}  // namespace dandelionmill::net::internal

#endif  // SRC_DANDELIONMILL_NET_INTERNAL_HTTP_CONNECTION_H_
