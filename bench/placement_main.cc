#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "bench/placement/fleet_day.h"
#include "bench/placement/report_variants.h"

// Ranks the gateway's placement policies on a modelled deployment: prints one
// JSON line for each pattern, policy and seed asked for.
namespace {

namespace base = dandelionmill::base;
namespace gateway = dandelionmill::gateway;
using bench::placement::DayOptions;
using bench::placement::DayResult;

struct Arguments {
  std::string deployment = "khangai-dent";
  std::string policy;
  std::string pattern;
  int seed = 1;
  int seeds = 1;
  double load = 1;
  std::string order = "priority";
  std::string reports;
  double report_loss = 0;
};

nlohmann::json ToJson(const DayResult& result) {
  return {{"requests", result.requests},
          {"in_time", result.in_time},
          {"late", result.late},
          {"refused", result.refused},
          {"failed", result.failed},
          {"worth_share", result.worth_share},
          {"shared_tokens_read", result.shared_tokens_read},
          {"busiest_over_mean", result.busiest_over_mean},
          {"highest_use", result.highest_use},
          {"crossings", result.crossings}};
}

base::Status Play(const Arguments& arguments,
                  const std::string& pattern,
                  const std::string& policy,
                  const std::string& reports,
                  int seed) {
  const auto deployment =
      bench::placement::FindDeployment(arguments.deployment);
  if (!base::IsOk(deployment))
    return base::ErrorOf(deployment);
  const auto parsed = gateway::ParsePlacementPolicy(policy);
  if (!base::IsOk(parsed))
    return base::ErrorOf(parsed);
  DayOptions options;
  options.deployment = base::ValueOf(deployment);
  options.deployment.engine.by_priority = arguments.order == "priority";
  for (auto& traffic : options.deployment.traffic)
    traffic.per_second *= arguments.load;
  options.policy = base::ValueOf(parsed);
  const auto use = bench::placement::FindReportVariant(reports);
  if (!base::IsOk(use))
    return base::ErrorOf(use);
  if (auto* by_cost = std::get_if<gateway::ByCost>(&options.policy))
    by_cost->reports = base::ValueOf(use);
  if (options.deployment.shared) {
    options.deployment.shared->report_loss = arguments.report_loss;
    options.deployment.shared->reports_speed = reports != "three_figures";
  }
  options.pattern = pattern;
  options.seed = static_cast<unsigned>(seed);
  nlohmann::json line = ToJson(bench::placement::PlayDay(options));
  line["deployment"] = arguments.deployment;
  line["pattern"] = pattern;
  line["policy"] = policy;
  line["reports"] = reports;
  line["order"] = arguments.order;
  line["seed"] = seed;
  std::cout << line.dump() << std::endl;
  return base::Unit{};
}

int Run(const Arguments& arguments) {
  std::vector<std::string> patterns = bench::placement::PatternNames();
  std::vector<std::string> policies = gateway::PlacementPolicyNames();
  if (!arguments.pattern.empty())
    patterns = {arguments.pattern};
  if (!arguments.policy.empty())
    policies = {arguments.policy};
  std::vector<std::string> uses = {"product"};
  if (arguments.reports == "all")
    uses = bench::placement::ReportVariantNames();
  else if (!arguments.reports.empty())
    uses = {arguments.reports};
  for (const std::string& pattern : patterns) {
    for (const std::string& policy : policies) {
      for (const std::string& reports : uses) {
        for (int i = 0; i < arguments.seeds; ++i) {
          const base::Status played =
              Play(arguments, pattern, policy, reports, arguments.seed + i);
          if (!base::IsOk(played)) {
            std::cerr << base::ToString(base::ErrorOf(played)) << "\n";
            return 2;
          }
        }
      }
    }
  }
  return 0;
}

}  // namespace

int main(int argc, const char** argv) {
  Arguments arguments;
  char* deployment = nullptr;
  char* policy = nullptr;
  char* pattern = nullptr;
  char* order = nullptr;
  char* reports = nullptr;
  const poptOption table[] = {
      {"deployment", 0, POPT_ARG_STRING, &deployment, 0,
       "khangai-dent, pridd-coch, shared-machines-25, -87 or -plain", "NAME"},
      {"pattern", 0, POPT_ARG_STRING, &pattern, 0,
       "What makes the day heavy; all without it", "NAME"},
      {"policy", 0, POPT_ARG_STRING, &policy, 0,
       "cost, random, two_choices, least_in_flight or affinity; all without it",
       "NAME"},
      {"order", 0, POPT_ARG_STRING, &order, 0,
       "In which order engines admit requests: priority or arrival", "NAME"},
      {"reports", 0, POPT_ARG_STRING, &reports, 0,
       "Use of load reports with a work time: product, a variant, or all",
       "NAME"},
      {"report-loss", 0, POPT_ARG_DOUBLE, &arguments.report_loss, 0,
       "Share of the load reports that are lost, on shared machines", "X"},
      {"load", 0, POPT_ARG_DOUBLE, &arguments.load, 0,
       "Factor on the usual traffic", "X"},
      {"seed", 0, POPT_ARG_INT, &arguments.seed, 0, "First seed", "N"},
      {"seeds", 0, POPT_ARG_INT, &arguments.seeds, 0, "Seeds to play", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("dandelion-placement-experiment", argc, argv, table, 0);
  const int status = poptGetNextOpt(context);
  const bool is_wrong = status < -1 || poptPeekArg(context) != nullptr;
  poptFreeContext(context);
  for (const auto& [text, target] :
       {std::pair{deployment, &arguments.deployment},
        std::pair{policy, &arguments.policy},
        std::pair{pattern, &arguments.pattern},
        std::pair{order, &arguments.order},
        std::pair{reports, &arguments.reports}}) {
    if (text != nullptr)
      *target = text;
    std::free(text);
  }
  if (is_wrong ||
      (arguments.order != "priority" && arguments.order != "arrival")) {
    std::cerr << "dandelion-placement-experiment: wrong command line\n";
    return 2;
  }
  return Run(arguments);
}
