#include <popt.h>

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/soak/soak.h"

// Runs the fault soak for a series of seeds and prints one JSON line for each.
// Exits with 0 on success, 1 if an invariant was violated and 2 on errors.
namespace {

struct Arguments {
  int seed = 1;
  int seeds = 1;
  int seconds = 12;
  int gateways = 3;
  int backends = 4;
  int callers = 10;
  int base_port = 29000;
  std::string folder = BINARY_DIR "/soak";
  bool keeps_logs = false;
};

bool RunSeed(const Arguments& arguments, int seed) {
  soak::SoakOptions options;
  options.seed = static_cast<unsigned>(seed);
  options.callers = arguments.callers;
  options.length = std::chrono::seconds(arguments.seconds);
  options.fleet.base_port = arguments.base_port;
  options.fleet.gateways = arguments.gateways;
  options.fleet.backends = arguments.backends;
  options.fleet.gateway_program = BINARY_DIR "/dandelion-gateway";
  options.fleet.engine_program = BINARY_DIR "/tests/soak-engine";
  options.fleet.folder = arguments.folder + "/seed-" + std::to_string(seed);
  std::filesystem::remove_all(options.fleet.folder);
  std::filesystem::create_directories(options.fleet.folder);
  const soak::SoakResult result = soak::RunSoak(options);
  nlohmann::json line = {{"seed", seed}, {"broken", nlohmann::json::array()}};
  for (const soak::Violation& violation : result.violations)
    line["broken"].push_back(violation.invariant + ": " + violation.detail);
  line["seen"] = result.summary;
  std::cout << line.dump() << std::endl;
  if (result.violations.empty() && !arguments.keeps_logs)
    std::filesystem::remove_all(options.fleet.folder);
  return result.violations.empty();
}

}  // namespace

int main(int argc, const char** argv) {
  Arguments arguments;
  char* folder = nullptr;
  int keeps_logs = 0;
  const poptOption table[] = {
      {"seed", 0, POPT_ARG_INT, &arguments.seed, 0, "First seed", "N"},
      {"seeds", 0, POPT_ARG_INT, &arguments.seeds, 0, "Number of seeds to run",
       "N"},
      {"seconds", 0, POPT_ARG_INT, &arguments.seconds, 0,
       "Period in which faults start, in seconds", "S"},
      {"gateways", 0, POPT_ARG_INT, &arguments.gateways, 0,
       "Number of gateways, 1 to 16", "N"},
      {"backends", 0, POPT_ARG_INT, &arguments.backends, 0,
       "Initial number of backend servers, 1 to 60", "N"},
      {"callers", 0, POPT_ARG_INT, &arguments.callers, 0,
       "Number of concurrent callers", "N"},
      {"base-port", 0, POPT_ARG_INT, &arguments.base_port, 0,
       "First port of a free range of 400", "N"},
      {"folder", 0, POPT_ARG_STRING, &folder, 0,
       "Directory for the logs of failed seeds", "PATH"},
      {"keep-logs", 0, POPT_ARG_NONE, &keeps_logs, 0,
       "Keep the logs of successful seeds too", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("dandelion-soak", argc, argv, table, 0);
  const int status = poptGetNextOpt(context);
  const bool is_invalid = status < -1 || poptPeekArg(context) != nullptr ||
                          arguments.gateways < 1 || arguments.gateways > 16 ||
                          arguments.backends < 1 || arguments.backends > 60 ||
                          arguments.seeds < 1 || arguments.callers < 1;
  poptFreeContext(context);
  if (is_invalid) {
    std::cerr << "dandelion-soak: invalid command line\n";
    return 2;
  }
  if (folder != nullptr)
    arguments.folder = folder;
  std::free(folder);
  arguments.keeps_logs = keeps_logs != 0;
  bool has_passed = true;
  try {
    for (int i = 0; i < arguments.seeds; ++i)
      has_passed = RunSeed(arguments, arguments.seed + i) && has_passed;
  } catch (const std::exception& exception) {
    // Caught so that the stack is unwound and child processes are killed.
    std::cerr << "dandelion-soak: " << exception.what() << "\n";
    return 2;
  }
  return has_passed ? 0 : 1;
}
