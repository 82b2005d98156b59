#include "dandelionmill/inventory/inventory.h"

#include <algorithm>
#include <utility>

#include "dandelionmill/inventory/internal/sort_by_id.h"
#include "dandelionmill/inventory/parts.h"

namespace dandelionmill::inventory {
namespace {

template <class Item, class IdType>
const Item* FindById(const std::vector<Item>& items, const IdType& id) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&](const Item& item) { return item.id == id; });
  return found == items.end() ? nullptr : &*found;
}

AccountShards ToShards(std::vector<Account> accounts) {
  std::map<std::string, AccountShard> shards;
  for (Account& account : accounts)
    shards[AccountPartName(account.id)].accounts.push_back(std::move(account));
  AccountShards result;
  for (auto& [name, shard] : shards) {
    internal::SortById(shard.accounts);
    result[name] = std::make_shared<const AccountShard>(std::move(shard));
  }
  return result;
}

}  // namespace

Snapshot::Snapshot(base::ConfigVersion version,
                   Core core,
                   std::vector<Account> accounts)
    : Snapshot(version, std::move(core), ToShards(std::move(accounts))) {}

Snapshot::Snapshot(base::ConfigVersion version, Core core, AccountShards shards)
    : version_(version), core_(std::move(core)), shards_(std::move(shards)) {}

std::map<base::AccountId, Account> Snapshot::accounts() const {
  std::map<base::AccountId, Account> accounts;
  for (const auto& [name, shard] : shards_) {
    for (const Account& account : shard->accounts)
      accounts.emplace(account.id, account);
  }
  return accounts;
}

const Account* Snapshot::FindAccount(const base::AccountId& id) const {
  const auto shard = shards_.find(AccountPartName(id));
  if (shard == shards_.end())
    return nullptr;
  const std::vector<Account>& accounts = shard->second->accounts;
  const auto found =
      std::lower_bound(accounts.begin(), accounts.end(), id,
                       [](const Account& account, const base::AccountId& key) {
                         return account.id < key;
                       });
  return found == accounts.end() || found->id != id ? nullptr : &*found;
}

const Service* Snapshot::FindService(const base::ServiceId& id) const {
  return FindById(core_.services, id);
}

const Service* Snapshot::FindServiceOfModel(const base::ModelId& model) const {
  for (const Service& service : core_.services) {
    if (FindModel(service, model) != nullptr)
      return &service;
  }
  return nullptr;
}

const Model* Snapshot::FindModel(const Service& service,
                                 const base::ModelId& model) {
  return FindById(service.models, model);
}

const Backend* Snapshot::FindBackend(const base::BackendId& id) const {
  return FindById(core_.backends, id);
}

base::RegionId Snapshot::RegionOf(const base::ZoneId& zone) const {
  for (const Region& region : core_.regions) {
    if (std::find(region.zones.begin(), region.zones.end(), zone) !=
        region.zones.end())
      return region.id;
  }
  return base::RegionId();
}

}  // namespace dandelionmill::inventory
