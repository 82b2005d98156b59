#ifndef SRC_DANDELIONMILL_GATEWAY_CALLER_SESSION_H_
#define SRC_DANDELIONMILL_GATEWAY_CALLER_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "dandelionmill/gateway/body_progress.h"
#include "dandelionmill/gateway/exchange.h"
#include "dandelionmill/gateway/memory_account.h"

namespace dandelionmill::gateway {

// One HTTP/1.1 connection of a caller. Parses requests strictly, handles one at
// a time and writes the responses in order. Must be owned by a shared_ptr.
class CallerSession : public std::enable_shared_from_this<CallerSession>,
                      private ResponseWriter,
                      private MemoryAccount::Holder {
 public:
  // `on_closed` runs once, when the connection is closed.
  CallerSession(GatewayContext& context,
                boost::asio::ip::tcp::socket socket,
                std::function<void(CallerSession*)> on_closed);
  ~CallerSession() override;

  // Commands.
  void Start();
  // Closes the connection if it has been idle for some time: no request is in
  // progress or has begun to arrive, and every response is written.
  void CloseIfIdle();
  // Fails the request in progress or refuses the one that has begun to arrive,
  // and closes the connection once the response is written.
  void Shutdown();
  // Closes the connection so that another one can be accepted; refuses the
  // request that has begun to arrive.
  void MakeWay();

  // Queries.
  // Whether no request is in progress or has begun to arrive.
  bool IsIdle() const;
  // Whether a request has begun to arrive and is not complete.
  bool IsReceiving() const;
  // Whether a refusal was written and the connection is about to close.
  bool is_ending() const { return close_when_written_; }
  // When the connection became idle, or the request began to arrive.
  base::MonoTime since() const {
    return has_request_started_ ? request_began_at_ : idle_since_;
  }
  // Whether bytes of the caller have arrived that were not read yet.
  bool HasUnreadBytes();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  // ResponseWriter:
  void Send(std::string bytes) override;
  void EndResponse(bool keep_connection) override;
  void Abort() override;
  std::size_t queued_bytes() const override {
    return queued_.size() + writing_.size() - written_;
  }
  void OnResponseBuffered(std::size_t bytes) override;

  bool HasCallerLeft() override;

  // MemoryAccount::Holder:
  void OnMemoryExceeded(MemoryBudget::Use use) override;

  void PrepareNextRequest();
  void Receive();
  void OnReceived(boost::system::error_code error, std::size_t count);
  void Parse();
  void OnRequest();
  // Refuses the request if its framing is too long; returns whether it was not.
  // `incomplete_framing_bytes` of an incomplete chunk header or trailer follow
  // those that were consumed.
  bool CheckBody(std::size_t consumed_bytes,
                 std::size_t incomplete_framing_bytes);
  // Responds to a request that is not complete and closes the connection.
  // `kind` is for metrics and logs.
  void Reject(const char* kind, const Refusal& refusal);
  // Closes the connection for `kind` of limit.
  void CloseForLimit(const char* kind);
  void OnTimeout();
  void OnBodyTimeout(base::MonoTime now);
  void ArmTimeout(std::chrono::milliseconds timeout);
  void Write();
  void WriteSome();
  void OnWritten(boost::system::error_code error, std::size_t count);
  // Waits until the caller closes the connection, so that it can read the last
  // response: closing a connection with unread input resets it.
  void CloseAfterInput();
  void UpdateMemory();
  void Close();

  GatewayContext& context_;
  boost::asio::ip::tcp::socket socket_;
  std::function<void(CallerSession*)> on_closed_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::optional<BodyProgress> body_progress_;
  // Bytes that were received since the head, framing included.
  std::size_t framed_bytes_ = 0;
  CallerLimits limits_;
  MemoryBudget::Id memory_id_;
  base::MonoTime request_began_at_{};
  // Of the request in progress, and what is buffered of its response.
  std::size_t request_bytes_ = 0;
  std::size_t response_bytes_ = 0;
  // When the connection became ready for the next request.
  base::MonoTime idle_since_{};
  bool has_request_started_ = false;
  bool continue_sent_ = false;
  std::shared_ptr<Exchange> exchange_;
  std::string queued_;
  std::string writing_;
  // Bytes of writing_ that the socket has taken, and when it last took some.
  std::size_t written_ = 0;
  base::MonoTime written_at_{};
  bool is_writing_ = false;
  // The next request is parsed once the responses are written.
  bool is_next_deferred_ = false;
  // Of input that arrived after a refusal.
  std::size_t discarded_bytes_ = 0;
  bool is_receiving_ = false;
  bool close_when_written_ = false;
  bool is_closed_ = false;
};

// Returns why a request head that the parser accepted must still be refused:
// more than one body framing, an unknown transfer coding, or not exactly one
// Host field. Such requests could be read differently by the backend server.
std::optional<std::string> FindAmbiguity(
    const boost::beast::http::fields& fields);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_CALLER_SESSION_H_
