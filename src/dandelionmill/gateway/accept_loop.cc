#include "dandelionmill/gateway/accept_loop.h"

#include <utility>

#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Connections that may wait to be accepted when many callers connect at once.
constexpr int kListenBacklog = 1024;

}  // namespace

base::Status AcceptLoop::Listen(const net::Address& address,
                                Handler handler,
                                std::function<void()> on_failure) {
  error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(address.host, error),
                               static_cast<unsigned short>(address.port));
  if (!error)
    acceptor_.open(endpoint.protocol(), error);
  if (!error)
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    acceptor_.bind(endpoint, error);
  if (!error)
    acceptor_.listen(kListenBacklog, error);
  if (error) {
    return base::Error{
        base::Code::kBadSetting,
        net::ToString(address) + ": cannot listen: " + error.message()};
  }
  handler_ = std::move(handler);
  on_failure_ = std::move(on_failure);
  Accept();
  return base::Unit{};
}

void AcceptLoop::Stop() {
  error_code ignored;
  acceptor_.close(ignored);
  timer_.cancel();
}

void AcceptLoop::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (error) {
      OnFailure(error);
      return;
    }
    handler_(std::move(socket));
    if (acceptor_.is_open())
      Accept();
  });
}

void AcceptLoop::OnFailure(error_code error) {
  if (const auto count =
          log_.Count("accept_failed", std::chrono::steady_clock::now())) {
    log::Event(log::Level::kWarning, "accept_failed")
        .With("port", port_)
        .With("reason", error.message())
        .With("count", *count);
  }
  if (on_failure_)
    on_failure_();
  timer_.expires_after(kPauseAfterFailure);
  timer_.async_wait([this](error_code problem) {
    if (!problem && acceptor_.is_open())
      Accept();
  });
}

}  // namespace dandelionmill::gateway
