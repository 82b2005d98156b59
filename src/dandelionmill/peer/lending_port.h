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

// Lends prepaid tokens between instances by datagrams. The lender has given the
// tokens away when it answers, so a lost answer loses tokens but never doubles
// them. A question is sent twice, and answered once; a lender that cannot
// answer yet says so, which tells it from one that is gone. An answer that
// comes late is still credited.
class LendingPort {
 public:
  struct Question {
    base::AccountId account;
    base::Tokens tokens = 0;
    // The lender may draw tokens from the store for this.
    bool may_draw = false;
  };
  struct Answer {
    // 0 or all that was asked for.
    base::Tokens given = 0;
    // Nothing was given because the account has too little left.
    bool is_exhausted = false;
    // The lender answered at all.
    bool has_come = false;
  };
  using Reply = std::function<void(Answer)>;
  // Gives away tokens and tells how many, 0 or all.
  using Lender = std::function<void(const Question&, Reply)>;
  // Takes tokens for which nobody waits: given without a question, or after the
  // asker had stopped waiting.
  using Late = std::function<void(const base::AccountId&, base::Tokens)>;

  // `loop` must outlive the port.
  LendingPort(boost::asio::io_context& loop, Lender lender, Late late);

  // Commands.
  // Fails with kBadSetting when the address cannot be bound.
  base::Status Listen(const net::Address& address);
  // Asks one instance. The handler runs later, once.
  void Ask(const net::Address& instance,
           const Question& question,
           Reply handler);
  // Gives tokens to an instance that did not ask. They are lost if the datagram
  // is.
  void Give(const net::Address& instance,
            const base::AccountId& account,
            base::Tokens tokens);
  void Stop();

 private:
  using Endpoint = boost::asio::ip::udp::endpoint;

  // A question that waits for its answer.
  struct Asked {
    base::AccountId account;
    Endpoint to;
    std::string text;
    bool is_repeated = false;
    Reply handler;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };
  // A question that was received, so that its repetition is not answered anew.
  struct Received {
    Endpoint from;
    std::uint64_t number = 0;
    // Empty until it is answered.
    std::string answer;
  };

  void Receive();
  void OnDatagram(const std::string& text);
  void OnQuestion(std::uint64_t number, const Question& question);
  void OnAnswer(std::uint64_t number, const Answer& answer);
  void OnPending(std::uint64_t number);
  void OnAskTimer(std::uint64_t number);
  void ArmAskTimer(std::uint64_t number, std::chrono::milliseconds delay);
  Received* FindReceived(const Endpoint& from, std::uint64_t number);
  void SendTo(const Endpoint& to, const std::string& text);

  boost::asio::io_context& loop_;
  const Lender lender_;
  const Late late_;
  boost::asio::ip::udp::socket socket_;
  Endpoint from_;
  std::array<char, 1024> buffer_;
  std::map<std::uint64_t, Asked> asked_;
  std::deque<Received> received_;
  std::uint64_t next_number_;
};

}  // namespace dandelionmill::peer

#endif  // SRC_DANDELIONMILL_PEER_LENDING_PORT_H_
