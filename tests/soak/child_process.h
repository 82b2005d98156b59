#ifndef TESTS_SOAK_CHILD_PROCESS_H_
#define TESTS_SOAK_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace soak {

// A child process. The destructor kills it with SIGKILL and reaps it.
class ChildProcess {
 public:
  // `environment` adds entries of the form NAME=value; standard output and
  // standard error are appended to the file `log`. Throws std::runtime_error
  // if the program cannot be started.
  ChildProcess(const std::vector<std::string>& command,
               const std::vector<std::string>& environment,
               const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Sends a signal if the process has not exited.
  void Signal(int signal);
  // Returns the exit status, the negated signal number if a signal terminated
  // the process, or std::nullopt while it is running.
  std::optional<int> Status();
  // Waits for the process to exit. Returns false on timeout.
  bool WaitFor(std::chrono::milliseconds timeout);

 private:
  pid_t id_ = 0;
  std::optional<int> status_;
};

}  // namespace soak

#endif  // TESTS_SOAK_CHILD_PROCESS_H_
