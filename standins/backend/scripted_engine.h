#ifndef STANDINS_BACKEND_SCRIPTED_ENGINE_H_
#define STANDINS_BACKEND_SCRIPTED_ENGINE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace standins::backend {

// Test double for a backend server of the users' platform. The test supplies
// the bytes of each answer, so that it can truncate or repeat an answer, send
// false data or not answer at all.
class ScriptedEngine {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  // Most bytes that a repeating step sends.
  static constexpr std::uint64_t kMaxRepeatedBytes = 256 << 20;

  // Part of an answer, sent after a pause.
  struct Step {
    std::string bytes;
    std::chrono::milliseconds pause_before{0};
    // Sends `bytes` again and again until the peer closes the connection or
    // kMaxRepeatedBytes are sent.
    bool repeats = false;
    // If set, the pause also lasts until this returns true.
    std::function<bool()> is_released = nullptr;
  };
  struct Answer {
    std::vector<Step> steps;
    // What to do with the connection after the last step. kCrash ends the
    // engine: all its connections are closed and new ones are refused.
    // kEndOutput sends FIN and keeps the other direction open;
    // kEndOutputAndReset resets the connection a moment after that.
    enum class Then {
      kKeep,
      kClose,
      kReset,
      kCrash,
      kEndOutput,
      kEndOutputAndReset
    } then = Then::kKeep;
  };
  using Script = std::function<Answer(const Request&)>;

  // The start of the engine that its reports name, 0 for none. Requests for
  // reports are neither recorded nor passed to the script.
  std::atomic<std::int64_t> born{1};

  // Whether requests are answered once their head has been read. The body is
  // read, and the request recorded, after the answer if its connection is kept.
  std::atomic<bool> answers_before_body{false};

  // Listens on 127.0.0.1. Throws boost::system::system_error if the port cannot
  // be bound.
  ScriptedEngine(int port, Script script);
  ~ScriptedEngine();

  // Replaces the script for later requests.
  void SetScript(Script script);

  // Whether an answer has crashed the engine.
  bool has_crashed() const { return has_crashed_; }
  // Returns all requests received, oldest first.
  std::vector<Request> requests() const;
  // Number of connections that the peer closed during a pause in an answer or
  // during a repeating step.
  int aborted_connections() const { return aborted_connections_; }
  // Bytes that repeating steps have sent on all connections.
  std::uint64_t repeated_bytes() const { return repeated_bytes_; }

  // Returns an answer with a Content-Length, the request's attempt id and a
  // Server-Signature header as proof of execution.
  static Answer CompleteAnswer(const Request& request,
                               int status,
                               const std::string& body);
  // Returns an answer by which the engine turns the request away without
  // running it, and asks for a pause of `pause`.
  static Answer Unavailable(const Request& request,
                            std::chrono::milliseconds pause);
  // Returns the answer of an engine that leaves.
  static Answer Leaving(Answer answer);
  // Returns the answer of an engine that accepts `requests_per_s` from all
  // instances together.
  static Answer Limited(Answer answer, double requests_per_s);
  // Returns the answer of an engine that falls over if it has to turn away more
  // than `rejections_per_s` requests in a second.
  static Answer Brittle(Answer answer, double rejections_per_s);
  // Returns the answer of an engine that is cold for `remaining` more.
  static Answer Cold(Answer answer, std::chrono::milliseconds remaining);
  // Returns the header of an event stream with chunked transfer encoding.
  static std::string StreamHead(const Request& request);
  // Returns event `id` as one chunk.
  static std::string EventChunk(int id);
  static const char* StreamEnd() { return "0\r\n\r\n"; }

 private:
  void Accept();
  void Serve(boost::asio::ip::tcp::socket& socket);
  Script CurrentScript() const;
  Answer Report() const;
  void Crash();
  // Sends an answer. Returns false if the connection was closed.
  bool Play(boost::asio::ip::tcp::socket& socket, const Answer& answer);
  // Sends `bytes` repeatedly. Returns false if the connection was closed.
  bool Repeat(boost::asio::ip::tcp::socket& socket, const std::string& bytes);

  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  mutable std::mutex mutex_;
  Script script_;
  std::vector<Request> requests_;
  std::atomic<int> aborted_connections_{0};
  std::atomic<std::uint64_t> repeated_bytes_{0};
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> has_crashed_{false};
  std::list<boost::asio::ip::tcp::socket> sockets_;
  std::list<std::thread> threads_;
};

}  // namespace standins::backend

#endif  // STANDINS_BACKEND_SCRIPTED_ENGINE_H_
