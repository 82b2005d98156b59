#ifndef SRC_DANDELIONMILL_PEER_LENDING_PORT_H_
#define SRC_DANDELIONMILL_PEER_LENDING_PORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
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
// them; an answer that comes late is still credited.
class LendingPort {
 public:
  using Granted = std::function<void(base::Tokens)>;
  // Gives away up to so many tokens and tells the number.
  using Lender = std::function<void(const base::AccountId&, base::Tokens,
                                    Granted)>;
  // Takes tokens for which nobody waits: given without a question, or after the
  // asker had stopped waiting.
  using Late = std::function<void(const base::AccountId&, base::Tokens)>;

  // `loop` must outlive the port.
  LendingPort(boost::asio::io_context& loop, Lender lender, Late late);

  // Commands.
  // Fails with kBadSetting when the address cannot be bound.
  base::Status Listen(const net::Address& address);
  // Asks one instance. The handler gets 0 after `timeout`.
  void Ask(const net::Address& instance,
           const base::AccountId& account,
           base::Tokens tokens,
           std::chrono::milliseconds timeout,
           Granted handler);
  // Gives tokens to an instance that did not ask. They are lost if the datagram
  // is.
  void Give(const net::Address& instance,
            const base::AccountId& account,
            base::Tokens tokens);
  void Stop();

 private:
  struct Question {
    base::AccountId account;
    Granted handler;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void Receive();
  void OnDatagram(const std::string& text);
  void OnQuestion(std::uint64_t number, const base::AccountId& account,
                  base::Tokens tokens,
                  const boost::asio::ip::udp::endpoint& from);
  void OnAnswer(std::uint64_t number, base::Tokens tokens);
  void SendTo(const boost::asio::ip::udp::endpoint& to,
              const std::string& text);

  boost::asio::io_context& loop_;
  const Lender lender_;
  const Late late_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint from_;
  std::array<char, 1024> buffer_;
  std::map<std::uint64_t, Question> questions_;
  std::uint64_t next_number_;
};

}  // namespace dandelionmill::peer

#endif  // SRC_DANDELIONMILL_PEER_LENDING_PORT_H_
