#include "tests/soak/fault_proxy.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <thread>

using boost::asio::ip::tcp;
using boost::system::error_code;
using soak::FaultProxy;

namespace {

constexpr unsigned short kPort = 28611;
constexpr unsigned short kTargetPort = 28612;

tcp::endpoint EndpointOf(unsigned short port) {
  return {boost::asio::ip::make_address("127.0.0.1"), port};
}

// Runs the loop of a proxy on a thread.
class LoopThread {
 public:
  LoopThread()
      : guard_(loop_.get_executor()), thread_([this] { loop_.run(); }) {}
  ~LoopThread() {
    loop_.stop();
    thread_.join();
  }
  boost::asio::io_context& loop() { return loop_; }

 private:
  boost::asio::io_context loop_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

}  // namespace

TEST_CASE(
    "A proxy whose target has crashed refuses connections from the end of the "
    "connections on",
    "[soak]") {
  // Whether the kernel reports the refusal of the target at once varies.
  for (int round = 0; round < 20; ++round) {
    boost::asio::io_context loop;
    tcp::acceptor target(loop, EndpointOf(kTargetPort));
    LoopThread proxy_thread;
    FaultProxy proxy(proxy_thread.loop(), kPort, kTargetPort, true);
    tcp::socket client(loop);
    client.connect(EndpointOf(kPort));
    tcp::socket accepted = target.accept();
    target.close();
    accepted.close();
    std::array<char, 16> bytes;
    error_code error;
    client.read_some(boost::asio::buffer(bytes), error);
    REQUIRE(error == boost::asio::error::eof);
    tcp::socket next(loop);
    next.connect(EndpointOf(kPort), error);
    CHECK(error == boost::asio::error::connection_refused);
  }
}
