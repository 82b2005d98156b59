#include "dandelionmill/ctl/files.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <sstream>

#include "dandelionmill/inventory/parse.h"

namespace dandelionmill::ctl {
namespace {

constexpr std::size_t kMaxVersionDigits = 12;

base::Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    return base::Error{base::Code::kBadCommandLine,
                       "file \"" + path + "\" cannot be read"};
  return text.str();
}

}  // namespace

base::Result<inventory::Document> ReadFiles(const std::string& inventory_path,
                                            const std::string& rules_path) {
  const base::Result<std::string> inventory = ReadFile(inventory_path);
  if (!base::IsOk(inventory))
    return base::ErrorOf(inventory);
  const base::Result<std::string> rules = ReadFile(rules_path);
  if (!base::IsOk(rules))
    return base::ErrorOf(rules);
  return inventory::ParseInventory(base::ValueOf(inventory),
                                   base::ValueOf(rules));
}

base::Result<base::ConfigVersion> ParseVersion(const std::string& text) {
  const bool digits =
      !text.empty() && text.size() <= kMaxVersionDigits &&
      std::all_of(text.begin(), text.end(),
                  [](unsigned char c) { return std::isdigit(c) != 0; });
  if (!digits)
    return base::Error{base::Code::kBadCommandLine,
                       "\"" + text + "\" is not a configuration version"};
  return std::stoull(text);
}

}  // namespace dandelionmill::ctl
