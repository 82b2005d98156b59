#include "dandelionmill/gateway/connection_pool.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace dandelionmill::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Time for a handshake between regions, with one lost packet sent again on a
// link of a few milliseconds; a backend server that is cut off never answers.
constexpr std::chrono::milliseconds kConnectTimeout{350};

// Idle time after which a connection is not used again when the backend server
// does not say how long it keeps it.
constexpr std::chrono::milliseconds kDefaultIdleTimeout{4000};

// How long before its peer may close it a connection is given up: the way there
// between regions, and a pause of the process.
constexpr std::chrono::milliseconds kIdleMargin{700};

// A connection whose path has gone is given up by the kernel: probes after this
// silence, this often, so many; and unacknowledged bytes after this time. A
// backend server that is only slow still acknowledges.
constexpr int kProbeAfterS = 2;
constexpr int kProbeEveryS = 1;
constexpr int kProbes = 2;
constexpr int kUnacknowledgedMs = 3000;

// Kept connections to one backend server, at most.
constexpr std::size_t kMaxIdlePerBackend = 48;

// Returns whether nothing has arrived and the peer has not closed.
bool IsQuiet(tcp::socket& socket) {
  char byte = 0;
  const ssize_t count =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void SetTimeouts(tcp::socket& socket) {
  using asio::detail::socket_option::integer;
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(kProbeAfterS), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(kProbeEveryS), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(kProbes), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUnacknowledgedMs),
                    ignored);
}

bool IsFresh(const BackendConnection& connection,
             std::chrono::milliseconds max_idle,
             base::MonoTime now) {
  return now - connection.idle_since <
         std::min(max_idle, connection.idle_timeout - kIdleMargin);
}

}  // namespace

const char* ToString(ConnectFailure failure) {
  switch (failure) {
    case ConnectFailure::kRefused:
      return "refused";
    case ConnectFailure::kTimedOut:
      return "timed_out";
    case ConnectFailure::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

// One attempt to open a connection.
class ConnectionPool::Connecting
    : public std::enable_shared_from_this<Connecting> {
 public:
  Connecting(asio::io_context& loop, Handler handler)
      : connection_(std::make_unique<BackendConnection>(loop)),
        timer_(loop),
        handler_(std::move(handler)) {}

  void Run(const net::Address& address) {
    timer_.expires_after(kConnectTimeout);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error)
        self->Finish(ConnectFailure::kTimedOut);
    });
    connection_->socket.async_connect(
        tcp::endpoint(asio::ip::make_address(address.host),
                      static_cast<unsigned short>(address.port)),
        [self = shared_from_this()](error_code error) {
          self->OnConnected(error);
        });
  }

 private:
  void OnConnected(error_code error) {
    if (!handler_)
      return;
    if (error) {
      Finish(error == asio::error::connection_refused ||
                     error == asio::error::connection_reset
                 ? ConnectFailure::kRefused
                 : ConnectFailure::kUnreachable);
      return;
    }
    SetTimeouts(connection_->socket);
    Finish(std::move(connection_));
  }

  void Finish(Result result) {
    if (!handler_)
      return;
    timer_.cancel();
    if (connection_) {
      error_code ignored;
      connection_->socket.close(ignored);
    }
    std::exchange(handler_, nullptr)(std::move(result));
  }

  BackendConnectionPtr connection_;
  asio::steady_timer timer_;
  Handler handler_;
};

BackendConnectionPtr ConnectionPool::TakeIdle(
    const BackendEntry& backend,
    std::chrono::milliseconds max_idle) {
  const auto found = idle_.find(backend.id);
  if (found == idle_.end())
    return nullptr;
  const base::MonoTime now = std::chrono::steady_clock::now();
  auto& connections = found->second;
  while (!connections.empty()) {
    // The one used last: the others may go idle long enough to be closed.
    if (!IsFresh(*connections.back(), max_idle, now))
      return nullptr;
    BackendConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    if (IsQuiet(connection->socket))
      return connection;
  }
  return nullptr;
}

void ConnectionPool::Connect(const BackendEntry& backend, Handler handler) {
  ++opened_;
  std::make_shared<Connecting>(loop_, std::move(handler))->Run(backend.address);
}

void ConnectionPool::Keep(const BackendEntry& backend,
                          BackendConnectionPtr connection,
                          base::MonoTime now) {
  auto& connections = idle_[backend.id];
  if (connections.size() >= kMaxIdlePerBackend)
    return;
  connection->is_reused = true;
  connection->idle_since = now;
  if (connection->idle_timeout.count() == 0)
    connection->idle_timeout = kDefaultIdleTimeout;
  connections.push_back(std::move(connection));
}

void ConnectionPool::Drop(const base::BackendId& backend) {
  idle_.erase(backend);
}

void ConnectionPool::Sweep(base::MonoTime now) {
  for (auto at = idle_.begin(); at != idle_.end();) {
    auto& connections = at->second;
    connections.erase(
        std::remove_if(connections.begin(), connections.end(),
                       [now](const BackendConnectionPtr& connection) {
                         return !IsFresh(*connection, connection->idle_timeout,
                                         now);
                       }),
        connections.end());
    at = connections.empty() ? idle_.erase(at) : std::next(at);
  }
}

std::size_t ConnectionPool::idle() const {
  std::size_t count = 0;
  for (const auto& [backend, connections] : idle_)
    count += connections.size();
  return count;
}

}  // namespace dandelionmill::gateway
