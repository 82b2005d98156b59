#include "dandelionmill/settings/command_line.h"

#include <popt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace dandelionmill::settings {
namespace {

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using PoptContext = std::unique_ptr<poptContext_s, ContextDeleter>;

struct Options {
  int help = 0;
  int version = 0;
  int check = 0;
  char* file = nullptr;
  char* level = nullptr;
};

int PrintError(const std::string& program, const base::Error& error) {
  std::cerr << program << ": " << base::ToString(error) << "\n";
  return kExitUsage;
}

base::Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    return base::Error{base::Code::kBadCommandLine,
                       "settings file \"" + path + "\" cannot be read"};
  return text.str();
}

}  // namespace

std::variant<StartupOptions, int> ParseDaemonCommandLine(
    int argc,
    char** argv,
    const std::string& program,
    const std::string& purpose,
    const Schema& schema) {
  Options options;
  const poptOption table[] = {
      {"help", 'h', POPT_ARG_NONE, &options.help, 0, "Show this help", nullptr},
      {"version", 'V', POPT_ARG_NONE, &options.version, 0, "Show the version",
       nullptr},
      {"settings", 's', POPT_ARG_STRING, &options.file, 0,
       "Read settings from FILE (JSON)", "FILE"},
      {"check-settings", 'c', POPT_ARG_NONE, &options.check, 0,
       "Check the settings and exit", nullptr},
      {"log-level", 'l', POPT_ARG_STRING, &options.level, 0,
       "Log events of LEVEL and above: debug, info, warning, error", "LEVEL"},
      POPT_TABLEEND};
  const PoptContext context(
      poptGetContext(program.c_str(), argc, const_cast<const char**>(argv),
                     static_cast<const poptOption*>(table), 0));
  const int status = poptGetNextOpt(context.get());
  const std::unique_ptr<char, decltype(&std::free)> file(options.file,
                                                         &std::free);
  const std::unique_ptr<char, decltype(&std::free)> level(options.level,
                                                          &std::free);
  if (status < -1)
    return PrintError(program, {base::Code::kBadCommandLine,
                                std::string(poptBadOption(context.get(), 0)) +
                                    ": " + poptStrerror(status)});
  if (const char* extra = poptGetArg(context.get()))
    return PrintError(program, {base::Code::kBadCommandLine,
                                "unexpected argument \"" + std::string(extra) +
                                    "\"; see --help"});
  if (options.help != 0) {
    std::cout << program << ": " << purpose << "\n\n";
    poptPrintHelp(context.get(), stdout, 0);
    std::cout << "\nSettings:\n" << ToMarkdown(schema);
    return 0;
  }
  if (options.version != 0) {
    std::cout << program << " " << DANDELIONMILL_VERSION << "\n";
    return 0;
  }
  StartupOptions startup;
  if (level) {
    base::Result<log::Level> parsed = log::ParseLevel(level.get());
    if (!base::IsOk(parsed))
      return PrintError(program, base::ErrorOf(parsed));
    startup.log_level = base::ValueOf(parsed);
  }
  if (!file)
    return PrintError(program, {base::Code::kBadCommandLine,
                                "--settings FILE is missing; see --help"});
  const base::Result<std::string> text = ReadFile(file.get());
  if (!base::IsOk(text))
    return PrintError(program, base::ErrorOf(text));
  base::Result<Values> values = Check(schema, base::ValueOf(text));
  if (!base::IsOk(values))
    return PrintError(program, base::ErrorOf(values));
  if (options.check != 0) {
    std::cout << program << ": the settings are valid\n";
    return 0;
  }
  startup.values = base::ValueOf(std::move(values));
  return startup;
}

}  // namespace dandelionmill::settings
