#ifndef SRC_DANDELIONMILL_GATEWAY_ACCEPT_LOOP_H_
#define SRC_DANDELIONMILL_GATEWAY_ACCEPT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

#include "dandelionmill/base/result.h"
#include "dandelionmill/gateway/limit_log.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::gateway {

// Listens on an address and accepts connections. Waits after a failure, since
// the next attempt would fail at once while descriptors are exhausted.
class AcceptLoop {
 public:
  static constexpr std::chrono::milliseconds kPauseAfterFailure{100};

  using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

  // `loop` must outlive this. `port` is a name for logs.
  AcceptLoop(boost::asio::io_context& loop, const char* port)
      : port_(port), acceptor_(loop), timer_(loop) {}

  // Commands.
  // Fails with kBadSetting when the address cannot be bound. `on_failure` may
  // be null; it runs when a connection could not be accepted.
  base::Status Listen(const net::Address& address,
                      Handler handler,
                      std::function<void()> on_failure = nullptr);
  void Stop();

 private:
  void Accept();
  void OnFailure(boost::system::error_code error);

  const char* const port_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  Handler handler_;
  std::function<void()> on_failure_;
  LimitLog log_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_ACCEPT_LOOP_H_
