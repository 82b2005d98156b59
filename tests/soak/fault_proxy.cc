#include "tests/soak/fault_proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kPollInterval{5};

tcp::endpoint EndpointOf(int port) {
  return {asio::ip::make_address("127.0.0.1"),
          static_cast<unsigned short>(port)};
}

}  // namespace

class FaultProxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(FaultProxy& proxy, tcp::socket client)
      : proxy_(proxy),
        up_{std::move(client), asio::steady_timer(proxy.loop_)},
        down_{tcp::socket(proxy.loop_), asio::steady_timer(proxy.loop_)} {}

  void Start() {
    down_.from.async_connect(
        EndpointOf(proxy_.target_),
        [self = shared_from_this()](error_code error) {
          if (error)
            return self->Reset();
          error_code ignored;
          self->up_.from.set_option(tcp::no_delay(true), ignored);
          self->down_.from.set_option(tcp::no_delay(true), ignored);
          self->Read(self->up_, self->down_, self->proxy_.is_upstream_paused_);
          self->Read(self->down_, self->up_,
                     self->proxy_.is_downstream_paused_);
        });
  }

  void Reset() {
    for (Direction* direction : {&up_, &down_}) {
      error_code ignored;
      direction->from.set_option(asio::socket_base::linger(true, 0), ignored);
      direction->from.close(ignored);
    }
  }

 private:
  // One direction of forwarding: data read from `from` is written to the
  // other direction's socket.
  struct Direction {
    tcp::socket from;
    asio::steady_timer timer;
    std::array<char, 16384> bytes{};
  };

  void Read(Direction& direction,
            Direction& other,
            const std::atomic<bool>& is_paused) {
    direction.from.async_read_some(
        asio::buffer(direction.bytes),
        [self = shared_from_this(), &direction, &other, &is_paused](
            error_code error, std::size_t count) {
          const std::chrono::milliseconds delay(self->proxy_.delay_ms_);
          self->RunAfterDelay(
              direction, delay, is_paused,
              [self, &direction, &other, &is_paused, error, count] {
                self->Forward(direction, other, is_paused, error, count);
              });
        });
  }

  template <class Callback>
  void RunAfterDelay(Direction& direction,
                     std::chrono::milliseconds delay,
                     const std::atomic<bool>& is_paused,
                     Callback callback) {
    if (delay.count() == 0 && !is_paused)
      return callback();
    direction.timer.expires_after(
        std::max(delay, is_paused ? kPollInterval : delay));
    direction.timer.async_wait(
        [self = shared_from_this(), &direction, &is_paused,
         callback = std::move(callback)](error_code) mutable {
          self->RunAfterDelay(direction, std::chrono::milliseconds(0),
                              is_paused, std::move(callback));
        });
  }

  void Forward(Direction& direction,
               Direction& other,
               const std::atomic<bool>& is_paused,
               error_code error,
               std::size_t count) {
    if (error == asio::error::eof) {
      error_code ignored;
      other.from.shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    if (error)
      return Reset();
    asio::async_write(other.from, asio::buffer(direction.bytes, count),
                      [self = shared_from_this(), &direction, &other,
                       &is_paused](error_code problem, std::size_t) {
                        if (problem)
                          return self->Reset();
                        self->Read(direction, other, is_paused);
                      });
  }

  FaultProxy& proxy_;
  Direction up_;
  Direction down_;
};

FaultProxy::FaultProxy(asio::io_context& loop, int port, int target)
    : loop_(loop), acceptor_(loop, EndpointOf(port)), target_(target) {
  Accept();
}

void FaultProxy::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (!error) {
      auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_.remove_if([](const auto& weak) { return weak.expired(); });
      connections_.push_back(connection);
      connection->Start();
    }
    Accept();
  });
}

void FaultProxy::Reset() {
  asio::post(loop_, [this] {
    for (const auto& weak : connections_) {
      if (const auto connection = weak.lock())
        connection->Reset();
    }
  });
}

void FaultProxy::Restore() {
  is_upstream_paused_ = false;
  is_downstream_paused_ = false;
  delay_ms_ = 0;
}

}  // namespace soak
