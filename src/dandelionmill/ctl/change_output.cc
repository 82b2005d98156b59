#include "dandelionmill/ctl/change_output.h"

#include <nlohmann/json.hpp>

#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::ctl {
namespace {

using Json = nlohmann::json;

std::string NameOf(inventory::ChangeKind kind) {
  switch (kind) {
    case inventory::ChangeKind::kAdded:
      return "added";
    case inventory::ChangeKind::kRemoved:
      return "removed";
    case inventory::ChangeKind::kChanged:
      break;
  }
  return "changed";
}

Exit Print(const Committed& committed, bool json, Environment& environment) {
  if (json) {
    environment.out << Json{{"version", committed.version},
                            {"changes", ToJson(committed.changes)},
                            {"merged", ToJson(committed.merged)}}
                           .dump()
                    << "\n";
    return Exit::kDone;
  }
  PrintChanges(committed.changes, environment.out);
  if (!committed.merged.empty()) {
    environment.out << "Others had changed, and it was kept:\n";
    PrintChanges(committed.merged, environment.out);
  }
  environment.out << "accepted as version " << committed.version << "\n";
  return Exit::kDone;
}

Exit Print(const Unchanged& unchanged, bool json, Environment& environment) {
  if (json)
    environment.out << Json{{"version", unchanged.version},
                            {"changes", Json::array()}}
                           .dump()
                    << "\n";
  else
    environment.out << "nothing differs from version " << unchanged.version
                    << "\n";
  return Exit::kDone;
}

Exit Print(const Conflict& conflict, bool json, Environment& environment) {
  if (json) {
    environment.out << Json{{"conflict_with", conflict.accepted.version},
                            {"author", conflict.accepted.author},
                            {"summary", conflict.accepted.summary},
                            {"theirs", ToJson(conflict.theirs)},
                            {"overlap", conflict.overlap}}
                           .dump()
                    << "\n";
    return Exit::kConflict;
  }
  environment.err << "dandelionctl: "
                  << base::ToString(
                         {base::Code::kConfigConflict,
                          "version " +
                              std::to_string(conflict.accepted.version) +
                              " by " + conflict.accepted.author + " (" +
                              conflict.accepted.summary + ") came first"})
                  << "\nChanged since your base:\n";
  PrintChanges(conflict.theirs, environment.err);
  if (conflict.overlap.empty()) {
    environment.err
        << "You changed other things; repeat with --merge to keep both.\n";
  } else {
    environment.err << "You both changed:\n";
    for (const std::string& path : conflict.overlap)
      environment.err << "  " << path << "\n";
  }
  return Exit::kConflict;
}

}  // namespace

Json ToJson(const std::vector<inventory::Change>& changes) {
  Json array = Json::array();
  for (const inventory::Change& change : changes) {
    Json item = {{"kind", NameOf(change.kind)}, {"path", change.path}};
    if (!change.before.empty())
      item["before"] = Json::parse(change.before);
    if (!change.after.empty())
      item["after"] = Json::parse(change.after);
    array.push_back(std::move(item));
  }
  return array;
}

void PrintChanges(const std::vector<inventory::Change>& changes,
                  std::ostream& out) {
  for (const inventory::Change& change : changes)
    out << inventory::ToString(change) << "\n";
}

Exit ReportOutcome(const base::Result<CommitOutcome>& outcome,
                   const Invocation& invocation,
                   Environment& environment) {
  if (!base::IsOk(outcome))
    return ReportError(base::ErrorOf(outcome), invocation, environment);
  return std::visit(
      [&](const auto& result) {
        return Print(result, invocation.json, environment);
      },
      base::ValueOf(outcome));
}

}  // namespace dandelionmill::ctl
