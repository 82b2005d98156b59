#include <algorithm>
#include <ctime>
#include <nlohmann/json.hpp>

#include "dandelionmill/ctl/commands/commands.h"
#include "dandelionmill/ctl/files.h"

namespace dandelionmill::ctl::commands {
namespace {

constexpr base::ConfigVersion kDefaultCount = 20;
constexpr base::ConfigVersion kMaxCount = 1000;

std::string FormatTime(std::int64_t unix_ms) {
  const auto seconds = static_cast<std::time_t>(unix_ms / 1000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text;
}

void Print(const std::vector<inventory::Head>& heads,
           const Invocation& invocation,
           Environment& environment) {
  nlohmann::json array = nlohmann::json::array();
  for (const inventory::Head& head : heads) {
    if (invocation.json)
      array.push_back({{"version", head.version},
                       {"at_unix_ms", head.at_unix_ms},
                       {"author", head.author},
                       {"summary", head.summary},
                       {"change_id", head.change_id}});
    else
      environment.out << head.version << "  " << FormatTime(head.at_unix_ms)
                      << "  " << head.author << "  " << head.summary << "\n";
  }
  if (invocation.json)
    environment.out << array.dump() << "\n";
}

Exit Run(const Invocation& invocation, Environment& environment) {
  const auto count =
      ParseVersion(invocation.Value("count", std::to_string(kDefaultCount)));
  if (!base::IsOk(count) || base::ValueOf(count) > kMaxCount)
    return ReportError(
        {base::Code::kBadCommandLine, "--count must be 0 to 1000"}, invocation,
        environment);
  const auto accepted = ReadAccepted(environment.stores.table);
  if (!base::IsOk(accepted))
    return ReportError(base::ErrorOf(accepted), invocation, environment);
  const base::ConfigVersion newest = base::ValueOf(accepted).head.version;
  const base::ConfigVersion oldest =
      newest - std::min(newest, base::ValueOf(count)) + 1;
  std::vector<inventory::Head> heads;
  for (base::ConfigVersion version = newest; version >= oldest; --version) {
    const auto head = ReadHistoryHead(environment.stores.table, version);
    if (!base::IsOk(head))
      return ReportError(base::ErrorOf(head), invocation, environment);
    heads.push_back(base::ValueOf(head));
  }
  Print(heads, invocation, environment);
  return Exit::kDone;
}

}  // namespace

Command History() {
  return {"history",
          "",
          "Lists accepted configurations, newest first.",
          0,
          0,
          {{"count", "N", "Number of versions to list (default 20)"}},
          Run};
}

}  // namespace dandelionmill::ctl::commands
