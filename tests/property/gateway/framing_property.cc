#include <sys/socket.h>
#include <unistd.h>

#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>

#include "dandelionmill/gateway/backend_call.h"
#include "dandelionmill/gateway/caller_session.h"
#include "dandelionmill/gateway/response_status.h"
#include "tests/property/mutator.h"

// The framing of messages in both directions, and status lines.

namespace asio = boost::asio;
namespace base = dandelionmill::base;
namespace gateway = dandelionmill::gateway;
namespace http = boost::beast::http;

namespace {

// Longest repeated part of an input, above all limits of what is buffered.
constexpr std::size_t kLongPart = 200'000;

// What may be buffered: the limit of unparsed bytes and one read.
constexpr std::size_t kMaxBuffered = 65536 + 16384;

std::uint64_t ReadEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

tests::Mutator MakeMutator() {
  return tests::Mutator(ReadEnvironment("DANDELION_FUZZ_SEED", 20261204));
}

// Records what a call reports, and whether it keeps to its contract.
struct Recorder : gateway::BackendCall::Listener {
  void OnHead(int status,
              const http::fields&,
              const gateway::ResponseMetadata&) override {
    is_sound = is_sound && heads++ == 0 && ends == 0 && status >= 200 &&
               status <= 599 && status_seen == 0;
    status_seen = status;
  }
  void OnBody(std::string_view bytes) override {
    is_sound = is_sound && heads == 1 && ends == 0 && !bytes.empty();
    body_bytes += bytes.size();
  }
  void OnComplete() override {
    is_sound = is_sound && heads == 1 && ends++ == 0;
  }
  void OnBroken(const std::string&) override {
    is_sound = is_sound && ends++ == 0;
  }

  bool is_sound = true;
  int heads = 0;
  int ends = 0;
  int status_seen = 0;
  std::size_t body_bytes = 0;
};

// Plays responses to one call after the other.
class CallPlayer {
 public:
  CallPlayer() { entry_.id = base::BackendId("b"); }

  // Feeds the response in pieces of up to `max_piece` bytes.
  Recorder Play(const std::string& response, std::size_t max_piece) {
    int ends[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
    auto connection = std::make_unique<gateway::BackendConnection>(loop_);
    connection->socket.assign(asio::ip::tcp::v4(), ends[0]);
    const boost::beast::flat_buffer& buffer = connection->buffer;
    Recorder recorder;
    const auto call = std::make_shared<gateway::BackendCall>(
        pool_, overload_, entry_, std::move(connection), recorder,
        base::AttemptId("a"), false);
    call->Run("GET / HTTP/1.1\r\n\r\n", body_, nullptr);
    Poll();
    char request[64];
    while (::recv(ends[1], request, sizeof(request), 0) > 0) {
    }
    for (std::size_t at = 0; at < response.size() && recorder.ends == 0;) {
      const ssize_t count =
          ::send(ends[1], response.data() + at,
                 std::min(max_piece, response.size() - at), MSG_NOSIGNAL);
      if (count > 0)
        at += static_cast<std::size_t>(count);
      Poll();
      if (recorder.ends == 0 && buffer.size() > kMaxBuffered)
        recorder.is_sound = false;
    }
    ::close(ends[1]);
    Poll();
    recorder.is_sound = recorder.is_sound && recorder.ends == 1 &&
                        recorder.body_bytes <= response.size();
    call->Abandon();
    pool_.CloseIdle(entry_.id);
    Poll();
    return recorder;
  }

 private:
  void Poll() {
    loop_.restart();
    loop_.poll();
  }

  asio::io_context loop_;
  gateway::ConnectionPool pool_{loop_};
  gateway::OverloadDetector overload_{0};
  gateway::BackendEntry entry_;
  const std::string body_;
};

}  // namespace

// Guards against a status that is taken for an interim one or passed on.
TEST_CASE("Only responses with a final status are passed on", "[property]") {
  CallPlayer player;
  for (int status = 0; status < 1000; ++status) {
    const std::string digits = std::to_string(1000 + status).substr(1);
    const Recorder recorder = player.Play(
        "HTTP/1.1 " + digits + " X\r\nContent-Length: 2\r\n\r\nok", 4096);
    INFO(digits);
    REQUIRE(recorder.is_sound);
    REQUIRE((recorder.heads == 1) == (status >= 200 && status <= 599));
    REQUIRE((gateway::KindOfStatus(static_cast<unsigned>(status)) ==
             gateway::StatusKind::kFinal) == (recorder.heads == 1));
  }
}

// Guards against an exception of the parser, which holds no names and values of
// 65,536 bytes: the call would never end.
TEST_CASE("A trailer of any length ends its call", "[property]") {
  CallPlayer player;
  for (std::size_t size = 16'000; size < 90'000; size += 1000) {
    const std::string head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    const std::string text(size, 'x');
    INFO(size);
    REQUIRE(player.Play(head + text + ": a\r\n\r\n", 65536).is_sound);
    REQUIRE(player.Play(head + "A: " + text + "\r\n\r\n", 65536).is_sound);
  }
}

// Guards against crashes, endless waits and unbounded buffers at a backend
// server that sends anything.
TEST_CASE("Every response ends its call once, within its buffer",
          "[property]") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n5;x=y\r\nhello\r\n0\r\nT: u\r\n\r\n";
  const std::string after_interim =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
      "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  const std::string after_stale =
      "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nTransfer-Encoding: chunked\r\n"
      "\r\n3\r\nabc\r\n0\r\n\r\nHTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\nno";
  const std::vector<std::string> samples = {
      chunked,
      after_interim,
      after_stale,
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
      "HTTP/1.1 204 X\r\n\r\n"};
  const std::uint64_t inputs = ReadEnvironment("DANDELION_FUZZ_INPUTS", 20000);
  tests::Mutator mutator = MakeMutator();
  CallPlayer player;
  for (std::uint64_t i = 0; i < inputs; ++i) {
    const std::string text = mutator.MutateMessage(
        samples[mutator.RandomBelow(samples.size())], kLongPart);
    const std::size_t max_piece =
        mutator.RandomBelow(2) == 0 || text.size() > 1000
            ? 65536
            : 1 + mutator.RandomBelow(16);
    if (!player.Play(text, max_piece).is_sound)
      FAIL("input " << i << ": " << text.substr(0, 500));
  }
  SUCCEED("every input ended its call");
}

// Guards against crashes, bodies over the limit and endless loops at a caller
// that sends anything. The parser is set up and fed as in CallerSession.
TEST_CASE("Every request is parsed, refused or waited for within its limits",
          "[property]") {
  constexpr std::size_t kMaxHead = 4096;
  constexpr std::size_t kMaxBody = 8192;
  const std::string head =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n";
  const std::string small_chunks =
      head + "\r\n3\r\nabc\r\n5;x=y\r\nhello\r\n0\r\nT: u\r\n\r\n";
  const std::string large_chunk = head +
                                  "Expect: 100-continue\r\n\r\n2000\r\n" +
                                  std::string(kMaxBody, 'b') + "\r\n0\r\n\r\n";
  const std::vector<std::string> samples = {
      small_chunks, large_chunk,
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"};
  const std::uint64_t inputs = ReadEnvironment("DANDELION_FUZZ_INPUTS", 20000);
  tests::Mutator mutator = MakeMutator();
  for (std::uint64_t i = 0; i < inputs; ++i) {
    const std::string text = mutator.MutateMessage(
        samples[mutator.RandomBelow(samples.size())], kLongPart);
    http::request_parser<http::string_body> parser;
    parser.header_limit(kMaxHead);
    parser.body_limit(kMaxBody);
    boost::beast::flat_buffer buffer;
    std::size_t sent = 0;
    std::size_t calls = 0;
    bool is_ended = false;
    while (!is_ended && sent < text.size()) {
      const std::size_t size =
          std::min(1 + mutator.RandomBelow(16384), text.size() - sent);
      buffer.commit(asio::buffer_copy(buffer.prepare(size),
                                      asio::buffer(text.data() + sent, size)));
      sent += size;
      while (buffer.size() > 0 && !is_ended) {
        boost::system::error_code error;
        const std::size_t used = parser.put(buffer.data(), error);
        buffer.consume(used);
        ++calls;
        is_ended = parser.is_done() ||
                   (error && error != http::error::need_more) ||
                   (parser.is_header_done() && buffer.size() > kMaxHead &&
                    error == http::error::need_more);
        if (error == http::error::need_more || (used == 0 && !error))
          break;
      }
    }
    if (parser.is_header_done())
      gateway::FindAmbiguity(parser.get());
    if (parser.get().body().size() > kMaxBody || calls > 2 * text.size() + 2)
      FAIL("input " << i << ": " << text.substr(0, 500));
  }
  SUCCEED("every input was handled");
}
