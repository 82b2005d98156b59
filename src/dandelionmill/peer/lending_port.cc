#include "dandelionmill/peer/lending_port.h"

#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "dandelionmill/log/event.h"

namespace dandelionmill::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using nlohmann::json;

// How long after its question an answer is still credited.
constexpr std::chrono::seconds kLateAnswers{5};

}  // namespace

LendingPort::LendingPort(asio::io_context& loop, Lender lender, Late late)
    : loop_(loop),
      lender_(std::move(lender)),
      late_(std::move(late)),
      socket_(loop),
      next_number_(std::random_device{}()) {}

base::Status LendingPort::Listen(const net::Address& address) {
  error_code error;
  const udp::endpoint endpoint(asio::ip::make_address(address.host, error),
                               static_cast<unsigned short>(address.port));
  if (!error)
    socket_.open(endpoint.protocol(), error);
  if (!error)
    socket_.bind(endpoint, error);
  if (!error)
    socket_.non_blocking(true, error);
  if (error) {
    return base::Error{base::Code::kBadSetting, net::ToString(address) +
                                                    " cannot be bound: " +
                                                    error.message()};
  }
  Receive();
  return base::Unit{};
}

void LendingPort::Stop() {
  error_code ignored;
  socket_.close(ignored);
  questions_.clear();
}

void LendingPort::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), from_,
      [this](error_code error, std::size_t count) {
        if (error == asio::error::operation_aborted)
          return;
        if (!error)
          OnDatagram(std::string(buffer_.data(), count));
        Receive();
      });
}

void LendingPort::OnDatagram(const std::string& text) {
  const json message = json::parse(text, nullptr, false);
  try {
    const auto number = message.at("number").get<std::uint64_t>();
    const auto tokens = message.at("tokens").get<base::Tokens>();
    if (tokens < 0)
      return;
    if (message.contains("gift_for")) {
      late_(base::AccountId(message["gift_for"].get<std::string>()),
            tokens);
    } else if (message.contains("account")) {
      OnQuestion(number,
                 base::AccountId(message["account"].get<std::string>()),
                 tokens, from_);
    } else {
      OnAnswer(number, tokens);
    }
  } catch (const json::exception& error) {
    log::Event(log::Level::kWarning, "datagram_rejected")
        .With("from", from_)
        .With("reason", error.what());
  }
}

void LendingPort::OnQuestion(std::uint64_t number,
                             const base::AccountId& account,
                             base::Tokens tokens,
                             const udp::endpoint& from) {
  lender_(account, tokens, [this, number, account, tokens,
                            from](base::Tokens given) {
    log::Event(log::Level::kInfo, "prepaid_lent")
        .With("account", account)
        .With("to", from)
        .With("asked", tokens)
        .With("given", given);
    SendTo(from, json{{"number", number}, {"tokens", given}}.dump());
  });
}

void LendingPort::OnAnswer(std::uint64_t number, base::Tokens tokens) {
  const auto found = questions_.find(number);
  if (found == questions_.end())
    return;
  Question question = std::move(found->second);
  questions_.erase(found);
  if (question.handler)
    question.handler(tokens);
  else if (tokens > 0)
    late_(question.account, tokens);
}

void LendingPort::Ask(const net::Address& instance,
                      const base::AccountId& account,
                      base::Tokens tokens,
                      std::chrono::milliseconds timeout,
                      Granted handler) {
  const std::uint64_t number = next_number_++;
  Question& question = questions_[number];
  question.account = account;
  question.handler = std::move(handler);
  question.timer = std::make_unique<asio::steady_timer>(loop_);
  question.timer->expires_after(timeout);
  question.timer->async_wait([this, number](error_code error) {
    const auto found = questions_.find(number);
    if (error || found == questions_.end())
      return;
    const Granted waiting = std::exchange(found->second.handler, nullptr);
    found->second.timer->expires_after(kLateAnswers);
    found->second.timer->async_wait([this, number](error_code later) {
      if (!later)
        questions_.erase(number);
    });
    waiting(0);
  });
  SendTo(udp::endpoint(asio::ip::make_address(instance.host),
                       static_cast<unsigned short>(instance.port)),
         json{{"number", number},
              {"account", account.value()},
              {"tokens", tokens}}
             .dump());
}

void LendingPort::Give(const net::Address& instance,
                       const base::AccountId& account,
                       base::Tokens tokens) {
  log::Event(log::Level::kInfo, "prepaid_given")
      .With("account", account)
      .With("to", net::ToString(instance))
      .With("tokens", tokens);
  SendTo(udp::endpoint(asio::ip::make_address(instance.host),
                       static_cast<unsigned short>(instance.port)),
         json{{"number", next_number_++},
              {"gift_for", account.value()},
              {"tokens", tokens}}
             .dump());
}

void LendingPort::SendTo(const udp::endpoint& to, const std::string& text) {
  error_code error;
  socket_.send_to(asio::buffer(text), to, 0, error);
  if (error) {
    log::Event(log::Level::kInfo, "datagram_not_sent")
        .With("to", to)
        .With("reason", error.message());
  }
}

}  // namespace dandelionmill::peer
