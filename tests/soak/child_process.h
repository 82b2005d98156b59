#ifndef TESTS_SOAK_CHILD_PROCESS_H_
#define TESTS_SOAK_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace soak {

// A program that the soak started. Ended by its id when this is destroyed.
class ChildProcess {
 public:
  // `environment` adds entries of the form NAME=value; standard output and
  // standard error are appended to the file `log`. Throws std::runtime_error
  // when the program cannot be started.
  ChildProcess(const std::vector<std::string>& command,
               const std::vector<std::string>& environment,
               const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Sends a signal if the process has not ended.
  void Signal(int number);
  // Returns the exit status, or minus the number of the signal that ended it;
  // nothing while it runs.
  std::optional<int> Status();
  // Waits for the end; returns false when it does not come in time.
  bool WaitFor(std::chrono::milliseconds time);

 private:
  pid_t id_ = 0;
  std::optional<int> status_;
};

}  // namespace soak

#endif  // TESTS_SOAK_CHILD_PROCESS_H_
