#ifndef SRC_DANDELIONMILL_GATEWAY_CONNECTION_POOL_H_
#define SRC_DANDELIONMILL_GATEWAY_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "dandelionmill/base/boot_clock.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/peer/owner_ranking.h"

namespace dandelionmill::gateway {

// A connection to one backend server process.
struct BackendConnection {
  // Largest size of the buffer: the largest response head, or a chunk header or
  // trailer of that size, and what is read beyond it. The parser has no limit
  // for chunk headers and trailers.
  static constexpr std::size_t kMaxBufferBytes = 128 << 10;

  explicit BackendConnection(boost::asio::io_context& loop) : socket(loop) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer{kMaxBufferBytes};
  // When it was established.
  base::BootTime opened_at{};
  // The incarnation of the backend server that was listed then.
  std::int64_t listed_incarnation = 0;
  // The incarnation that the backend server has reported on it, if any.
  std::optional<std::int64_t> incarnation;
  // Whether it has carried a request before.
  bool is_reused = false;
  base::MonoTime idle_since{};
  // How long the backend server keeps it open when idle; 0 when not known.
  std::chrono::milliseconds idle_timeout{0};
  // The instance that relays the connection, which then carries one request
  // only; not set for a connection over this instance's own links.
  std::optional<peer::Instance> relay;
};

using BackendConnectionPtr = std::unique_ptr<BackendConnection>;

// Why a connection attempt failed.
enum class ConnectFailure {
  kRefused,
  kTimedOut,
  kUnreachable,
  // No other instance could relay the connection, and this one is partitioned
  // from the backend servers.
  kNotRelayed,
};

const char* ToString(ConnectFailure failure);

// Keeps idle connections to backend servers for reuse. An idle connection is
// not reused if data has arrived on it or its peer may close it soon.
class ConnectionPool {
 public:
  using Result = std::variant<BackendConnectionPtr, ConnectFailure>;
  using Handler = std::function<void(Result)>;

  // `loop` must outlive the pool.
  explicit ConnectionPool(boost::asio::io_context& loop) : loop_(loop) {}

  // Commands.
  // Sets what is called when an idle connection turns out to be closed by the
  // backend server.
  void SetOnClosedByPeer(std::function<void(const base::BackendId&)> handler) {
    on_closed_by_peer_ = std::move(handler);
  }
  // Returns a connection that has been idle for less than `max_idle`, or
  // nullptr. Closes those that were opened to another start of the backend
  // server.
  BackendConnectionPtr TakeIdle(const BackendEntry& backend,
                                std::chrono::milliseconds max_idle);
  // Opens a connection. The handler runs once, never from within this call.
  void Connect(const BackendEntry& backend, Handler handler);
  // Adds a connection without a request in progress. Closes it instead if it is
  // relayed or the backend server has enough idle connections.
  void PutIdle(const BackendEntry& backend,
               BackendConnectionPtr connection,
               base::MonoTime now);
  // Closes the idle connections to a backend server.
  void CloseIdle(const base::BackendId& backend);
  // Closes the idle connections that have been idle for too long.
  void CloseExpired(base::MonoTime now);

  // Queries.
  // Number of idle connections to all backend servers.
  std::size_t idle_count() const;
  std::uint64_t opened_count() const { return opened_count_; }

 private:
  class ConnectOperation;

  boost::asio::io_context& loop_;
  std::map<base::BackendId, std::vector<BackendConnectionPtr>> idle_;
  std::uint64_t opened_count_ = 0;
  std::function<void(const base::BackendId&)> on_closed_by_peer_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_CONNECTION_POOL_H_
