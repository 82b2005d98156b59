#include "standins/backend/scripted_engine.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <utility>

namespace standins::backend {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds kPeerCheckInterval{5};

// Time from FIN until the connection is reset.
constexpr std::chrono::milliseconds kResetDelay{100};

// Least bytes of one write of a repeating step.
constexpr std::size_t kRepeatWriteBytes = 65536;

std::string CommonHeaders(const ScriptedEngine::Request& request) {
  return "Attempt-Id: " + std::string(request["Attempt-Id"]) +
         "\r\nServer-Signature: proof\r\nServer-Load: 1,0,8\r\n";
}

// Inserts header fields, each terminated by CRLF, after the status line.
ScriptedEngine::Answer AddFields(ScriptedEngine::Answer answer,
                                 const std::string& fields) {
  std::string& head = answer.steps.front().bytes;
  head.insert(head.find("\r\n") + 2, fields);
  return answer;
}

}  // namespace

ScriptedEngine::ScriptedEngine(int port, Script script)
    : acceptor_(loop_,
                tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                              static_cast<unsigned short>(port))),
      script_(std::move(script)) {
  threads_.emplace_back([this] { Accept(); });
}

ScriptedEngine::~ScriptedEngine() {
  is_stopping_ = true;
  error_code ignored;
  // Unblocks the thread that waits in accept().
  tcp::socket waker(loop_);
  waker.connect(acceptor_.local_endpoint(), ignored);
  threads_.front().join();
  threads_.pop_front();
  for (tcp::socket& socket : sockets_)
    socket.shutdown(tcp::socket::shutdown_both, ignored);
  for (std::thread& thread : threads_)
    thread.join();
}

void ScriptedEngine::SetScript(Script script) {
  const std::lock_guard<std::mutex> lock(mutex_);
  script_ = std::move(script);
}

std::vector<ScriptedEngine::Request> ScriptedEngine::requests() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return requests_;
}

void ScriptedEngine::Crash() {
  has_crashed_ = true;
  // On a listening socket, this refuses new connections and unblocks accept().
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  const std::lock_guard<std::mutex> lock(mutex_);
  error_code ignored;
  for (tcp::socket& socket : sockets_)
    socket.shutdown(tcp::socket::shutdown_both, ignored);
}

void ScriptedEngine::Accept() {
  while (!is_stopping_ && !has_crashed_) {
    tcp::socket socket(loop_);
    error_code error;
    acceptor_.accept(socket, error);
    if (error || is_stopping_ || has_crashed_)
      continue;
    const std::lock_guard<std::mutex> lock(mutex_);
    sockets_.push_back(std::move(socket));
    threads_.emplace_back([this, &socket = sockets_.back()] { Serve(socket); });
  }
}

ScriptedEngine::Answer ScriptedEngine::Report() const {
  if (born == 0)
    return {{{"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"}}};
  const std::string body = "{\"born\":" + std::to_string(born) + "}";
  return {{{"HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body}}};
}

void ScriptedEngine::Serve(tcp::socket& socket) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    error_code error;
    http::read_header(socket, buffer, parser, error);
    if (error)
      return;
    const bool is_report = parser.get().target() == "/api/report";
    const bool answers_now = answers_before_body && !is_report;
    if (answers_now && !Play(socket, CurrentScript()(parser.get())))
      return;
    if (!parser.is_done())
      http::read(socket, buffer, parser, error);
    if (error)
      return;
    const Request request = parser.release();
    if (is_report) {
      if (!Play(socket, Report()))
        return;
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      requests_.push_back(request);
    }
    if (!answers_now && !Play(socket, CurrentScript()(request)))
      return;
  }
}

ScriptedEngine::Script ScriptedEngine::CurrentScript() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return script_;
}

bool ScriptedEngine::Play(tcp::socket& socket, const Answer& answer) {
  error_code error;
  for (const Step& step : answer.steps) {
    const auto is_paused = [&step](std::chrono::milliseconds waited) {
      return waited < step.pause_before ||
             (step.is_released && !step.is_released());
    };
    for (auto waited = std::chrono::milliseconds(0);
         is_paused(waited) && !is_stopping_; waited += kPeerCheckInterval) {
      std::this_thread::sleep_for(kPeerCheckInterval);
      char byte = 0;
      const ssize_t count =
          ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (count == 0 || (count < 0 && errno != EAGAIN)) {
        ++aborted_connections_;
        return false;
      }
    }
    if (step.repeats) {
      if (!Repeat(socket, step.bytes))
        return false;
      continue;
    }
    asio::write(socket, asio::buffer(step.bytes), error);
    if (error)
      return false;
  }
  if (answer.then == Answer::Then::kKeep)
    return true;
  if (answer.then == Answer::Then::kCrash) {
    Crash();
    return false;
  }
  if (answer.then == Answer::Then::kEndOutput ||
      answer.then == Answer::Then::kEndOutputAndReset) {
    socket.shutdown(tcp::socket::shutdown_send, error);
    if (answer.then == Answer::Then::kEndOutput)
      return true;
    std::this_thread::sleep_for(kResetDelay);
  }
  if (answer.then == Answer::Then::kReset ||
      answer.then == Answer::Then::kEndOutputAndReset)
    socket.set_option(asio::socket_base::linger(true, 0), error);
  socket.close(error);
  return false;
}

bool ScriptedEngine::Repeat(tcp::socket& socket, const std::string& bytes) {
  std::string block;
  while (block.size() < kRepeatWriteBytes)
    block += bytes;
  for (std::uint64_t sent = 0; sent < kMaxRepeatedBytes;) {
    error_code error;
    const std::size_t count = asio::write(socket, asio::buffer(block), error);
    sent += count;
    repeated_bytes_ += count;
    if (error) {
      ++aborted_connections_;
      return false;
    }
  }
  return true;
}

ScriptedEngine::Answer ScriptedEngine::CompleteAnswer(const Request& request,
                                                      int status,
                                                      const std::string& body) {
  return {{{"HTTP/1.1 " + std::to_string(status) + " X\r\n" +
            CommonHeaders(request) + "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body}}};
}

ScriptedEngine::Answer ScriptedEngine::Unavailable(
    const Request& request,
    std::chrono::milliseconds pause) {
  return AddFields(
      CompleteAnswer(request, 503, ""),
      "Not-Executed: 1\r\nRetry-After: " +
          std::to_string(std::chrono::duration<double>(pause).count()) +
          "\r\n");
}

ScriptedEngine::Answer ScriptedEngine::Leaving(Answer answer) {
  return AddFields(std::move(answer), "Server-Leaving: 1\r\n");
}

ScriptedEngine::Answer ScriptedEngine::Limited(Answer answer,
                                               double requests_per_s) {
  return AddFields(std::move(answer),
                   "Server-Limit: " + std::to_string(requests_per_s) + "\r\n");
}

ScriptedEngine::Answer ScriptedEngine::Brittle(Answer answer,
                                               double rejections_per_s) {
  return AddFields(
      std::move(answer),
      "Server-Brittle: " + std::to_string(rejections_per_s) + "\r\n");
}

ScriptedEngine::Answer ScriptedEngine::Cold(
    Answer answer,
    std::chrono::milliseconds remaining) {
  return AddFields(
      std::move(answer),
      "Cold-Milliseconds: " + std::to_string(remaining.count()) + "\r\n");
}

std::string ScriptedEngine::StreamHead(const Request& request) {
  return "HTTP/1.1 200 OK\r\n" + CommonHeaders(request) +
         "Content-Type: text/event-stream\r\nTransfer-Encoding: "
         "chunked\r\n\r\n";
}

std::string ScriptedEngine::EventChunk(int id) {
  const std::string event =
      "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
  return size + event + "\r\n";
}

}  // namespace standins::backend
