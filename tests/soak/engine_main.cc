#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>

#include "dandelionmill/base/digest.h"
#include "standins/backend/scripted_engine.h"

// A backend server as a process of its own, for the soak:
//   soak-engine ID PORT LOG TROUBLE_PERCENT
// Writes a line to LOG when it begins to run a request, and when it breaks an
// answer off of its own accord: WORD TIME_US REQUEST ACCOUNT.
namespace {

using standins::backend::ScriptedEngine;
using Answer = ScriptedEngine::Answer;
using Request = ScriptedEngine::Request;
using std::chrono::milliseconds;

constexpr int kEvents = 20;
constexpr milliseconds kGap{15};
constexpr milliseconds kPlainWork{30};

class Engine {
 public:
  Engine(std::string id, const char* log, int trouble_percent)
      : id_(std::move(id)),
        log_(std::fopen(log, "a")),
        trouble_percent_(trouble_percent) {
    if (log_ == nullptr)
      std::exit(1);
  }

  Answer AnswerTo(const Request& request) {
    const std::string expected(request["Expected-Instance"]);
    if (!expected.empty() && expected != id_)
      return NotRun(request, 421);
    const std::string id(request["Attempt-Id"]);
    // Trouble differs between backend servers, and between runs of a request.
    const auto chance =
        static_cast<int>(dandelionmill::base::StableHash(
                             id + id_ + std::string(request["Last-Event-Id"])) %
                         100);
    if (chance < trouble_percent_ / 2)
      return NotRun(request, 503);
    Note("run", request);
    Answer answer = request.target().starts_with("/stream/") ||
                            request.target().starts_with("/single/")
                        ? Stream(request)
                        : Plain(request);
    if (chance < trouble_percent_) {
      Note("broke", request);
      answer.steps.resize((answer.steps.size() + 1) / 2);
      if (answer.steps.size() == 1)
        answer.steps[0].bytes.clear();
      answer.then = Answer::Then::kReset;
    }
    return answer;
  }

 private:
  void Note(const char* word, const Request& request) {
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    const std::lock_guard<std::mutex> lock(mutex_);
    std::fprintf(log_, "%s %lld %s %s\n", word,
                 static_cast<long long>(now.count()),
                 std::string(request["Attempt-Id"]).c_str(),
                 std::string(request["Tenant"]).c_str());
    std::fflush(log_);
  }

  static Answer NotRun(const Request& request, int status) {
    return {{{"HTTP/1.1 " + std::to_string(status) +
              " X\r\nNot-Executed: 1\r\nAttempt-Id: " +
              std::string(request["Attempt-Id"]) +
              "\r\nContent-Length: 0\r\n\r\n"}}};
  }

  static Answer Plain(const Request& request) {
    Answer answer = ScriptedEngine::Whole(
        request, 200,
        std::string(request["Attempt-Id"]) + " " + request.body());
    answer.steps[0].pause_before = kPlainWork;
    return answer;
  }

  static Answer Stream(const Request& request) {
    Answer answer{{{ScriptedEngine::StreamHead(request), kGap}}};
    const std::string last(request["Last-Event-Id"]);
    for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
         event <= kEvents; ++event)
      answer.steps.push_back({ScriptedEngine::EventChunk(event), kGap});
    answer.steps.push_back({ScriptedEngine::StreamEnd()});
    return answer;
  }

  const std::string id_;
  std::FILE* const log_;
  const int trouble_percent_;
  std::mutex mutex_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "soak-engine ID PORT LOG TROUBLE_PERCENT\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGTERM);
  sigprocmask(SIG_BLOCK, &ends, nullptr);
  Engine engine(argv[1], argv[3], std::atoi(argv[4]));
  const ScriptedEngine server(
      std::atoi(argv[2]),
      [&engine](const Request& request) { return engine.AnswerTo(request); });
  int number = 0;
  sigwait(&ends, &number);
  std::_Exit(0);
}
