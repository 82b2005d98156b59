#ifndef SRC_DANDELIONMILL_SETTINGS_COMMAND_LINE_H_
#define SRC_DANDELIONMILL_SETTINGS_COMMAND_LINE_H_

#include <optional>
#include <string>

#include "dandelionmill/log/event.h"
#include "dandelionmill/settings/schema.h"

namespace dandelionmill::settings {

// Exit status of a program for an invalid command line or setting.
inline constexpr int kExitUsage = 2;

// Settings and command-line options of a daemon.
struct StartupOptions {
  Values values;
  log::Level log_level = log::Level::kInfo;
};

// Parses the options that all daemons have in common: --help, --version,
// --settings FILE, --check-settings and --log-level LEVEL. Returns the
// validated settings, or an exit status with which the program should exit at
// once: 0 after --help, --version or a successful --check-settings, kExitUsage
// after an error, which has been printed to standard error. `purpose` is one
// phrase for
// --help.
std::variant<StartupOptions, int> ParseDaemonCommandLine(
    int argc,
    char** argv,
    const std::string& program,
    const std::string& purpose,
    const Schema& schema);

}  // namespace dandelionmill::settings

#endif  // SRC_DANDELIONMILL_SETTINGS_COMMAND_LINE_H_
