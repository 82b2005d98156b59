#ifndef SRC_DANDELIONMILL_DAEMON_DAEMON_H_
#define SRC_DANDELIONMILL_DAEMON_DAEMON_H_

#include <functional>
#include <memory>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/settings/schema.h"

namespace dandelionmill::daemon {

// A process that runs until it is asked to shut down.
class Daemon {
 public:
  virtual ~Daemon() = default;

  // Commands.
  // Fails with kBadSetting when an address cannot be bound.
  virtual base::Status Start() = 0;
  // Stops accepting new work. May block for as long as the settings specify.
  virtual void BeginDrain() = 0;
  // Stops all threads.
  virtual void Stop() = 0;

  // Queries.
  // Whether an operator requested shutdown on the admin port.
  virtual bool IsShutdownRequested() const = 0;
  // Whether all accepted work is done, so that the process may exit.
  virtual bool IsDrained() const = 0;
};

// Describes a daemon program.
struct Program {
  // For example "dandelion-router". Log lines contain the part after the dash.
  std::string name;
  // One phrase for --help.
  std::string purpose;
  // Must hold "drain_timeout_ms".
  settings::Schema schema;
  // Creates the daemon. The settings outlive it.
  std::function<std::unique_ptr<Daemon>(const settings::Values&)> make;
};

// Runs a daemon program: parses the command line and settings, initializes
// logging, serves until SIGTERM, SIGINT or an operator requests shutdown, and
// drains for at most "drain_timeout_ms". Returns the exit status: 0 when
// drained, 1 when it could not start or did not drain in time, 2 for an invalid
// command line or setting.
int Main(int argc, char** argv, const Program& program);

}  // namespace dandelionmill::daemon

#endif  // SRC_DANDELIONMILL_DAEMON_DAEMON_H_
