#ifndef SRC_DANDELIONMILL_GATEWAY_RELAY_SESSION_H_
#define SRC_DANDELIONMILL_GATEWAY_RELAY_SESSION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionmill/gateway/connection_pool.h"
#include "dandelionmill/gateway/gateway_context.h"
#include "dandelionmill/gateway/incarnation_check.h"
#include "dandelionmill/gateway/relay_protocol.h"

namespace dandelionmill::gateway {

// Relays one connection of another instance to a backend server. Takes note of
// what the response says about the backend server, since this instance must
// respect it as well. Must be owned by a shared_ptr.
class RelaySession : public std::enable_shared_from_this<RelaySession>,
                     private MemoryAccount::Holder {
 public:
  // `on_ended` runs once, when both connections are closed.
  RelaySession(GatewayContext& context,
               boost::asio::ip::tcp::socket socket,
               std::function<void(RelaySession*)> on_ended);

  // Commands.
  void Start();
  // Resets both connections.
  void Abort();

 private:
  static constexpr std::size_t kBufferBytes = 16384;

  // One direction: bytes are read from `source` and written to `sink`.
  struct Channel {
    boost::asio::ip::tcp::socket* source = nullptr;
    boost::asio::ip::tcp::socket* sink = nullptr;
    std::array<char, kBufferBytes> bytes;
    std::uint64_t relayed_bytes = 0;
    bool is_writing = false;
  };

  // MemoryAccount::Holder. A relayed connection is never dropped.
  void OnMemoryExceeded(MemoryBudget::Use) override {}

  void OnRequest(boost::system::error_code error);
  // Returns kConnected if this instance would send the request itself.
  RelayStatus Admit(const RelayRequest& request);
  // Whether the connection is for a request and the zone of the backend server
  // is evacuated. Checks of whether a backend server still runs are relayed:
  // streams that run there are completed.
  bool IsEvacuated(const BackendEntry& entry) const;
  void OnBackendConnected(ConnectionPool::Result result);
  // Whether the backend server has to be asked first if it is warm.
  bool NeedsWarmUpCheck() const;
  void OnWarmUpChecked(IncarnationReport report);
  // Responds once the connection can carry the request.
  void OnConnectionUsable();
  // The process of the backend server may have been replaced.
  void NoteConnectionLost();
  // Sends the response, and begins to relay if it is kConnected.
  void Respond(RelayStatus status);
  void Relay(Channel& channel);
  void OnSourceEnded(Channel& channel, boost::system::error_code error);
  // Passes the end of the response on.
  void EndResponse();
  // Whether all bytes of the request have reached the backend server; nothing
  // if its connection is broken.
  std::optional<bool> IsRequestDelivered();
  void ObserveResponseHead(std::string_view bytes);
  // Closes both connections, with a reset if `is_broken`.
  void End(bool is_broken, const char* reason);

  GatewayContext& context_;
  const MemoryBudget::Id memory_id_;
  boost::asio::ip::tcp::socket socket_;
  std::function<void(RelaySession*)> on_ended_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::empty_body>>
      request_parser_;
  RelayRequest request_;
  std::optional<BackendEntry> backend_;
  BackendConnectionPtr connection_;
  RelayStatus status_ = RelayStatus::kUnavailable;
  // Why the request was refused, for the log.
  const char* refusal_reason_ = "refused";
  std::string response_;
  // Bytes of the response until its head is complete.
  std::string response_head_;
  bool is_head_observed_ = false;
  // Whether the response is a success whose body ends with the connection.
  bool ends_with_connection_ = false;
  Channel to_backend_;
  Channel from_backend_;
  base::MonoTime accepted_at_{};
  base::MonoTime connected_at_{};
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_RELAY_SESSION_H_
