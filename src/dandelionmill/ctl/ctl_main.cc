#include <popt.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>

#include "dandelionmill/ctl/command.h"
#include "dandelionmill/ctl/ctl_settings.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/storage/http_platform.h"

namespace dandelionmill::ctl {
namespace {

// Options that precede the command, and the command with its arguments.
struct GlobalOptions {
  int help = 0;
  int version = 0;
  int check = 0;
  std::string settings_file;
  std::string log_level = "warning";
  std::vector<std::string> words;
};

struct FreeContext {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

int ReportUsageError(const base::Error& error) {
  std::cerr << "dandelionctl: " << base::ToString(error) << "\n";
  return static_cast<int>(Exit::kUsage);
}

// Frees a string allocated by popt and returns its copy, or `fallback` if null.
std::string TakeString(char* text, const std::string& fallback) {
  const std::unique_ptr<char, decltype(&std::free)> owned(text, &std::free);
  return owned ? std::string(owned.get()) : fallback;
}

base::Result<GlobalOptions> ParseGlobalOptions(int argc, char** argv) {
  GlobalOptions options;
  char* file = nullptr;
  char* level = nullptr;
  const poptOption table[] = {
      {"help", 'h', POPT_ARG_NONE, &options.help, 0, nullptr, nullptr},
      {"version", 'V', POPT_ARG_NONE, &options.version, 0, nullptr, nullptr},
      {"settings", 's', POPT_ARG_STRING, &file, 0, nullptr, nullptr},
      {"check-settings", 'c', POPT_ARG_NONE, &options.check, 0, nullptr,
       nullptr},
      {"log-level", 'l', POPT_ARG_STRING, &level, 0, nullptr, nullptr},
      POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, FreeContext> context(poptGetContext(
      "dandelionctl", argc, const_cast<const char**>(argv),
      static_cast<const poptOption*>(table), POPT_CONTEXT_POSIXMEHARDER));
  const int status = poptGetNextOpt(context.get());
  options.settings_file = TakeString(file, "");
  options.log_level = TakeString(level, options.log_level);
  if (status < -1)
    return base::Error{base::Code::kBadCommandLine,
                       std::string(poptBadOption(context.get(), 0)) + ": " +
                           poptStrerror(status)};
  while (const char* word = poptGetArg(context.get()))
    options.words.emplace_back(word);
  return options;
}

int PrintHelp() {
  std::cout << "dandelionctl [OPTIONS] COMMAND ...: changes and shows the "
               "fleet's configuration and state\n\nOptions:\n"
               "  -h, --help            Show this help\n"
               "  -V, --version         Show the version\n"
               "  -s, --settings FILE   Read settings from FILE (JSON)\n"
               "  -c, --check-settings  Check the settings and exit\n"
               "  -l, --log-level LEVEL Log events of LEVEL and above\n"
               "\nCommands (each has --help and --json):\n";
  for (const Command& command : AllCommands()) {
    std::string usage =
        std::string("  ") + command.name + " " + command.arguments;
    usage.resize(std::max<std::size_t>(usage.size() + 2, 34), ' ');
    std::cout << usage << command.purpose << "\n";
  }
  std::cout
      << "\nExit status: 0 success, 1 failed and nothing changed, 2 "
         "invalid command line or settings,\n3 invalid files or a grant below "
         "the tokens already settled or leased,\n4 another operator "
         "committed first, 5 differences found,\n6 the store did not "
         "answer: check whether the change took effect\n"
         "\nSettings:\n"
      << settings::ToMarkdown(CtlSchema());
  return 0;
}

base::Result<settings::Values> ReadSettings(const std::string& path) {
  if (path.empty())
    return base::Error{base::Code::kBadCommandLine,
                       "--settings FILE is missing; see --help"};
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    return base::Error{base::Code::kBadCommandLine,
                       "settings file \"" + path + "\" cannot be read"};
  return settings::Check(CtlSchema(), text.str());
}

// Returns whether a command runs without a settings file: it prints help, reads
// only local files, or takes the addresses that it needs as arguments.
bool NeedsNoSettings(const std::vector<std::string>& words) {
  static const std::set<std::string> commands = {
      "check", "codes", "check-gateway", "gateway", "prepaid"};
  return words.empty() || commands.count(words[0]) > 0 ||
         std::find(words.begin(), words.end(), "--help") != words.end();
}

int RunCommand(const GlobalOptions& options, const settings::Values& values) {
  const storage::PlatformAddress address{
      values.AddressOf("platform_address"), values.Text("platform_key"),
      values.Duration("platform_timeout_ms")};
  storage::HttpTableStore table(address);
  storage::HttpObjectStore objects(address);
  Environment environment{{table, objects},
                          values.Addresses("admin_addresses"),
                          values.Text("admin_key"),
                          values.Duration("platform_timeout_ms"),
                          values.Text("author"),
                          std::chrono::system_clock::now(),
                          std::cout,
                          std::cerr};
  return static_cast<int>(RunCommandLine(options.words, environment));
}

int Run(int argc, char** argv) {
  const base::Result<GlobalOptions> parsed = ParseGlobalOptions(argc, argv);
  if (!base::IsOk(parsed))
    return ReportUsageError(base::ErrorOf(parsed));
  const GlobalOptions& options = base::ValueOf(parsed);
  if (options.help != 0)
    return PrintHelp();
  if (options.version != 0) {
    std::cout << "dandelionctl " << DANDELIONMILL_VERSION << "\n";
    return 0;
  }
  const base::Result<log::Level> level = log::ParseLevel(options.log_level);
  if (!base::IsOk(level))
    return ReportUsageError(base::ErrorOf(level));
  log::Initialize("dandelionctl", base::ValueOf(level));
  base::Result<settings::Values> values = ReadSettings(options.settings_file);
  if (!base::IsOk(values) && options.settings_file.empty() &&
      options.check == 0 && NeedsNoSettings(options.words))
    values = settings::Check(
        CtlSchema(),
        R"({"platform_address":"127.0.0.1:1","platform_key":"unused"})");
  if (!base::IsOk(values))
    return ReportUsageError(base::ErrorOf(values));
  if (options.check != 0) {
    std::cout << "dandelionctl: the settings are valid\n";
    return 0;
  }
  return RunCommand(options, base::ValueOf(values));
}

}  // namespace
}  // namespace dandelionmill::ctl

int main(int argc, char** argv) {
  return dandelionmill::ctl::Run(argc, argv);
}
