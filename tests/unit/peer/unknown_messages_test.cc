#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "dandelionmill/peer/lending_port.h"
#include "tests/support/log_capture.h"

using boost::asio::ip::udp;
using dandelionmill::base::AccountId;
using dandelionmill::base::Tokens;
using dandelionmill::net::Address;
using dandelionmill::peer::LendingPort;
using std::chrono::milliseconds;

namespace {

const AccountId kAccount("painters");
const Address kPort{"127.0.0.1", 27400};
const Address kOtherBuild{"127.0.0.1", 27401};

udp::endpoint ToEndpoint(const Address& address) {
  return {boost::asio::ip::make_address(address.host),
          static_cast<unsigned short>(address.port)};
}

// A port, and a socket that stands for an instance of another build.
struct Fixture {
  boost::asio::io_context loop;
  Tokens unclaimed = 0;
  Tokens lent = 0;
  LendingPort port{
      loop,
      [this](const LendingPort::LoanRequest& request,
             const LendingPort::LoanHandler& done) {
        lent += request.tokens;
        done({request.tokens, false, true});
      },
      [this](const AccountId&, Tokens tokens) { unclaimed += tokens; }};
  udp::socket other{loop, ToEndpoint(kOtherBuild)};

  Fixture() {
    REQUIRE(dandelionmill::base::IsOk(port.Listen(kPort)));
    other.non_blocking(true);
  }

  void Run(int ms) {
    loop.restart();
    loop.run_for(milliseconds(ms));
  }
  void Send(const std::string& text) {
    other.send_to(boost::asio::buffer(text), ToEndpoint(kPort));
    Run(10);
  }
  // Returns the last datagram that the other build has received.
  std::string Received() {
    std::string text(2000, '\0');
    std::string last;
    boost::system::error_code error;
    for (;;) {
      const std::size_t count =
          other.receive(boost::asio::buffer(text), 0, error);
      if (error)
        return last;
      last = text.substr(0, count);
    }
  }
};

}  // namespace

TEST_CASE("Messages of another build are read without their unknown fields",
          "[peer]") {
  Fixture fixture;
  fixture.Send(
      R"({"number":1,"gift_for":"painters","tokens":7,"later":{"a":[1]}})");
  CHECK(fixture.unclaimed == 7);
  fixture.Send(
      R"({"number":2,"account":"painters","tokens":9,"may_draw":true,"x":1})");
  CHECK(fixture.lent == 9);
  const auto answer = nlohmann::json::parse(fixture.Received());
  CHECK(answer.at("number") == 2);
  CHECK(answer.at("tokens") == 9);
}

// Guards against tokens that an instance believes to have been lent by a
// message whose kind it does not know.
TEST_CASE("A message of an unknown kind is not taken for an answer", "[peer]") {
  Fixture fixture;
  const tests::LogCapture log;
  std::optional<LendingPort::Answer> answer;
  fixture.port.RequestLoan(kOtherBuild, {kAccount, 500, true},
                           [&](LendingPort::Answer a) { answer = a; });
  fixture.Run(10);
  const auto number =
      nlohmann::json::parse(fixture.Received()).at("number").dump();
  fixture.Send(R"({"number":)" + number + R"(,"tokens":500,"reserve":true})");
  CHECK_FALSE(answer);
  CHECK(log.Count("event=datagram_rejected") == 1);
  CHECK(log.Count("unknown kind") == 1);
  fixture.Send(R"({"number":)" + number +
               R"(,"tokens":500,"exhausted":false,"later":1})");
  REQUIRE(answer);
  CHECK(answer->is_received);
  CHECK(answer->given == 500);
  CHECK_FALSE(answer->is_drawing);
}

TEST_CASE("A message that cannot be read is left out with a log line",
          "[peer]") {
  Fixture fixture;
  const tests::LogCapture log;
  int sent = 0;
  for (const char* text :
       {"", "x", "[]", "7", "{}", R"({"number":1})", R"({"tokens":1})",
        R"({"number":"1","gift_for":"painters","tokens":7})",
        R"({"number":-1,"gift_for":"painters","tokens":7})",
        R"({"number":1,"gift_for":"painters","tokens":-7})",
        R"({"number":1,"gift_for":"painters","tokens":7.5})",
        R"({"number":1,"gift_for":"painters","tokens":1e300})",
        R"({"number":1,"gift_for":"painters","tokens":true})",
        R"({"number":1,"gift_for":5,"tokens":7})",
        R"({"number":1,"account":"painters","tokens":7})",
        R"({"number":1,"account":"painters","tokens":7,"may_draw":1})"}) {
    INFO(text);
    fixture.Send(text);
    CHECK(log.Count("event=datagram_rejected") == ++sent);
  }
  CHECK(fixture.unclaimed == 0);
  CHECK(fixture.lent == 0);
}
