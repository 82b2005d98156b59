#include "dandelionmill/ctl/command.h"

#include <popt.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

namespace dandelionmill::ctl {
namespace {

// Values that poptGetNextOpt returns.
constexpr int kHelpValue = 1;
constexpr int kJsonValue = 2;
constexpr int kFirstOptionValue = 3;

struct FreeContext {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

std::vector<Option> WithCommonOptions(const Command& command) {
  std::vector<Option> options = command.options;
  options.push_back({"json", nullptr, "Print JSON"});
  options.push_back({"help", nullptr, "Show this help"});
  return options;
}

void PrintHelp(const Command& command, std::ostream& out) {
  out << "dandelionctl " << command.name;
  if (*command.arguments != 0)
    out << " " << command.arguments;
  out << "\n" << command.purpose << "\n\nOptions:\n";
  for (const Option& option : WithCommonOptions(command)) {
    std::string usage = std::string("  --") + option.name;
    if (option.argument != nullptr)
      usage += std::string(" ") + option.argument;
    usage.resize(std::max<std::size_t>(usage.size() + 2, 24), ' ');
    out << usage << option.help << "\n";
  }
}

std::vector<poptOption> ToPopt(const Command& command) {
  std::vector<poptOption> table;
  int value = kFirstOptionValue;
  for (const Option& option : command.options)
    table.push_back(
        {option.name, 0,
         option.argument == nullptr ? POPT_ARG_NONE : POPT_ARG_STRING, nullptr,
         value++, option.help, option.argument});
  table.push_back(
      {"json", 0, POPT_ARG_NONE, nullptr, kJsonValue, nullptr, nullptr});
  table.push_back(
      {"help", 'h', POPT_ARG_NONE, nullptr, kHelpValue, nullptr, nullptr});
  table.push_back(POPT_TABLEEND);
  return table;
}

Exit UsageError(const std::string& detail, std::ostream& err) {
  err << "dandelionctl: "
      << base::ToString({base::Code::kBadCommandLine, detail}) << "\n";
  return Exit::kUsage;
}

Exit ExitFor(base::Code code) {
  switch (code) {
    case base::Code::kBadSetting:
    case base::Code::kBadCommandLine:
      return Exit::kUsage;
    case base::Code::kBadInventory:
    case base::Code::kBudgetFloor:
      return Exit::kRefused;
    case base::Code::kConfigConflict:
      return Exit::kConflict;
    case base::Code::kStoreOutcomeUnknown:
      return Exit::kOutcomeUnknown;
    default:
      return Exit::kFailed;
  }
}

}  // namespace

std::variant<Invocation, Exit> ParseInvocation(
    const Command& command,
    const std::vector<std::string>& words,
    std::ostream& out,
    std::ostream& err) {
  std::vector<const char*> argv = {command.name};
  for (const std::string& word : words)
    argv.push_back(word.c_str());
  const std::vector<poptOption> table = ToPopt(command);
  const std::unique_ptr<poptContext_s, FreeContext> context(
      poptGetContext(command.name, static_cast<int>(argv.size()), argv.data(),
                     table.data(), 0));
  Invocation invocation;
  int value = 0;
  while ((value = poptGetNextOpt(context.get())) > 0) {
    const std::unique_ptr<char, decltype(&std::free)> argument(
        poptGetOptArg(context.get()), &std::free);
    if (value == kHelpValue) {
      PrintHelp(command, out);
      return Exit::kDone;
    }
    if (value == kJsonValue) {
      invocation.json = true;
      continue;
    }
    const Option& option =
        command.options[static_cast<std::size_t>(value - kFirstOptionValue)];
    invocation.options[option.name] = argument ? argument.get() : "";
  }
  if (value < -1)
    return UsageError(std::string(poptBadOption(context.get(), 0)) + ": " +
                          poptStrerror(value) + "; see dandelionctl " +
                          command.name + " --help",
                      err);
  while (const char* argument = poptGetArg(context.get()))
    invocation.arguments.emplace_back(argument);
  if (invocation.arguments.size() < command.min_arguments ||
      invocation.arguments.size() > command.max_arguments)
    return UsageError(std::string(command.name) +
                          " expects arguments: " + command.arguments +
                          "; see dandelionctl " + command.name + " --help",
                      err);
  return invocation;
}

Exit RunCommandLine(const std::vector<std::string>& words,
                    Environment& environment) {
  const std::string name = words.empty() ? "" : words[0];
  for (const Command& command : AllCommands()) {
    if (name != command.name)
      continue;
    const auto parsed =
        ParseInvocation(command, {words.begin() + 1, words.end()},
                        environment.out, environment.err);
    if (const Exit* exit = std::get_if<Exit>(&parsed))
      return *exit;
    return command.run(std::get<Invocation>(parsed), environment);
  }
  return UsageError("there is no command \"" + name + "\"; see --help",
                    environment.err);
}

Exit ReportError(const base::Error& error,
                 const Invocation& invocation,
                 Environment& environment) {
  if (invocation.json)
    environment.out << nlohmann::json{{"code", static_cast<int>(error.code)},
                                      {"name", base::InfoOf(error.code).name},
                                      {"detail", error.detail}}
                           .dump()
                    << "\n";
  environment.err << "dandelionctl: " << base::ToString(error) << "\n";
  return ExitFor(error.code);
}

}  // namespace dandelionmill::ctl
