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

constexpr int kAcceptQueue = 1024;
// Pause after a failure to accept, such as too many open files.
constexpr std::chrono::milliseconds kAcceptPause{100};

}  // namespace

// What the fibers share; lives as long as the last of them. Used on the loop
// but for Start.
class AsyncHttpServer::Core : public std::enable_shared_from_this<Core> {
 public:
  Core(asio::io_context& loop,
       Options options,
       Handler handler,
       Refuser refuser)
      : loop_(loop),
        options_(std::move(options)),
        handler_(std::move(handler)),
        refuser_(std::move(refuser)),
        acceptor_(loop),
        closed_(loop) {}

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
    closed_.Notify();
    for (internal::HttpConnection* connection : connections_)
      connection->CloseIfIdle();
    stopped_ = std::move(done);
    TellIfStopped();
  }

 private:
  bool LoadCertificate() {
    encryption_.emplace(asio::ssl::context::tls_server);
    error_code chain;
    error_code key;
    encryption_->use_certificate_chain_file(options_.certificate_file, chain);
    encryption_->use_private_key_file(options_.key_file,
                                      asio::ssl::context::pem, key);
    return !chain && !key;
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
      acceptor_.listen(kAcceptQueue, error);
    return !error;
  }

  void Accept(Fiber& fiber) {
    while (!is_stopping_) {
      if (static_cast<int>(connections_.size()) >= options_.max_connections) {
        closed_.WaitUntil(fiber, base::MonoTime::max());
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
        fiber.SleepUntil(std::chrono::steady_clock::now() + kAcceptPause);
      }
    }
  }

  void Serve(tcp::socket socket) {
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    StartFiber(loop_, [self = shared_from_this(), shared](Fiber& fiber) {
      internal::HttpConnection connection(
          fiber, std::move(*shared),
          self->encryption_ ? &*self->encryption_ : nullptr, self->options_);
      self->connections_.insert(&connection);
      connection.Serve(self->handler_, self->refuser_, self->is_stopping_);
      self->connections_.erase(&connection);
      self->closed_.Notify();
      self->TellIfStopped();
    });
  }

  void TellIfStopped() {
    if (stopped_ && connections_.empty())
      std::exchange(stopped_, nullptr)();
  }

  asio::io_context& loop_;
  const Options options_;
  const Handler handler_;
  const Refuser refuser_;
  std::optional<asio::ssl::context> encryption_;
  tcp::acceptor acceptor_;
  std::set<internal::HttpConnection*> connections_;
  // Notified when a connection ends.
  Signal closed_;
  bool is_stopping_ = false;
  std::function<void()> stopped_;
};

AsyncHttpServer::AsyncHttpServer(asio::io_context& loop,
                                 Options options,
                                 Handler handler,
                                 Refuser refuser)
    : core_(std::make_shared<Core>(loop,
                                   std::move(options),
                                   std::move(handler),
                                   std::move(refuser))),
      loop_(loop) {}

AsyncHttpServer::~AsyncHttpServer() {
  Stop();
}

base::Status AsyncHttpServer::Start() {
  return core_->Start();
}

void AsyncHttpServer::Stop() {
  std::promise<void> stopped;
  asio::post(loop_, [this, &stopped] {
    core_->Stop([&stopped] { stopped.set_value(); });
  });
  stopped.get_future().wait();
}

}  // namespace dandelionmill::net
