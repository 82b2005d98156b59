#include "dandelionmill/gateway/socket_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace dandelionmill::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// TCP keepalive (idle time, interval, probe count) and TCP_USER_TIMEOUT, with
// which the kernel closes connections whose network path is broken. If both are
// set, TCP_USER_TIMEOUT alone decides when unanswered probes end a connection,
// counted from the last bytes received. A sound peer may fall silent for a
// second and more, so that several probes must go unanswered.
constexpr int kKeepaliveIdleS = 2;
constexpr int kKeepaliveIntervalS = 1;
constexpr int kKeepaliveProbeCount = 3;
constexpr int kTcpUserTimeoutMs = 5000;

}  // namespace

void SetSocketOptions(tcp::socket& socket) {
  using asio::detail::socket_option::integer;
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(kKeepaliveIdleS),
                    ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(kKeepaliveIntervalS),
                    ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(kKeepaliveProbeCount),
                    ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kTcpUserTimeoutMs),
                    ignored);
}

void ResetConnection(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

std::optional<std::size_t> UnacknowledgedBytes(tcp::socket& socket) {
  int problem = 0;
  socklen_t size = sizeof(problem);
  int count = 0;
  const int handle = socket.native_handle();
  if (::getsockopt(handle, SOL_SOCKET, SO_ERROR, &problem, &size) != 0 ||
      problem != 0 || ::ioctl(handle, SIOCOUTQ, &count) != 0)
    return std::nullopt;
  return static_cast<std::size_t>(count);
}

}  // namespace dandelionmill::gateway
