#ifndef SRC_DANDELIONMILL_GATEWAY_RELAY_SERVER_H_
#define SRC_DANDELIONMILL_GATEWAY_RELAY_SERVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <map>
#include <memory>

#include "dandelionmill/base/result.h"
#include "dandelionmill/gateway/accept_loop.h"
#include "dandelionmill/gateway/gateway_context.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::gateway {

class RelaySession;

// Relays connections to backend servers for other instances that are
// partitioned from them (see relay_protocol.h). Refuses to while this instance
// shuts down, is overloaded or is partitioned as well, and for backend servers
// to which it would send no request itself.
class RelayServer {
 public:
  // `context` must outlive the server. At most `max_sessions` connections are
  // relayed at once.
  RelayServer(GatewayContext& context, std::size_t max_sessions);
  ~RelayServer();

  // Commands.
  // Fails with kBadSetting when the address cannot be bound.
  base::Status Listen(const net::Address& address);
  // Accepts no further connections and resets the open ones.
  void Stop();

  // Query.
  // Connections that are being relayed or opened.
  std::size_t open_count() const { return sessions_.size(); }

 private:
  void OnAccepted(boost::asio::ip::tcp::socket socket);

  GatewayContext& context_;
  const std::size_t max_sessions_;
  AcceptLoop acceptor_;
  std::map<RelaySession*, std::shared_ptr<RelaySession>> sessions_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_RELAY_SERVER_H_
