#include "dandelionmill/gateway/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "dandelionmill/gateway/socket_options.h"

namespace dandelionmill::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Allows for a handshake between regions with one packet retransmitted on a
// link of a few milliseconds. An unreachable backend server never answers.
constexpr std::chrono::milliseconds kConnectTimeout{350};

// Idle timeout that is assumed when the backend server does not report one.
constexpr std::chrono::milliseconds kDefaultIdleTimeout{4000};

// Connections are not reused this long before the peer's idle timeout. Covers
// the network delay between regions and a pause of this process.
constexpr std::chrono::milliseconds kIdleTimeoutMargin{700};

// Largest number of idle connections to one backend server.
constexpr std::size_t kMaxIdlePerBackend = 48;

// Returns whether no data has arrived and the peer has not closed.
bool HasNoPendingInput(tcp::socket& socket) {
  char byte = 0;
  const ssize_t count =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool IsReusable(const BackendConnection& connection,
                std::chrono::milliseconds max_idle,
                base::MonoTime now) {
  return now - connection.idle_since <
         std::min(max_idle, connection.idle_timeout - kIdleTimeoutMargin);
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
    case ConnectFailure::kNotRelayed:
      return "not_relayed";
  }
  return "unknown";
}

// Opens one connection with a timeout.
class ConnectionPool::ConnectOperation
    : public std::enable_shared_from_this<ConnectOperation> {
 public:
  ConnectOperation(asio::io_context& loop, Handler handler)
      : connection_(std::make_unique<BackendConnection>(loop)),
        timer_(loop),
        handler_(std::move(handler)) {}

  void Run(const BackendEntry& backend) {
    const net::Address& address = backend.address;
    connection_->listed_incarnation = backend.incarnation;
    timer_.expires_after(kConnectTimeout);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error)
        self->Complete(ConnectFailure::kTimedOut);
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
      Complete(error == asio::error::connection_refused ||
                       error == asio::error::connection_reset
                   ? ConnectFailure::kRefused
                   : ConnectFailure::kUnreachable);
      return;
    }
    SetSocketOptions(connection_->socket);
    connection_->opened_at = base::BootClock::now();
    Complete(std::move(connection_));
  }

  void Complete(Result result) {
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
  // One that was in use while a restart was listed has come back later.
  connections.erase(
      std::remove_if(connections.begin(), connections.end(),
                     [&backend](const BackendConnectionPtr& connection) {
                       return connection->listed_incarnation !=
                                  backend.incarnation &&
                              connection->incarnation != backend.incarnation;
                     }),
      connections.end());
  while (!connections.empty()) {
    // Uses the most recent one, so that surplus connections expire.
    if (!IsReusable(*connections.back(), max_idle, now))
      return nullptr;
    BackendConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    if (HasNoPendingInput(connection->socket))
      return connection;
    if (on_closed_by_peer_)
      on_closed_by_peer_(backend.id);
  }
  return nullptr;
}

void ConnectionPool::Connect(const BackendEntry& backend, Handler handler) {
  ++opened_count_;
  std::make_shared<ConnectOperation>(loop_, std::move(handler))->Run(backend);
}

void ConnectionPool::PutIdle(const BackendEntry& backend,
                             BackendConnectionPtr connection,
                             base::MonoTime now) {
  auto& connections = idle_[backend.id];
  if (connection->relay || connections.size() >= kMaxIdlePerBackend)
    return;
  connection->is_reused = true;
  connection->idle_since = now;
  if (connection->idle_timeout.count() == 0)
    connection->idle_timeout = kDefaultIdleTimeout;
  connections.push_back(std::move(connection));
}

void ConnectionPool::CloseIdle(const base::BackendId& backend) {
  idle_.erase(backend);
}

void ConnectionPool::CloseExpired(base::MonoTime now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& connections = it->second;
    connections.erase(
        std::remove_if(connections.begin(), connections.end(),
                       [now](const BackendConnectionPtr& connection) {
                         return !IsReusable(*connection,
                                            connection->idle_timeout, now);
                       }),
        connections.end());
    it = connections.empty() ? idle_.erase(it) : std::next(it);
  }
}

std::size_t ConnectionPool::idle_count() const {
  std::size_t count = 0;
  for (const auto& [backend, connections] : idle_)
    count += connections.size();
  return count;
}

}  // namespace dandelionmill::gateway
