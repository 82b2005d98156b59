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

// Address of the platform's HTTP API and the parameters of each call.
struct PlatformAddress {
  net::Address address;
  // Sent as bearer token.
  std::string key;
  // Applies separately to connecting, to each read and to each write.
  std::chrono::milliseconds timeout{2000};
};

// The platform's table service over HTTP. Thread-safe. Each call opens its own
// connection, so a stalled connection affects only one call.
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

// The platform's object store over HTTP. Thread-safe.
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

// The platform's instance list over HTTP. Thread-safe.
class HttpInstanceList : public InstanceList {
 public:
  explicit HttpInstanceList(PlatformAddress platform);

  base::Result<std::vector<ListedInstance>> List() override;

 private:
  const PlatformAddress platform_;
};

}  // namespace dandelionmill::storage

#endif  // SRC_DANDELIONMILL_STORAGE_HTTP_PLATFORM_H_
