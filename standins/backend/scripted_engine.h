#ifndef STANDINS_BACKEND_SCRIPTED_ENGINE_H_
#define STANDINS_BACKEND_SCRIPTED_ENGINE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace standins::backend {

// A backend server of the users' platform whose answers a test writes byte by
// byte, so that it can break off, answer twice, lie or stay silent.
class ScriptedEngine {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  // One step of an answer.
  struct Step {
    std::string bytes;
    std::chrono::milliseconds pause_before{0};
  };
  struct Answer {
    std::vector<Step> steps;
    enum class Then { kKeep, kClose, kReset } then = Then::kKeep;
  };
  using Script = std::function<Answer(const Request&)>;

  // Listens on 127.0.0.1.
  ScriptedEngine(int port, Script script);
  ~ScriptedEngine();

  // Command. Replaces the script for later requests.
  void SetScript(Script script);

  // Queries.
  std::vector<Request> requests() const;
  // Connections that the peer closed while an answer was under way.
  int abandoned() const { return abandoned_; }

  // Returns an answer with a length, the request's id and a proof of the run.
  static Answer Whole(const Request& request,
                      int status,
                      const std::string& body);
  // Returns the head of an event stream in chunks.
  static std::string StreamHead(const Request& request);
  // Returns one event as a chunk.
  static std::string EventChunk(int id);
  static const char* StreamEnd() { return "0\r\n\r\n"; }

 private:
  void Accept();
  void Serve(boost::asio::ip::tcp::socket& socket);
  // Returns false once the connection is over.
  bool Play(boost::asio::ip::tcp::socket& socket, const Answer& answer);

  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  mutable std::mutex mutex_;
  Script script_;
  std::vector<Request> requests_;
  std::atomic<int> abandoned_{0};
  std::atomic<bool> is_stopping_{false};
  std::list<boost::asio::ip::tcp::socket> sockets_;
  std::list<std::thread> threads_;
};

}  // namespace standins::backend

#endif  // STANDINS_BACKEND_SCRIPTED_ENGINE_H_
