#include "dandelionmill/backend/stream_reader.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

#include "standins/backend/scripted_engine.h"

using namespace dandelionmill;  // NOLINT(google-build-using-namespace)
using standins::backend::ScriptedEngine;
using std::chrono::milliseconds;

namespace {

constexpr int kPort = 28191;

// Bytes that the reader and the kernel's buffers may accept.
constexpr std::uint64_t kMaxAcceptedBytes = 96 << 20;

}  // namespace

// Guards against buffering chunk framing without limit until the timeout.
TEST_CASE("A stream with endless chunk framing is broken at once",
          "[backend]") {
  ScriptedEngine engine(kPort, [](const ScriptedEngine::Request&) {
    ScriptedEngine::Answer answer;
    answer.steps = {
        {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1;a="},
        {"x", milliseconds(0), true}};
    return answer;
  });
  boost::asio::io_context loop;
  std::optional<backend::ReadEnd> end;
  net::StartFiber(loop, [&end](net::Fiber& fiber) {
    backend::StreamReader::Options options;
    options.address = {"127.0.0.1", kPort};
    options.call.method = "GET";
    options.call.path = "/";
    options.read_timeout = milliseconds(5000);
    backend::StreamReader reader(fiber, options);
    end =
        reader.Take(std::chrono::steady_clock::now() + milliseconds(4000)).end;
  });
  loop.run();
  CHECK(engine.repeated_bytes() < kMaxAcceptedBytes);
  REQUIRE(end.has_value());
  CHECK(end->kind == backend::ReadEnd::Kind::kBroken);
}
