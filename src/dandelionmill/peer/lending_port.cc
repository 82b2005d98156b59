#include "dandelionmill/peer/lending_port.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>
#include <variant>

#include "dandelionmill/base/json_numbers.h"
#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using nlohmann::json;

// Delay after which a request is sent again: the round trip between regions
// plus the time in which the lender stores a row.
constexpr std::chrono::milliseconds kResendDelay{45};

// Timeout for the first response after a request was sent again.
constexpr std::chrono::milliseconds kFirstResponseTimeout{130};

// Timeout for the answer after a lender reported the request as pending: it
// covers the validity of the lender's stored row.
constexpr std::chrono::milliseconds kPendingAnswerTimeout{1200};

// How long after the timeout of a request a late answer is still credited.
constexpr std::chrono::seconds kLateAnswerWindow{5};

// Number of received requests remembered: those of one second at a busy owner.
constexpr std::size_t kMaxReceivedRequests = 512;

struct Gift {
  base::AccountId account;
  base::Tokens tokens = 0;
};
struct ReceivedLoanRequest {
  std::uint64_t id = 0;
  LendingPort::LoanRequest request;
};
struct PendingNotice {
  std::uint64_t id = 0;
};
struct ReceivedAnswer {
  std::uint64_t id = 0;
  LendingPort::Answer answer;
};
using Message =
    std::variant<Gift, ReceivedLoanRequest, PendingNotice, ReceivedAnswer>;

base::Error MalformedMessage(const std::string& detail) {
  return {base::Code::kMalformedMessage, detail};
}

// Returns nullopt if the field is missing or has another type.
std::optional<std::string> ReadText(const json& message, const char* name) {
  const auto found = message.find(name);
  if (found == message.end() || !found->is_string())
    return std::nullopt;
  return found->get<std::string>();
}

std::optional<bool> ReadFlag(const json& message, const char* name) {
  const auto found = message.find(name);
  if (found == message.end() || !found->is_boolean())
    return std::nullopt;
  return found->get<bool>();
}

// Fails with kMalformedMessage. The kind of a message is known by the field
// that no other kind has; a message without any of these is of a kind that
// another version of this program sends, and must not be taken for an answer.
base::Result<Message> DecodeMessage(const std::string& text) {
  const json message = json::parse(text, nullptr, false);
  if (!message.is_object())
    return MalformedMessage("not a JSON object");
  const auto number = base::ToJsonInteger(message.value("number", json()));
  if (!number)
    return MalformedMessage("field \"number\" is missing or wrong");
  const auto tokens = base::ToJsonInteger(message.value("tokens", json()));
  if (!tokens)
    return MalformedMessage("field \"tokens\" is missing or wrong");
  const auto id = static_cast<std::uint64_t>(*number);
  if (message.contains("gift_for")) {
    const auto account = ReadText(message, "gift_for");
    if (!account)
      return MalformedMessage("field \"gift_for\" is wrong");
    return Message(Gift{base::AccountId(*account), *tokens});
  }
  if (message.contains("account")) {
    const auto account = ReadText(message, "account");
    const auto may_draw = ReadFlag(message, "may_draw");
    if (!account || !may_draw)
      return MalformedMessage(
          "field \"account\" or \"may_draw\" is missing or wrong");
    return Message(ReceivedLoanRequest{
        id, {base::AccountId(*account), *tokens, *may_draw}});
  }
  if (message.contains("pending"))
    return Message(PendingNotice{id});
  if (message.contains("exhausted")) {
    return Message(
        ReceivedAnswer{id,
                       {*tokens, ReadFlag(message, "exhausted").value_or(false),
                        true, ReadFlag(message, "drawing").value_or(false)}});
  }
  return MalformedMessage("unknown kind of message");
}

}  // namespace

LendingPort::LendingPort(asio::io_context& loop,
                         LendHandler lend_handler,
                         UnclaimedHandler unclaimed_handler)
    : loop_(loop),
      lend_handler_(std::move(lend_handler)),
      unclaimed_handler_(std::move(unclaimed_handler)),
      socket_(loop),
      next_id_(std::random_device{}()) {}

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
  sent_requests_.clear();
}

void LendingPort::Receive() {
  socket_.async_receive_from(asio::buffer(buffer_), sender_,
                             [this](error_code error, std::size_t count) {
                               if (error == asio::error::operation_aborted)
                                 return;
                               if (!error)
                                 OnDatagram(std::string(buffer_.data(), count));
                               Receive();
                             });
}

void LendingPort::OnDatagram(const std::string& text) {
  const auto message = DecodeMessage(text);
  if (!base::IsOk(message)) {
    log::Event(log::Level::kWarning, "datagram_rejected")
        .With("from", sender_)
        .With("reason", base::ErrorOf(message).detail);
    return;
  }
  std::visit(base::Overloaded{
                 [this](const Gift& gift) {
                   unclaimed_handler_(gift.account, gift.tokens);
                 },
                 [this](const ReceivedLoanRequest& received) {
                   OnRequest(received.id, received.request);
                 },
                 [this](const PendingNotice& notice) { OnPending(notice.id); },
                 [this](const ReceivedAnswer& received) {
                   OnAnswer(received.id, received.answer);
                 }},
             base::ValueOf(message));
}

LendingPort::ReceivedRequest* LendingPort::FindReceivedRequest(
    const Endpoint& from,
    std::uint64_t id) {
  for (ReceivedRequest& other : received_requests_) {
    if (other.id == id && other.from == from)
      return &other;
  }
  return nullptr;
}

void LendingPort::OnRequest(std::uint64_t id, const LoanRequest& request) {
  const std::string pending =
      json{{"number", id}, {"tokens", 0}, {"pending", true}}.dump();
  if (const ReceivedRequest* known = FindReceivedRequest(sender_, id)) {
    SendTo(sender_, known->answer.empty() ? pending : known->answer);
    return;
  }
  received_requests_.push_back({sender_, id, ""});
  if (received_requests_.size() > kMaxReceivedRequests)
    received_requests_.pop_front();
  lend_handler_(request, [this, id, request, from = sender_](Answer answer) {
    if (answer.given == 0) {
      log::Event(log::Level::kInfo, "prepaid_not_lent")
          .With("account", request.account)
          .With("to", from)
          .With("asked", request.tokens)
          .With("exhausted", answer.is_exhausted)
          .With("drawing", answer.is_drawing);
    }
    const std::string text = json{
        {"number", id},
        {"tokens", answer.given},
        {"exhausted", answer.is_exhausted},
        {"drawing",
         answer.is_drawing}}.dump();
    if (ReceivedRequest* received = FindReceivedRequest(from, id))
      received->answer = text;
    SendTo(from, text);
  });
  const ReceivedRequest* received = FindReceivedRequest(sender_, id);
  if (received != nullptr && received->answer.empty())
    SendTo(sender_, pending);
}

void LendingPort::OnPending(std::uint64_t id) {
  const auto found = sent_requests_.find(id);
  if (found == sent_requests_.end() || !found->second.handler)
    return;
  found->second.is_resend_done = true;
  ArmRequestTimer(id, kPendingAnswerTimeout);
}

void LendingPort::OnAnswer(std::uint64_t id, const Answer& answer) {
  const auto found = sent_requests_.find(id);
  if (found == sent_requests_.end())
    return;
  SentRequest sent = std::move(found->second);
  sent_requests_.erase(found);
  if (sent.handler)
    sent.handler(answer);
  else if (answer.given > 0)
    unclaimed_handler_(sent.account, answer.given);
}

void LendingPort::RequestLoan(const net::Address& instance,
                              const LoanRequest& request,
                              LoanHandler handler) {
  const std::uint64_t id = next_id_++;
  SentRequest& sent = sent_requests_[id];
  sent.account = request.account;
  sent.to = Endpoint(asio::ip::make_address(instance.host),
                     static_cast<unsigned short>(instance.port));
  sent.text = json{{"number", id},
                   {"account", request.account.value()},
                   {"tokens", request.tokens},
                   {"may_draw", request.may_draw}}
                  .dump();
  sent.handler = std::move(handler);
  sent.timer = std::make_unique<asio::steady_timer>(loop_);
  SendTo(sent.to, sent.text);
  ArmRequestTimer(id, kResendDelay);
}

void LendingPort::ArmRequestTimer(std::uint64_t id,
                                  std::chrono::milliseconds delay) {
  asio::steady_timer& timer = *sent_requests_.at(id).timer;
  timer.expires_after(delay);
  timer.async_wait([this, id](error_code error) {
    if (!error)
      OnRequestTimer(id);
  });
}

void LendingPort::OnRequestTimer(std::uint64_t id) {
  const auto found = sent_requests_.find(id);
  if (found == sent_requests_.end())
    return;
  SentRequest& sent = found->second;
  if (!std::exchange(sent.is_resend_done, true)) {
    SendTo(sent.to, sent.text);
    ArmRequestTimer(id, kFirstResponseTimeout);
    return;
  }
  if (!sent.handler) {
    sent_requests_.erase(found);
    return;
  }
  const auto handler = std::exchange(sent.handler, nullptr);
  ArmRequestTimer(id, kLateAnswerWindow);
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
         json{{"number", next_id_++},
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
