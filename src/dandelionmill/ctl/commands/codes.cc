#include <nlohmann/json.hpp>

#include "dandelionmill/ctl/commands/commands.h"

namespace dandelionmill::ctl::commands {
namespace {

Exit Run(const Invocation& invocation, Environment& environment) {
  nlohmann::json array = nlohmann::json::array();
  for (const base::CodeInfo& info : base::AllCodes()) {
    const int number = static_cast<int>(info.code);
    if (invocation.json)
      array.push_back({{"code", number},
                       {"name", info.name},
                       {"http_status", info.http_status},
                       {"meaning", info.meaning}});
    else
      environment.out << number << " " << info.name << ": " << info.meaning
                      << "\n";
  }
  if (invocation.json)
    environment.out << array.dump() << "\n";
  return Exit::kDone;
}

}  // namespace

Command Codes() {
  return {"codes", "", "Lists every result code.", 0, 0, {}, Run};
}

}  // namespace dandelionmill::ctl::commands
