#include <popt.h>

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "tests/soak/soak.h"

// Runs the fault soak for a series of seeds and prints one JSON line for each.
// Exits with 0 on success, 1 if an invariant was violated and 2 on errors.
namespace {

bool RunSeed(soak::SoakOptions options,
             const std::string& folder,
             bool keeps_logs) {
  options.fleet.folder = folder + "/seed-" + std::to_string(options.seed);
  std::filesystem::remove_all(options.fleet.folder);
  std::filesystem::create_directories(options.fleet.folder);
  const soak::SoakResult result = soak::RunSoak(options);
  nlohmann::json line = {{"seed", options.seed},
                         {"broken", nlohmann::json::array()}};
  for (const soak::Violation& violation : result.violations)
    line["broken"].push_back(
        violation.invariant + ": " + violation.detail +
        soak::AttributeToBuild(violation, options.known_old_invariants));
  line["seen"] = result.summary;
  std::cout << line.dump() << std::endl;
  if (result.violations.empty() && !keeps_logs)
    std::filesystem::remove_all(options.fleet.folder);
  return result.violations.empty();
}

}  // namespace

int main(int argc, const char** argv) {
  soak::SoakOptions options;
  options.fleet.gateway_program = BINARY_DIR "/dandelion-gateway";
  options.fleet.engine_program = BINARY_DIR "/tests/soak-engine";
  int first_seed = 1;
  int seeds = 1;
  int seconds = 12;
  char* folder = nullptr;
  char* old_gateway = nullptr;
  char* known_old = nullptr;
  int keeps_logs = 0;
  const poptOption table[] = {
      {"seed", 0, POPT_ARG_INT, &first_seed, 0, "First seed", "N"},
      {"seeds", 0, POPT_ARG_INT, &seeds, 0, "Number of seeds to run", "N"},
      {"seconds", 0, POPT_ARG_INT, &seconds, 0,
       "Period in which faults start, in seconds", "S"},
      {"gateways", 0, POPT_ARG_INT, &options.fleet.gateways, 0,
       "Number of gateways, 1 to 16", "N"},
      {"backends", 0, POPT_ARG_INT, &options.fleet.backends, 0,
       "Initial number of backend servers, 1 to 60", "N"},
      {"callers", 0, POPT_ARG_INT, &options.callers, 0,
       "Number of concurrent callers", "N"},
      {"base-port", 0, POPT_ARG_INT, &options.fleet.base_port, 0,
       "First port of a free range of 400", "N"},
      {"old-gateway", 0, POPT_ARG_STRING, &old_gateway, 0,
       "Begin with all gateways running this program and replace them", "PATH"},
      {"known-old", 0, POPT_ARG_STRING, &known_old, 0,
       "Invariants that the old program is known to violate", "NAME,..."},
      {"folder", 0, POPT_ARG_STRING, &folder, 0,
       "Directory for the logs of failed seeds", "PATH"},
      {"keep-logs", 0, POPT_ARG_NONE, &keeps_logs, 0,
       "Keep the logs of successful seeds too", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("dandelion-soak", argc, argv, table, 0);
  const int status = poptGetNextOpt(context);
  const bool is_invalid =
      status < -1 || poptPeekArg(context) != nullptr ||
      options.fleet.gateways < 1 || options.fleet.gateways > 16 ||
      options.fleet.backends < 1 || options.fleet.backends > 60 || seeds < 1 ||
      options.callers < 1;
  poptFreeContext(context);
  if (is_invalid) {
    std::cerr << "dandelion-soak: invalid command line\n";
    return 2;
  }
  options.length = std::chrono::seconds(seconds);
  const std::string folder_path = folder ? folder : BINARY_DIR "/soak";
  options.fleet.old_gateway_program = old_gateway ? old_gateway : "";
  std::istringstream names(known_old ? known_old : "");
  for (std::string name; std::getline(names, name, ',');)
    options.known_old_invariants.insert(name);
  std::free(folder);
  std::free(old_gateway);
  std::free(known_old);
  bool has_passed = true;
  try {
    for (int i = 0; i < seeds; ++i) {
      options.seed = static_cast<unsigned>(first_seed + i);
      has_passed &= RunSeed(options, folder_path, keeps_logs != 0);
    }
  } catch (const std::exception& exception) {
    // Caught so that the stack is unwound and child processes are killed.
    std::cerr << "dandelion-soak: " << exception.what() << "\n";
    return 2;
  }
  return has_passed ? 0 : 1;
}
