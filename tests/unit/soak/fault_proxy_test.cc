#include "tests/soak/fault_proxy.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>

#include "tests/soak/loop_thread.h"

using boost::asio::ip::tcp;
using boost::system::error_code;
using soak::FaultProxy;
using soak::LoopThread;

namespace {

constexpr unsigned short kPort = 28611;
constexpr unsigned short kTargetPort = 28612;
constexpr unsigned short kOtherPort = 28613;

tcp::endpoint EndpointOf(unsigned short port) {
  return {boost::asio::ip::make_address("127.0.0.1"), port};
}

}  // namespace

TEST_CASE(
    "A proxy whose target has crashed refuses connections from the end of the "
    "connections on",
    "[soak]") {
  // Whether the kernel reports the refusal of the target at once varies.
  for (int round = 0; round < 20; ++round) {
    boost::asio::io_context loop;
    tcp::acceptor target(loop, EndpointOf(kTargetPort));
    boost::asio::io_context proxy_loop;
    FaultProxy proxy(proxy_loop, kPort, kTargetPort, true);
    const LoopThread proxy_thread(proxy_loop);
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

TEST_CASE(
    "A proxy accepts connections again once its target has come back, unless "
    "it "
    "is to refuse them",
    "[soak]") {
  boost::asio::io_context loop;
  auto target = std::make_unique<tcp::acceptor>(loop, EndpointOf(kTargetPort));
  boost::asio::io_context proxy_loop;
  FaultProxy proxy(proxy_loop, kPort, kTargetPort, true);
  const LoopThread proxy_thread(proxy_loop);
  const auto connect = [&loop] {
    tcp::socket client(loop);
    error_code error;
    client.connect(EndpointOf(kPort), error);
    return !error;
  };
  const auto crash_target = [&] {
    tcp::socket client(loop);
    client.connect(EndpointOf(kPort));
    tcp::socket accepted = target->accept();
    target.reset();
    accepted.close();
    std::array<char, 16> bytes;
    error_code error;
    client.read_some(boost::asio::buffer(bytes), error);
  };
  const auto wait = [] {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  };
  crash_target();
  REQUIRE_FALSE(connect());
  target = std::make_unique<tcp::acceptor>(loop, EndpointOf(kTargetPort));
  proxy.TargetReturned();
  wait();
  CHECK(connect());
  proxy.Refuse();
  wait();
  CHECK_FALSE(connect());
  proxy.TargetReturned();
  wait();
  CHECK_FALSE(connect());
  proxy.StopRefusing();
  wait();
  CHECK(connect());
}

// Guards against an endless series of failing accepts, and a connection that is
// forwarded although connections are refused.
TEST_CASE(
    "A proxy that begins to refuse drops a connection that was accepted "
    "just before and accepts no other",
    "[soak]") {
  constexpr std::size_t kMaxHandlers = 100;
  boost::asio::io_context loop;
  tcp::acceptor target(loop, EndpointOf(kTargetPort));
  boost::asio::io_context proxy_loop;
  FaultProxy proxy(proxy_loop, kPort, kTargetPort, true);
  tcp::socket first(loop);
  first.connect(EndpointOf(kPort));
  tcp::socket second(loop);
  second.connect(EndpointOf(kPort));
  // Queues the first accept before Refuse; the second one follows the first at
  // once, and its handler comes after Refuse.
  boost::asio::post(proxy_loop, [] {});
  proxy_loop.run_one();
  proxy.Refuse();
  CHECK(proxy_loop.run_for(std::chrono::milliseconds(100)) < kMaxHandlers);
  std::array<char, 16> bytes;
  error_code error;
  second.non_blocking(true);
  second.read_some(boost::asio::buffer(bytes), error);
  CHECK(error != boost::asio::error::would_block);
  proxy_loop.stop();
}

TEST_CASE("All proxies to a crashed target refuse connections, used or not",
          "[soak]") {
  boost::asio::io_context loop;
  auto target = std::make_unique<tcp::acceptor>(loop, EndpointOf(kTargetPort));
  boost::asio::io_context proxy_loop;
  FaultProxy used(proxy_loop, kPort, kTargetPort, true);
  FaultProxy unused(proxy_loop, kOtherPort, kTargetPort, true);
  const LoopThread proxy_thread(proxy_loop);
  used.ShareTarget({&used, &unused});
  target.reset();
  used.CheckTarget();
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  tcp::socket client(loop);
  error_code error;
  client.connect(EndpointOf(kOtherPort), error);
  CHECK(error == boost::asio::error::connection_refused);
}
