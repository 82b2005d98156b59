#include "dandelionmill/gateway/status_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

namespace dandelionmill::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Connections that may wait to be accepted when many callers connect at once.
constexpr int kListenBacklog = 1024;

constexpr std::chrono::seconds kSessionTimeout{10};

}  // namespace

base::Status Listen(tcp::acceptor& acceptor, const net::Address& address) {
  error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(address.host, error),
                               static_cast<unsigned short>(address.port));
  if (!error)
    acceptor.open(endpoint.protocol(), error);
  if (!error)
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    acceptor.bind(endpoint, error);
  if (!error)
    acceptor.listen(kListenBacklog, error);
  if (error) {
    return base::Error{
        base::Code::kBadSetting,
        net::ToString(address) + ": cannot listen: " + error.message()};
  }
  return base::Unit{};
}

class StatusServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(const StatusServer& server, tcp::socket socket)
      : server_(server), stream_(std::move(socket)) {}

  void Read() {
    request_ = {};
    stream_.expires_after(kSessionTimeout);
    http::async_read(
        stream_, buffer_, request_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!error)
            self->Respond();
        });
  }

 private:
  void Respond() {
    Page page = server_.RenderPage(std::string(request_.target()));
    response_ = {};
    response_.version(request_.version());
    response_.result(static_cast<unsigned>(page.status));
    response_.set(http::field::content_type, page.content_type);
    response_.keep_alive(request_.keep_alive());
    response_.body() = std::move(page.body);
    response_.prepare_payload();
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!error && self->response_.keep_alive())
            self->Read();
        });
  }

  const StatusServer& server_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

void StatusServer::AddPage(const std::string& path, PageHandler handler) {
  pages_[path] = std::move(handler);
}

base::Status StatusServer::Listen(const net::Address& address) {
  base::Status status = gateway::Listen(acceptor_, address);
  if (base::IsOk(status))
    Accept();
  return status;
}

void StatusServer::Stop() {
  error_code ignored;
  acceptor_.close(ignored);
}

void StatusServer::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (!error)
      std::make_shared<Session>(*this, std::move(socket))->Read();
    Accept();
  });
}

StatusServer::Page StatusServer::RenderPage(const std::string& target) const {
  const auto found = pages_.find(target.substr(0, target.find('?')));
  if (found == pages_.end())
    return {404, "text/plain", "no such page\n"};
  return found->second();
}

}  // namespace dandelionmill::gateway
