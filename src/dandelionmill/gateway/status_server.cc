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

constexpr std::chrono::seconds kSessionTimeout{10};

// Open connections; the oldest is closed for another one.
constexpr std::size_t kMaxSessions = 32;

// Largest request, trailers included: the parser has no limit for them.
constexpr std::size_t kMaxRequestBytes = 16384;

}  // namespace

class StatusServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(const StatusServer& server, tcp::socket socket)
      : server_(server), stream_(std::move(socket)) {}

  void Close() { stream_.close(); }

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
  boost::beast::flat_buffer buffer_{kMaxRequestBytes};
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

void StatusServer::AddPage(const std::string& path, PageHandler handler) {
  pages_[path] = std::move(handler);
}

base::Status StatusServer::Listen(const net::Address& address) {
  return acceptor_.Listen(
      address, [this](tcp::socket socket) { OnAccepted(std::move(socket)); });
}

void StatusServer::Stop() {
  acceptor_.Stop();
}

void StatusServer::OnAccepted(tcp::socket socket) {
  sessions_.remove_if([](const auto& session) { return session.expired(); });
  if (sessions_.size() >= kMaxSessions) {
    if (const auto oldest = sessions_.front().lock())
      oldest->Close();
    sessions_.pop_front();
  }
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.push_back(session);
  session->Read();
}

StatusServer::Page StatusServer::RenderPage(const std::string& target) const {
  const auto found = pages_.find(target.substr(0, target.find('?')));
  if (found == pages_.end())
    return {404, "text/plain", "no such page\n"};
  return found->second();
}

}  // namespace dandelionmill::gateway
