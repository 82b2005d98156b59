#ifndef SRC_DANDELIONMILL_GATEWAY_CONNECTION_POOL_H_
#define SRC_DANDELIONMILL_GATEWAY_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <variant>
#include <vector>

#include "dandelionmill/base/units.h"
#include "dandelionmill/gateway/backend_entry.h"

namespace dandelionmill::gateway {

// A connection to one life of a backend server.
struct BackendConnection {
  explicit BackendConnection(boost::asio::io_context& loop) : socket(loop) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  // Has carried a request before.
  bool is_reused = false;
  base::MonoTime idle_since{};
  // How long the backend server keeps it when idle.
  std::chrono::milliseconds idle_timeout{0};
};

using BackendConnectionPtr = std::unique_ptr<BackendConnection>;

// Why no connection could be made.
enum class ConnectFailure { kRefused, kTimedOut, kUnreachable };

const char* ToString(ConnectFailure failure);

// Keeps connections to backend servers for reuse. A kept connection on which
// anything arrived, or that its peer may close soon, is not used again.
class ConnectionPool {
 public:
  using Result = std::variant<BackendConnectionPtr, ConnectFailure>;
  using Handler = std::function<void(Result)>;

  // `loop` must outlive the pool.
  explicit ConnectionPool(boost::asio::io_context& loop) : loop_(loop) {}

  // Commands.
  // Returns a kept connection that has been idle for `max_idle` at most, or
  // nullptr.
  BackendConnectionPtr TakeIdle(const BackendEntry& backend,
                                std::chrono::milliseconds max_idle);
  // Opens a connection. The handler runs later, once.
  void Connect(const BackendEntry& backend, Handler handler);
  // Keeps a connection whose last answer was read to its end.
  void Keep(const BackendEntry& backend,
            BackendConnectionPtr connection,
            base::MonoTime now);
  // Closes kept connections to a backend server that is gone.
  void Drop(const base::BackendId& backend);
  // Closes kept connections that are not usable any more.
  void Sweep(base::MonoTime now);

  // Queries.
  std::size_t idle() const;
  std::uint64_t opened() const { return opened_; }

 private:
  class Connecting;

  boost::asio::io_context& loop_;
  std::map<base::BackendId, std::vector<BackendConnectionPtr>> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_CONNECTION_POOL_H_
