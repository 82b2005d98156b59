#ifndef SRC_DANDELIONMILL_CTL_COMMAND_H_
#define SRC_DANDELIONMILL_CTL_COMMAND_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/result.h"
#include "dandelionmill/ctl/environment.h"

namespace dandelionmill::ctl {

// Exit status of dandelionctl.
enum class Exit : int {
  kDone = 0,
  // The command failed and changed nothing.
  kFailed = 1,
  // The command line or the settings are wrong.
  kUsage = 2,
  // The files are invalid, or a grant would fall below the tokens of its budget
  // that are settled, leased and written off.
  kRefused = 3,
  // Another operator committed first.
  kConflict = 4,
  // The compared configurations differ, or not every process has the accepted
  // version in force.
  kDifferent = 5,
  // The store did not answer; the change may have taken effect.
  kOutcomeUnknown = 6,
};

// An option of a command.
struct Option {
  const char* name;
  // Placeholder of its argument in the help; null for a flag.
  const char* argument;
  const char* help;
};

// The parsed arguments and options of a command.
struct Invocation {
  std::vector<std::string> arguments;
  // Arguments by option name without dashes; empty for a flag.
  std::map<std::string, std::string> options;
  bool json = false;

  bool Has(const std::string& option) const {
    return options.count(option) != 0;
  }
  // Returns the option's argument, or `fallback` when it is absent.
  std::string Value(const std::string& option,
                    const std::string& fallback = "") const {
    const auto found = options.find(option);
    return found == options.end() ? fallback : found->second;
  }
};

// A subcommand of dandelionctl.
struct Command {
  const char* name;
  // Placeholders of its arguments in the help, such as "INVENTORY RULES".
  const char* arguments;
  const char* purpose;
  std::size_t min_arguments;
  std::size_t max_arguments;
  std::vector<Option> options;
  Exit (*run)(const Invocation&, Environment&);
};

// Returns all commands in the order in which the help lists them.
const std::vector<Command>& AllCommands();

// Parses the arguments that follow the command's name. Returns an exit status
// instead when --help was printed to `out` or an error to `err`.
std::variant<Invocation, Exit> ParseInvocation(
    const Command& command,
    const std::vector<std::string>& words,
    std::ostream& out,
    std::ostream& err);

// Runs the command named by the first of `words` with the rest as arguments.
Exit RunCommandLine(const std::vector<std::string>& words,
                    Environment& environment);

// Prints an error to `err`, and with --json also to `out` as JSON. Returns the
// exit status for its code.
Exit ReportError(const base::Error& error,
                 const Invocation& invocation,
                 Environment& environment);

}  // namespace dandelionmill::ctl

#endif  // SRC_DANDELIONMILL_CTL_COMMAND_H_
