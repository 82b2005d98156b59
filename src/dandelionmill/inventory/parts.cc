#include "dandelionmill/inventory/parts.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/inventory/internal/json_reader.h"
#include "dandelionmill/inventory/internal/read_document.h"
#include "dandelionmill/inventory/internal/sort_by_id.h"
#include "dandelionmill/inventory/to_json.h"

namespace dandelionmill::inventory {
namespace {

constexpr char kCorePart[] = "core";
constexpr char kAccountPrefix[] = "accounts/";
constexpr std::uint64_t kShardCount = 256;

bool IsAccountPart(const std::string& name) {
  return name.compare(0, sizeof(kAccountPrefix) - 1, kAccountPrefix) == 0;
}

void ReadCorePart(const std::string& text,
                  Core& core,
                  internal::ValidationErrors& errors) {
  const internal::Json json =
      internal::ParseObject(text, kMaxPartBytes, "core:", errors);
  internal::ObjectReader reader(json, "core:", errors);
  core.regions = internal::ReadRegions(reader, errors);
  core.services = internal::ReadServices(reader, errors);
  core.backends = internal::ReadBackends(reader, errors);
  core.rules = internal::ReadRules(reader.Object("rules"),
                                   reader.PointerTo("rules"), errors);
  reader.RejectUnknownKeys();
}

std::vector<Account> ReadAccountPart(const std::string& name,
                                     const std::string& text,
                                     internal::ValidationErrors& errors) {
  const internal::Json json =
      internal::ParseObject(text, kMaxPartBytes, name + ":", errors);
  internal::ObjectReader reader(json, name + ":", errors);
  std::vector<Account> accounts = internal::ReadAccounts(reader, errors);
  reader.RejectUnknownKeys();
  for (const Account& account : accounts) {
    if (!account.id.empty() && AccountPartName(account.id) != name)
      errors.Add(name + ":", "the part of " + account.id.value(),
                 AccountPartName(account.id));
  }
  return accounts;
}

std::shared_ptr<const AccountShard> FindShard(const SnapshotPtr& snapshot,
                                              const std::string& name,
                                              const std::string& sha256) {
  if (!snapshot)
    return nullptr;
  const auto found = snapshot->shards().find(name);
  return found == snapshot->shards().end() || found->second->sha256 != sha256
             ? nullptr
             : found->second;
}

std::shared_ptr<const AccountShard> ParseShard(
    const std::string& name,
    const std::string& text,
    std::string sha256,
    internal::ValidationErrors& errors) {
  auto shard = std::make_shared<AccountShard>();
  shard->sha256 = std::move(sha256);
  shard->accounts = ReadAccountPart(name, text, errors);
  internal::CheckAccounts(shard->accounts, errors);
  internal::SortById(shard->accounts);
  return shard;
}

void RejectUnknownPart(const std::string& name,
                       internal::ValidationErrors& errors) {
  errors.Add(internal::FormatValue(name), "unknown", "core, accounts/00 to ff");
}

}  // namespace

std::string AccountPartName(const base::AccountId& account) {
  static const char kHexDigits[] = "0123456789abcdef";
  const std::uint64_t shard = base::StableHash(account.value()) % kShardCount;
  return std::string(kAccountPrefix) + kHexDigits[shard >> 4] +
         kHexDigits[shard & 0xF];
}

Parts SplitParts(const Document& document) {
  std::map<std::string, nlohmann::json> shards;
  for (const Account& account : document.accounts)
    shards[AccountPartName(account.id)].push_back(ToJson(account));
  Parts parts;
  parts[kCorePart] = ToJson(document.core).dump();
  for (auto& [name, accounts] : shards)
    parts[name] = nlohmann::json{{"accounts", std::move(accounts)}}.dump();
  return parts;
}

base::Result<Document> JoinParts(const Parts& parts) {
  internal::ValidationErrors errors;
  Document document;
  if (parts.count(kCorePart) == 0)
    errors.Add(kCorePart, "missing", "a part of this name");
  for (const auto& [name, text] : parts) {
    if (name == kCorePart)
      ReadCorePart(text, document.core, errors);
    else if (IsAccountPart(name))
      for (Account& account : ReadAccountPart(name, text, errors))
        document.accounts.push_back(std::move(account));
    else
      RejectUnknownPart(name, errors);
  }
  internal::CheckReferences(document, errors);
  if (!errors.empty())
    return errors.ToError();
  internal::SortById(document);
  return document;
}

base::Result<SnapshotPtr> ParseParts(base::ConfigVersion version,
                                     const Parts& parts,
                                     const SnapshotPtr& previous) {
  internal::ValidationErrors errors;
  Document document;
  AccountShards shards;
  if (parts.count(kCorePart) == 0)
    errors.Add(kCorePart, "missing", "a part of this name");
  for (const auto& [name, text] : parts) {
    if (name == kCorePart) {
      ReadCorePart(text, document.core, errors);
    } else if (IsAccountPart(name)) {
      const std::string sha256 = base::Sha256Hex(text);
      shards[name] = FindShard(previous, name, sha256);
      if (shards[name] == nullptr)
        shards[name] = ParseShard(name, text, sha256, errors);
    } else {
      RejectUnknownPart(name, errors);
    }
  }
  internal::CheckReferences(document, errors);
  if (!errors.empty())
    return errors.ToError();
  internal::SortById(document);
  return std::make_shared<const Snapshot>(version, std::move(document.core),
                                          std::move(shards));
}

}  // namespace dandelionmill::inventory
