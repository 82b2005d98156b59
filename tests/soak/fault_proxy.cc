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

constexpr std::chrono::milliseconds kLook{5};

tcp::endpoint EndpointOf(int port) {
  return {asio::ip::make_address("127.0.0.1"),
          static_cast<unsigned short>(port)};
}

}  // namespace

class FaultProxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(FaultProxy& proxy, tcp::socket near)
      : proxy_(proxy),
        up_{std::move(near), asio::steady_timer(proxy.loop_)},
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
          self->Read(self->up_, self->down_, self->proxy_.holds_up_);
          self->Read(self->down_, self->up_, self->proxy_.holds_down_);
        });
  }

  void Reset() {
    for (Way* way : {&up_, &down_}) {
      error_code ignored;
      way->from.set_option(asio::socket_base::linger(true, 0), ignored);
      way->from.close(ignored);
    }
  }

 private:
  // One direction: what it reads, it writes to the other's socket.
  struct Way {
    tcp::socket from;
    asio::steady_timer timer;
    std::array<char, 16384> bytes{};
  };

  void Read(Way& way, Way& other, const std::atomic<bool>& holds) {
    way.from.async_read_some(
        asio::buffer(way.bytes), [self = shared_from_this(), &way, &other,
                                  &holds](error_code error, std::size_t count) {
          const std::chrono::milliseconds delay(self->proxy_.delay_ms_);
          self->After(way, delay, holds,
                      [self, &way, &other, &holds, error, count] {
                        self->Pass(way, other, holds, error, count);
                      });
        });
  }

  template <class Then>
  void After(Way& way,
             std::chrono::milliseconds time,
             const std::atomic<bool>& holds,
             Then then) {
    if (time.count() == 0 && !holds)
      return then();
    way.timer.expires_after(std::max(time, holds ? kLook : time));
    way.timer.async_wait([self = shared_from_this(), &way, &holds,
                          then = std::move(then)](error_code) mutable {
      self->After(way, std::chrono::milliseconds(0), holds, std::move(then));
    });
  }

  void Pass(Way& way,
            Way& other,
            const std::atomic<bool>& holds,
            error_code error,
            std::size_t count) {
    if (error == asio::error::eof) {
      error_code ignored;
      other.from.shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    if (error)
      return Reset();
    asio::async_write(other.from, asio::buffer(way.bytes, count),
                      [self = shared_from_this(), &way, &other, &holds](
                          error_code problem, std::size_t) {
                        if (problem)
                          return self->Reset();
                        self->Read(way, other, holds);
                      });
  }

  FaultProxy& proxy_;
  Way up_;
  Way down_;
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

void FaultProxy::Heal() {
  holds_up_ = false;
  holds_down_ = false;
  delay_ms_ = 0;
}

}  // namespace soak
