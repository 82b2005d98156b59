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

#include "dandelionmill/gateway/exchange.h"

namespace dandelionmill::gateway {

// One connection of a caller: reads requests strictly, one at a time, and
// writes their answers in order. Must be held by a shared_ptr.
class CallerSession : public std::enable_shared_from_this<CallerSession>,
                      private CallerPort {
 public:
  // `on_closed` runs once, when the connection is closed.
  CallerSession(Core& core,
                boost::asio::ip::tcp::socket socket,
                std::function<void(CallerSession*)> on_closed);
  ~CallerSession() override;

  // Commands.
  void Start();
  // Closes the connection if no request is under way on it.
  void CloseIfIdle();
  // Fails the request under way and closes once its answer is written.
  void Shutdown();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  // CallerPort:
  void Send(std::string bytes) override;
  void Finish(bool keep_connection) override;
  void Abort() override;
  std::size_t queued_bytes() const override {
    return queued_.size() + writing_.size();
  }

  void NextRequest();
  void Receive();
  void OnReceived(boost::system::error_code error, std::size_t count);
  void Parse();
  void OnRequest();
  // Answers what cannot be read and closes.
  void Reject(const Refusal& refusal);
  void OnTimeout();
  void ArmTimeout(std::chrono::milliseconds timeout);
  void Write();
  void OnWritten(boost::system::error_code error);
  void Close();

  Core& core_;
  boost::asio::ip::tcp::socket socket_;
  std::function<void(CallerSession*)> on_closed_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  CallerLimits limits_;
  bool has_begun_ = false;
  bool continue_sent_ = false;
  std::shared_ptr<Exchange> exchange_;
  std::string queued_;
  std::string writing_;
  bool is_writing_ = false;
  bool is_receiving_ = false;
  bool close_when_written_ = false;
  bool is_closed_ = false;
};

// Returns why a parsed head must be refused although the parser took it: more
// than one framing, an unknown transfer coding, or not exactly one host.
std::optional<std::string> FindAmbiguity(
    const boost::beast::http::fields& fields);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_CALLER_SESSION_H_
