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

// When a question is sent again: the way there and back between regions, and a
// row that the lender stores first.
constexpr std::chrono::milliseconds kRepeatAfter{45};

// How much longer a sign of life is awaited.
constexpr std::chrono::milliseconds kGiveUpAfter{130};

// How long a lender that is alive may take: the quiet time of its row.
constexpr std::chrono::milliseconds kPatience{1200};

// How long after its question an answer is still credited.
constexpr std::chrono::seconds kLateAnswers{5};

// Questions remembered: those of a second at a busy owner.
constexpr std::size_t kMaxReceived = 512;

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
    return base::Error{
        base::Code::kBadSetting,
        net::ToString(address) + " cannot be bound: " + error.message()};
  }
  Receive();
  return base::Unit{};
}

void LendingPort::Stop() {
  error_code ignored;
  socket_.close(ignored);
  asked_.clear();
}

void LendingPort::Receive() {
  socket_.async_receive_from(asio::buffer(buffer_), from_,
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
      late_(base::AccountId(message["gift_for"].get<std::string>()), tokens);
    } else if (message.contains("account")) {
      OnQuestion(number,
                 {base::AccountId(message["account"].get<std::string>()),
                  tokens, message.at("may_draw").get<bool>()});
    } else if (message.contains("pending")) {
      OnPending(number);
    } else {
      OnAnswer(number, {tokens, message.value("exhausted", false), true});
    }
  } catch (const json::exception& error) {
    log::Event(log::Level::kWarning, "datagram_rejected")
        .With("from", from_)
        .With("reason", error.what());
  }
}

LendingPort::Received* LendingPort::FindReceived(const Endpoint& from,
                                                 std::uint64_t number) {
  for (Received& other : received_) {
    if (other.number == number && other.from == from)
      return &other;
  }
  return nullptr;
}

void LendingPort::OnQuestion(std::uint64_t number, const Question& question) {
  const std::string pending =
      json{{"number", number}, {"tokens", 0}, {"pending", true}}.dump();
  if (const Received* known = FindReceived(from_, number)) {
    SendTo(from_, known->answer.empty() ? pending : known->answer);
    return;
  }
  received_.push_back({from_, number, ""});
  if (received_.size() > kMaxReceived)
    received_.pop_front();
  lender_(question, [this, number, question, from = from_](Answer answer) {
    if (answer.given == 0) {
      log::Event(log::Level::kInfo, "prepaid_not_lent")
          .With("account", question.account)
          .With("to", from)
          .With("asked", question.tokens)
          .With("exhausted", answer.is_exhausted);
    }
    const std::string text = json{
        {"number", number},
        {"tokens", answer.given},
        {"exhausted",
         answer.is_exhausted}}.dump();
    if (Received* received = FindReceived(from, number))
      received->answer = text;
    SendTo(from, text);
  });
  const Received* received = FindReceived(from_, number);
  if (received != nullptr && received->answer.empty())
    SendTo(from_, pending);
}

void LendingPort::OnPending(std::uint64_t number) {
  const auto found = asked_.find(number);
  if (found == asked_.end() || !found->second.handler)
    return;
  found->second.is_repeated = true;
  ArmAskTimer(number, kPatience);
}

void LendingPort::OnAnswer(std::uint64_t number, const Answer& answer) {
  const auto found = asked_.find(number);
  if (found == asked_.end())
    return;
  Asked asked = std::move(found->second);
  asked_.erase(found);
  if (asked.handler)
    asked.handler(answer);
  else if (answer.given > 0)
    late_(asked.account, answer.given);
}

void LendingPort::Ask(const net::Address& instance,
                      const Question& question,
                      Reply handler) {
  const std::uint64_t number = next_number_++;
  Asked& asked = asked_[number];
  asked.account = question.account;
  asked.to = Endpoint(asio::ip::make_address(instance.host),
                      static_cast<unsigned short>(instance.port));
  asked.text = json{{"number", number},
                    {"account", question.account.value()},
                    {"tokens", question.tokens},
                    {"may_draw", question.may_draw}}
                   .dump();
  asked.handler = std::move(handler);
  asked.timer = std::make_unique<asio::steady_timer>(loop_);
  SendTo(asked.to, asked.text);
  ArmAskTimer(number, kRepeatAfter);
}

void LendingPort::ArmAskTimer(std::uint64_t number,
                              std::chrono::milliseconds delay) {
  asio::steady_timer& timer = *asked_.at(number).timer;
  timer.expires_after(delay);
  timer.async_wait([this, number](error_code error) {
    if (!error)
      OnAskTimer(number);
  });
}

void LendingPort::OnAskTimer(std::uint64_t number) {
  const auto found = asked_.find(number);
  if (found == asked_.end())
    return;
  Asked& asked = found->second;
  if (!std::exchange(asked.is_repeated, true)) {
    SendTo(asked.to, asked.text);
    ArmAskTimer(number, kGiveUpAfter);
    return;
  }
  if (!asked.handler) {
    asked_.erase(found);
    return;
  }
  const auto handler = std::exchange(asked.handler, nullptr);
  ArmAskTimer(number, kLateAnswers);
  handler({});
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
