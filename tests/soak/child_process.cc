#include "tests/soak/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace soak {
namespace {

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr int kLogMode = 0644;

std::vector<char*> ToArgv(const std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  for (const std::string& text : texts)
    pointers.push_back(const_cast<char*>(text.c_str()));
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::vector<std::string>& environment,
                           const std::string& log) {
  std::vector<std::string> entries = environment;
  for (char** entry = environ; *entry != nullptr; ++entry)
    entries.emplace_back(*entry);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  // Otherwise a port or connection that this process closes stays open in the
  // child.
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  const int error = posix_spawn(&id_, command[0].c_str(), &files, nullptr,
                                ToArgv(command).data(), ToArgv(entries).data());
  posix_spawn_file_actions_destroy(&files);
  if (error != 0)
    throw std::runtime_error(command[0] + ": cannot start process");
}

ChildProcess::~ChildProcess() {
  Signal(SIGKILL);
  Signal(SIGCONT);
  while (!Status())
    std::this_thread::sleep_for(kPollInterval);
}

void ChildProcess::Signal(int signal) {
  if (!Status())
    ::kill(id_, signal);
}

std::optional<int> ChildProcess::Status() {
  int status = 0;
  if (!status_ && ::waitpid(id_, &status, WNOHANG) == id_)
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return status_;
}

bool ChildProcess::WaitFor(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!Status()) {
    if (std::chrono::steady_clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace soak
