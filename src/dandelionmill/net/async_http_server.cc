#include "dandelionmill/net/async_http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>
#include <future>
#include <optional>
#include <set>
#include <utility>

#include "dandelionmill/log/event.h"
#include "dandelionmill/net/internal/http_connection.h"

namespace dandelionmill::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int kAcceptBacklog = 1024;
// Delay before the next accept after a failure, such as too many open files.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

// The state shared by the server and its fibers, which keep it alive. All
// functions except Start() must be called on the loop.
class AsyncHttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop,
       Options options,
       Handler handler,
       ErrorHandler error_handler)
      : loop_(loop),
        options_(std::move(options)),
        handler_(std::move(handler)),
        error_handler_(std::move(error_handler)),
        acceptor_(loop),
        connection_closed_(loop) {}

  base::Status Start() {
    if (!options_.certificate_file.empty() && !LoadCertificate()) {
      return base::Error{base::Code::kBadSetting,
                         "certificate \"" + options_.certificate_file +
                             "\" or its key cannot be read"};
    }
    if (!Bind()) {
      return base::Error{base::Code::kBadSetting,
                         "address " + ToString(options_.bind) +
                             " cannot be bound; is it in use?"};
    }
    StartFiber(loop_, [self = shared_from_this()](Fiber& fiber) {
      self->Accept(fiber);
    });
    return base::Unit{};
  }

  void Stop(std::function<void()> done) {
    is_stopping_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    connection_closed_.Notify();
    for (internal::HttpConnection* connection : connections_)
      connection->CloseIfIdle();
    on_stopped_ = std::move(done);
    NotifyIfStopped();
  }

 private:
  bool LoadCertificate() {
    tls_context_.emplace(asio::ssl::context::tls_server);
    error_code chain_error;
    error_code key_error;
    tls_context_->use_certificate_chain_file(options_.certificate_file,
                                             chain_error);
    tls_context_->use_private_key_file(options_.key_file,
                                       asio::ssl::context::pem, key_error);
    return !chain_error && !key_error;
  }

  bool Bind() {
    error_code error;
    const auto host = asio::ip::make_address(options_.bind.host, error);
    const tcp::endpoint endpoint(
        host, static_cast<unsigned short>(options_.bind.port));
    if (!error)
      acceptor_.open(endpoint.protocol(), error);
    if (!error)
      acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
      acceptor_.bind(endpoint, error);
    if (!error)
      acceptor_.listen(kAcceptBacklog, error);
    return !error;
  }

  void Accept(Fiber& fiber) {
    while (!is_stopping_) {
      if (static_cast<int>(connections_.size()) >= options_.max_connections) {
        connection_closed_.WaitUntil(fiber, base::MonoTime::max());
        continue;
      }
      tcp::socket socket(loop_);
      error_code error;
      acceptor_.async_accept(socket, fiber.yield()[error]);
      if (!error) {
        Serve(std::move(socket));
      } else if (!is_stopping_) {
        log::Event(log::Level::kWarning, "accept_failed")
            .With("reason", error.message());
        fiber.SleepUntil(std::chrono::steady_clock::now() + kAcceptRetryDelay);
      }
    }
  }

  void Serve(tcp::socket socket) {
    auto shared_socket = std::make_shared<tcp::socket>(std::move(socket));
    StartFiber(loop_, [self = shared_from_this(), shared_socket](Fiber& fiber) {
      internal::HttpConnection connection(
          fiber, std::move(*shared_socket),
          self->tls_context_ ? &*self->tls_context_ : nullptr, self->options_);
      self->connections_.insert(&connection);
      connection.Serve(self->handler_, self->error_handler_,
                       self->is_stopping_);
      self->connections_.erase(&connection);
      self->connection_closed_.Notify();
      self->NotifyIfStopped();
    });
  }

  void NotifyIfStopped() {
    if (on_stopped_ && connections_.empty())
      std::exchange(on_stopped_, nullptr)();
  }

  asio::io_context& loop_;
  const Options options_;
  const Handler handler_;
  const ErrorHandler error_handler_;
  std::optional<asio::ssl::context> tls_context_;
  tcp::acceptor acceptor_;
  std::set<internal::HttpConnection*> connections_;
  // Notified when a connection ends or the server is stopped.
  Signal connection_closed_;
  bool is_stopping_ = false;
  // Called once when the server is stopped and no connection is left.
  std::function<void()> on_stopped_;
};

AsyncHttpServer::AsyncHttpServer(asio::io_context& loop,
                                 Options options,
                                 Handler handler,
                                 ErrorHandler error_handler)
    : impl_(std::make_shared<Impl>(loop,
                                   std::move(options),
                                   std::move(handler),
                                   std::move(error_handler))),
      loop_(loop) {}

AsyncHttpServer::~AsyncHttpServer() {
  Stop();
}

base::Status AsyncHttpServer::Start() {
  return impl_->Start();
}

void AsyncHttpServer::Stop() {
  std::promise<void> stopped;
  asio::post(loop_, [this, &stopped] {
    impl_->Stop([&stopped] { stopped.set_value(); });
  });
  stopped.get_future().wait();
}

}  // namespace dandelionmill::net
