#ifndef SRC_DANDELIONMILL_PEER_LENDING_PORT_H_
#define SRC_DANDELIONMILL_PEER_LENDING_PORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::peer {

// Lends prepaid tokens between instances over UDP. The lender deducts the
// tokens before it answers, so a lost answer loses tokens but never duplicates
// them. A request without a response is sent again once, and the lender
// executes it only once. A lender that cannot answer yet reports the request as
// pending, which distinguishes it from an unreachable one. Late answers are
// still credited.
class LendingPort {
 public:
  struct LoanRequest {
    base::AccountId account;
    base::Tokens tokens = 0;
    // The lender may draw tokens from the store for this request.
    bool may_draw = false;
  };
  struct Answer {
    // Either all requested tokens or 0.
    base::Tokens given = 0;
    // Nothing was given because the account's remaining tokens do not suffice.
    bool is_exhausted = false;
    // False if the lender did not answer in time.
    bool is_received = false;
    // Nothing was given in time, but the lender is drawing tokens from the
    // store, which answers it.
    bool is_drawing = false;
  };
  using LoanHandler = std::function<void(Answer)>;
  // Deducts the requested tokens and reports how many it gave: all or 0.
  using LendHandler = std::function<void(const LoanRequest&, LoanHandler)>;
  // Receives tokens for which no request waits: given without a request, or
  // after the request had timed out.
  using UnclaimedHandler =
      std::function<void(const base::AccountId&, base::Tokens)>;

  // `loop` must outlive the port.
  LendingPort(boost::asio::io_context& loop,
              LendHandler lend_handler,
              UnclaimedHandler unclaimed_handler);

  // Commands.
  // Fails with kBadSetting when the address cannot be bound.
  base::Status Listen(const net::Address& address);
  // Requests tokens from one instance. The handler runs exactly once unless the
  // port is stopped, never from within the call.
  void RequestLoan(const net::Address& instance,
                   const LoanRequest& request,
                   LoanHandler handler);
  // Gives tokens to an instance without a request from it. They are lost if the
  // datagram is lost.
  void Give(const net::Address& instance,
            const base::AccountId& account,
            base::Tokens tokens);
  void Stop();

 private:
  using Endpoint = boost::asio::ip::udp::endpoint;

  // A request that was sent. It is kept after its timeout for a late answer.
  struct SentRequest {
    base::AccountId account;
    Endpoint to;
    std::string text;
    // Sent again already, or reported as pending by the lender.
    bool is_resend_done = false;
    // Empty once the request has timed out.
    LoanHandler handler;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };
  // A received request, remembered so that a resent one is not executed again.
  struct ReceivedRequest {
    Endpoint from;
    std::uint64_t id = 0;
    // Empty until it is answered.
    std::string answer;
  };

  void Receive();
  void OnDatagram(const std::string& text);
  void OnRequest(std::uint64_t id, const LoanRequest& request);
  void OnAnswer(std::uint64_t id, const Answer& answer);
  void OnPending(std::uint64_t id);
  void OnRequestTimer(std::uint64_t id);
  void ArmRequestTimer(std::uint64_t id, std::chrono::milliseconds delay);
  ReceivedRequest* FindReceivedRequest(const Endpoint& from, std::uint64_t id);
  void SendTo(const Endpoint& to, const std::string& text);

  boost::asio::io_context& loop_;
  const LendHandler lend_handler_;
  const UnclaimedHandler unclaimed_handler_;
  boost::asio::ip::udp::socket socket_;
  Endpoint sender_;
  std::array<char, 1024> buffer_;
  std::map<std::uint64_t, SentRequest> sent_requests_;
  std::deque<ReceivedRequest> received_requests_;
  std::uint64_t next_id_;
};

}  // namespace dandelionmill::peer

#endif  // SRC_DANDELIONMILL_PEER_LENDING_PORT_H_
