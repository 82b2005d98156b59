#ifndef SRC_DANDELIONMILL_STORAGE_HTTP_PLATFORM_H_
#define SRC_DANDELIONMILL_STORAGE_HTTP_PLATFORM_H_

#include <chrono>
#include <string>
#include <vector>

#include "dandelionmill/net/address.h"
#include "dandelionmill/storage/instance_list.h"
#include "dandelionmill/storage/object_store.h"
#include "dandelionmill/storage/table_store.h"

namespace dandelionmill::storage {

// Where the platform is and how to speak to it.
struct PlatformAddress {
  net::Address address;
  std::string key;
  // Limit of each call, connecting included.
  std::chrono::milliseconds timeout{2000};
};

// The platform's table service over HTTP. Safe from any thread; each call opens
// a connection of its own, so a connection that went silent harms one call.
class HttpTableStore : public TableStore {
 public:
  explicit HttpTableStore(PlatformAddress platform);

  base::Result<Row> Read(const std::string& key) override;
  base::Result<std::vector<Row>> Scan(const std::string& prefix,
                                      const std::string& after,
                                      int limit) override;
  base::Status Commit(const Transaction& transaction) override;

 private:
  const PlatformAddress platform_;
};

// The platform's object store over HTTP. Safe from any thread.
class HttpObjectStore : public ObjectStore {
 public:
  explicit HttpObjectStore(PlatformAddress platform);

  base::Result<std::string> Get(const std::string& name) override;
  base::Result<std::vector<std::string>> List(const std::string& prefix,
                                              const std::string& after,
                                              int limit) override;
  base::Status Put(const std::string& name,
                   const std::string& content) override;

 private:
  const PlatformAddress platform_;
};

// The platform's instance list over HTTP. Safe from any thread.
class HttpInstanceList : public InstanceList {
 public:
  explicit HttpInstanceList(PlatformAddress platform);

  base::Result<std::vector<ListedInstance>> List() override;

 private:
  const PlatformAddress platform_;
};

}  // namespace dandelionmill::storage

#endif  // SRC_DANDELIONMILL_STORAGE_HTTP_PLATFORM_H_
