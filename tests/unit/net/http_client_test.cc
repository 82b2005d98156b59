#include "dandelionmill/net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

#include "standins/backend/scripted_engine.h"

using namespace dandelionmill;  // NOLINT(google-build-using-namespace)
using standins::backend::ScriptedEngine;
using std::chrono::milliseconds;

namespace {

constexpr int kPort = 28190;

// Bytes that the client and the kernel's buffers may accept.
constexpr std::uint64_t kMaxAcceptedBytes = 96 << 20;

}  // namespace

// Guards against buffering chunk framing without limit until the timeout.
TEST_CASE("A response with endless chunk framing is broken at once", "[net]") {
  const char* repeated = GENERATE("x", "0");
  ScriptedEngine engine(kPort, [repeated](const ScriptedEngine::Request&) {
    const std::string begin = *repeated == 'x' ? "1;a=" : "";
    ScriptedEngine::Answer answer;
    answer.steps = {
        {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + begin},
        {repeated, milliseconds(0), true}};
    return answer;
  });
  boost::asio::io_context loop;
  std::optional<net::CallFailure> failure;
  net::StartFiber(loop, [&failure](net::Fiber& fiber) {
    net::HttpClientRequest call;
    call.method = "GET";
    call.path = "/";
    const auto result = net::Call(fiber, {"127.0.0.1", kPort}, call,
                                  {milliseconds(1000), milliseconds(4000)});
    if (const auto* value = std::get_if<net::CallFailure>(&result))
      failure = *value;
  });
  loop.run();
  CHECK(failure == net::CallFailure::kBroken);
  CHECK(engine.repeated_bytes() < kMaxAcceptedBytes);
}
