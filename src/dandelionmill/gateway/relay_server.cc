#include "dandelionmill/gateway/relay_server.h"

#include <utility>

#include "dandelionmill/gateway/relay_session.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {

using tcp = boost::asio::ip::tcp;

RelayServer::RelayServer(GatewayContext& context, std::size_t max_sessions)
    : context_(context),
      max_sessions_(max_sessions),
      acceptor_(context.loop, "relays") {}

RelayServer::~RelayServer() = default;

base::Status RelayServer::Listen(const net::Address& address) {
  return acceptor_.Listen(
      address, [this](tcp::socket socket) { OnAccepted(std::move(socket)); });
}

void RelayServer::Stop() {
  acceptor_.Stop();
  const auto sessions = sessions_;
  for (const auto& [key, session] : sessions)
    session->Abort();
}

void RelayServer::OnAccepted(tcp::socket socket) {
  if (sessions_.size() >= max_sessions_) {
    // The other instance takes the closed connection for a relay that is not
    // available and asks another one.
    context_.metrics.OnLimitApplied("relays");
    if (const auto count = context_.limit_log.Count(
            "relays", std::chrono::steady_clock::now())) {
      log::Event(log::Level::kWarning, "relay_not_accepted")
          .With("open", sessions_.size())
          .With("count", *count);
    }
    return;
  }
  auto session = std::make_shared<RelaySession>(
      context_, std::move(socket),
      [this](RelaySession* ended) { sessions_.erase(ended); });
  sessions_[session.get()] = session;
  session->Start();
}

}  // namespace dandelionmill::gateway
