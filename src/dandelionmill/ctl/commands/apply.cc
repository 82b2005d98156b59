#include "dandelionmill/ctl/change_output.h"
#include "dandelionmill/ctl/commands/commands.h"
#include "dandelionmill/ctl/commit.h"
#include "dandelionmill/ctl/files.h"

namespace dandelionmill::ctl::commands {
namespace {

Exit Run(const Invocation& invocation, Environment& environment) {
  const auto base = ParseVersion(invocation.Value("base", "0"));
  if (!base::IsOk(base))
    return ReportError(base::ErrorOf(base), invocation, environment);
  auto desired = ReadFiles(invocation.arguments[0], invocation.arguments[1]);
  if (!base::IsOk(desired))
    return ReportError(base::ErrorOf(desired), invocation, environment);
  ChangeRequest request;
  request.desired = base::ValueOf(std::move(desired));
  request.base = base::ValueOf(base);
  request.merge = invocation.Has("merge");
  request.author = environment.author;
  request.summary = invocation.Value("summary", "apply");
  request.at = environment.now;
  return ReportOutcome(CommitChange(environment.stores, request), invocation,
                       environment);
}

}  // namespace

Command Apply() {
  return {
      "apply",
      "INVENTORY RULES",
      "Checks the files and commits them as the next configuration.",
      2,
      2,
      {{"base", "VERSION",
        "The version that the edited files are based on, as printed by show; 0 "
        "(default) if there is none"},
       {"merge", nullptr,
        "Keep changes committed since the base if they do not overlap"},
       {"summary", "TEXT", "Purpose of the change, recorded in the history"}},
      Run};
}

}  // namespace dandelionmill::ctl::commands
