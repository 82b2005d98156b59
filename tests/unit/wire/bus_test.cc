#include "dandelionmill/wire/bus.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>

#include "dandelionmill/wire/envelope.pb.h"

using dandelionmill::base::IsOk;
using dandelionmill::net::Address;
using dandelionmill::wire::Bus;
using dandelionmill::wire::Envelope;
using dandelionmill::wire::Route;

namespace {

Envelope Hello(const std::string& router) {
  Envelope envelope;
  envelope.mutable_router_hello()->set_router(router);
  return envelope;
}

// Collects received messages and blocks until a number of them have arrived.
class Inbox {
 public:
  void Put(const Envelope& message) {
    std::lock_guard<std::mutex> lock(mutex_);
    messages_.push_back(message);
    arrived_.notify_all();
  }

  // Returns false after 20 s.
  bool WaitFor(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    return arrived_.wait_for(lock, std::chrono::seconds(20),
                             [&] { return messages_.size() >= count; });
  }

  std::vector<Envelope> messages() {
    std::lock_guard<std::mutex> lock(mutex_);
    return messages_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::vector<Envelope> messages_;
};

}  // namespace

TEST_CASE("A bus delivers messages and replies between fleet members",
          "[wire]") {
  const Address address{"127.0.0.1", 19701};
  Inbox server_inbox;
  Inbox client_inbox;
  Bus* server_bus = nullptr;
  Bus server({address, "server/1", "key", {}},
             [&](const Route& from, Envelope message) {
               server_inbox.Put(message);
               server_bus->Reply(from, message.id(), Hello("reply"));
             });
  server_bus = &server;
  REQUIRE(IsOk(server.Start()));

  SECTION("a reply carries the id of the message it answers") {
    Bus client(
        {{}, "client/1", "key", {}},
        [&](const Route&, Envelope message) { client_inbox.Put(message); });
    REQUIRE(IsOk(client.Start()));
    const std::uint64_t id = client.Send(client.Connect(address), Hello("r1"));
    REQUIRE(client_inbox.WaitFor(1));
    CHECK(client_inbox.messages()[0].in_reply_to() == id);
    CHECK(client_inbox.messages()[0].sender() == "server/1");
    CHECK(server_inbox.messages()[0].sender() == "client/1");
  }

  SECTION("messages from a process with another fleet key are not received") {
    Bus outsider({{}, "outsider/1", "guess", {}},
                 [](const Route&, Envelope) {});
    Bus client(
        {{}, "client/1", "key", {}},
        [&](const Route&, Envelope message) { client_inbox.Put(message); });
    REQUIRE(IsOk(outsider.Start()));
    REQUIRE(IsOk(client.Start()));
    const Route outsider_route = outsider.Connect(address);
    const Route client_route = client.Connect(address);
    constexpr std::size_t kExchanges = 50;
    for (std::size_t i = 1; i <= kExchanges; ++i) {
      outsider.Send(outsider_route, Hello("bad"));
      client.Send(client_route, Hello("good"));
      REQUIRE(client_inbox.WaitFor(i));
    }
    for (const Envelope& message : server_inbox.messages())
      CHECK(message.sender() == "client/1");
  }
}

TEST_CASE("Starting a second bus on the same address fails", "[wire]") {
  const Address address{"127.0.0.1", 19702};
  Bus first({address, "a", "key", {}}, [](const Route&, Envelope) {});
  Bus second({address, "b", "key", {}}, [](const Route&, Envelope) {});
  REQUIRE(IsOk(first.Start()));
  CHECK_FALSE(IsOk(second.Start()));
}
