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
  return {"apply",
          "INVENTORY RULES",
          "Checks the files and commits them as the next configuration.",
          2,
          2,
          {{"base", "VERSION",
            "The version that you edited, as shown by show; 0, the default, "
            "when there is none yet"},
           {"merge", nullptr,
            "If others changed other things since the base, keep both"},
           {"summary", "TEXT", "What the change is for, kept in the history"}},
          Run};
}

}  // namespace dandelionmill::ctl::commands
