#include <httplib.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

#include "bench/judge.h"
#include "bench/report.h"
#include "bench/spend.h"
#include "dandelionmill/settings/command_line.h"

namespace bench {
namespace {

using dandelionmill::base::IsOk;
using Json = nlohmann::json;

constexpr std::chrono::milliseconds kPoll{500};

std::int64_t UnixUs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

// Sends every request at its time, whatever became of those before.
std::vector<Outcome> SendAll(const Plan& plan,
                             const std::vector<PlannedRequest>& requests) {
  std::vector<Outcome> outcomes(requests.size());
  std::vector<std::thread> threads;
  threads.reserve(requests.size());
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < requests.size(); ++i) {
    std::this_thread::sleep_until(start + requests[i].at);
    threads.emplace_back([&plan, &requests, &outcomes, i] {
      outcomes[i] = Call(plan, requests[i]);
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  return outcomes;
}

// Waits until every complete answer has its charge, at most the plan's time.
void AwaitCharges(const Run& run) {
  const JudgeTerms& terms = run.plan.judge;
  const auto limit = std::chrono::steady_clock::now() + terms.settle;
  while (std::chrono::steady_clock::now() < limit) {
    std::set<std::string> charged;
    for (const auto& charge : FetchCharges(terms).value_or(
             std::vector<dandelionmill::billing::Charge>()))
      charged.insert(charge.account.value() + "/" + charge.request_key.value());
    bool all = true;
    for (std::size_t i = 0; i < run.requests.size() && all; ++i) {
      const PaidBudget& budget = run.plan.budgets[run.requests[i].budget];
      all = run.outcomes[i].ending != Ending::kComplete ||
            charged.count(budget.account + "/" + run.requests[i].key) != 0;
    }
    if (all)
      return;
    std::this_thread::sleep_for(kPoll);
  }
}

// The lease holders that answer on their admin ports.
std::optional<std::set<std::string>> FetchHolders(const JudgeTerms& terms) {
  if (terms.control_admins.empty())
    return std::nullopt;
  std::set<std::string> holders;
  for (const auto& admin : terms.control_admins) {
    httplib::Client client(admin.host, admin.port);
    client.set_read_timeout(std::chrono::seconds(5));
    client.set_bearer_token_auth(terms.admin_key);
    const auto result = client.Get("/dump");
    if (!result || result->status != 200)
      continue;
    const Json dump = Json::parse(result->body, nullptr, false);
    if (dump.is_object())
      holders.insert(dump.value("holder", ""));
  }
  return holders;
}

Json RunPlan(const Plan& plan) {
  const std::vector<PlannedRequest> requests = DrawRequests(plan);
  const std::int64_t start = UnixUs();
  std::cout << "started " << requests.size() << std::endl;
  const std::vector<Outcome> outcomes = SendAll(plan, requests);
  std::cout << "sent " << requests.size() << std::endl;
  Run run{plan, requests, outcomes, start, std::nullopt};
  AwaitCharges(run);
  std::this_thread::sleep_for(plan.judge.quiet);
  run.live_holders = FetchHolders(plan.judge);
  const std::optional<Records> records = FetchRecords(plan.judge);
  if (!records)
    return Report(run, nullptr, nullptr);
  const Verdict verdict = Judge(run, *records);
  return Report(run, &*records, &verdict);
}

int RunFile(const std::string& plan_file, const std::string& result_file) {
  std::ifstream in(plan_file);
  std::ostringstream text;
  text << in.rdbuf();
  const auto plan = ParsePlan(text.str());
  if (!in || !IsOk(plan)) {
    std::cerr << "dandelion-load: "
              << (in ? ToString(dandelionmill::base::ErrorOf(plan))
                     : "plan \"" + plan_file + "\" cannot be read")
              << "\n";
    return dandelionmill::settings::kExitUsage;
  }
  const Json result = RunPlan(dandelionmill::base::ValueOf(plan));
  std::ofstream out(result_file);
  out << result.dump(2) << "\n";
  return out ? 0 : 1;
}

}  // namespace
}  // namespace bench

int main(int argc, char** argv) {
  using dandelionmill::settings::StartupOptions;
  using dandelionmill::settings::TextKey;
  const dandelionmill::settings::Schema schema = {
      {"plan_file", TextKey{"", true, {}, false},
       "The experiment, as described in docs/bench.md."},
      {"result_file", TextKey{"", true, {}, false},
       "Where the result is written."},
  };
  auto startup = dandelionmill::settings::ParseDaemonCommandLine(
      argc, argv, "dandelion-load",
      "sends a seeded load to a fleet and judges what truly happened", schema);
  if (const int* status = std::get_if<int>(&startup))
    return *status;
  const auto& values = std::get<StartupOptions>(startup).values;
  dandelionmill::log::Initialize("dandelion-load",
                                 std::get<StartupOptions>(startup).log_level);
  std::signal(SIGPIPE, SIG_IGN);
  return bench::RunFile(values.Text("plan_file"), values.Text("result_file"));
}
