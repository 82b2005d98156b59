#include "dandelionmill/inventory/diff.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/inventory/parse.h"
#include "dandelionmill/inventory/to_json.h"

namespace dandelionmill::inventory {
namespace {

using Json = nlohmann::json;
using EntryMap = std::map<std::string, Json>;

constexpr char kRulesSection[] = "rules";
constexpr char kBudgetsKey[] = "budgets";

template <class Item>
void AddEntries(EntryMap& entries,
                const std::string& section,
                const std::vector<Item>& items) {
  for (const Item& item : items)
    entries[section + "/" + item.id.value()] = ToJson(item);
}

void AddAccountEntries(EntryMap& entries, const Account& account) {
  const std::string path = "accounts/" + account.id.value();
  Json json = ToJson(account);
  json.erase(kBudgetsKey);
  entries[path] = std::move(json);
  for (const Budget& budget : account.budgets)
    entries[path + "/" + kBudgetsKey + "/" + budget.name] = ToJson(budget);
}

// Returns the entries of the document by path.
EntryMap Flatten(const Document& document) {
  EntryMap entries;
  AddEntries(entries, "regions", document.core.regions);
  AddEntries(entries, "services", document.core.services);
  AddEntries(entries, "backends", document.core.backends);
  for (const Account& account : document.accounts)
    AddAccountEntries(entries, account);
  const Json rules = ToJson(document.core.rules);
  for (const auto& [key, value] : rules.items())
    entries[std::string(kRulesSection) + "/" + key] = value;
  return entries;
}

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> segments;
  std::size_t begin = 0;
  while (begin <= path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    segments.push_back(path.substr(begin, end - begin));
    begin = end + 1;
  }
  return segments;
}

// Rebuilds a document from its entries. The map is sorted by path, so an
// account precedes its budgets.
base::Result<Document> Assemble(const EntryMap& entries) {
  Json inventory = Json::object();
  Json rules = Json::object();
  for (const auto& [path, json] : entries) {
    const std::vector<std::string> segments = SplitPath(path);
    if (segments[0] == kRulesSection)
      rules[segments[1]] = json;
    else if (segments.size() == 2)
      inventory[segments[0]].push_back(json);
    else if (inventory.contains("accounts") &&
             inventory["accounts"].back()["id"] == segments[1])
      inventory["accounts"].back()[kBudgetsKey].push_back(json);
    else
      return base::Error{base::Code::kBadInventory,
                         path + " is a budget of no client account"};
  }
  return ParseInventory(inventory.dump(), rules.dump());
}

std::string ValueAt(const Json& json, const std::string& pointer) {
  const Json::json_pointer json_pointer(pointer);
  return json.contains(json_pointer) ? json[json_pointer].dump() : "none";
}

// Lists the changed values, such as "slots: 8 -> 12, models/0/version: ...".
std::string DescribeChange(const Json& before, const Json& after) {
  if (!before.is_object() || !after.is_object())
    return before.dump() + " -> " + after.dump();
  std::string text;
  for (const Json& operation : Json::diff(before, after)) {
    const auto pointer = operation["path"].get<std::string>();
    text += text.empty() ? "" : ", ";
    text += pointer.substr(1) + ": " + ValueAt(before, pointer) + " -> " +
            ValueAt(after, pointer);
  }
  return text;
}

}  // namespace

std::vector<Change> Diff(const Document& before, const Document& after) {
  const EntryMap old_entries = Flatten(before);
  const EntryMap new_entries = Flatten(after);
  std::map<std::string, Change> changes;
  for (const auto& [path, json] : old_entries) {
    const auto found = new_entries.find(path);
    if (found == new_entries.end())
      changes[path] = {ChangeKind::kRemoved, path, json.dump(), ""};
    else if (found->second != json)
      changes[path] = {ChangeKind::kChanged, path, json.dump(),
                       found->second.dump()};
  }
  for (const auto& [path, json] : new_entries) {
    if (old_entries.count(path) == 0)
      changes[path] = {ChangeKind::kAdded, path, "", json.dump()};
  }
  std::vector<Change> list;
  for (auto& [path, change] : changes)
    list.push_back(std::move(change));
  return list;
}

std::string ToString(const Change& change) {
  switch (change.kind) {
    case ChangeKind::kAdded:
      return "+ " + change.path + " " + change.after;
    case ChangeKind::kRemoved:
      return "- " + change.path + " " + change.before;
    case ChangeKind::kChanged:
      break;
  }
  return "~ " + change.path + " " +
         DescribeChange(Json::parse(change.before), Json::parse(change.after));
}

std::vector<std::string> FindConflictingPaths(
    const std::vector<Change>& ours,
    const std::vector<Change>& theirs) {
  std::map<std::string, std::string> their_values;
  for (const Change& change : theirs)
    their_values[change.path] = change.after;
  std::vector<std::string> paths;
  for (const Change& change : ours) {
    const auto found = their_values.find(change.path);
    if (found != their_values.end() && found->second != change.after)
      paths.push_back(change.path);
  }
  return paths;
}

base::Result<Document> ApplyChanges(const Document& document,
                                    const std::vector<Change>& changes) {
  EntryMap entries = Flatten(document);
  for (const Change& change : changes) {
    if (change.kind == ChangeKind::kRemoved)
      entries.erase(change.path);
    else
      entries[change.path] = Json::parse(change.after);
  }
  return Assemble(entries);
}

}  // namespace dandelionmill::inventory
