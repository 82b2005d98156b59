#ifndef SRC_DANDELIONMILL_STORAGE_OBJECT_STORE_H_
#define SRC_DANDELIONMILL_STORAGE_OBJECT_STORE_H_

#include <string>
#include <vector>

#include "dandelionmill/base/result.h"

namespace dandelionmill::storage {

// Queries of the platform's object store.
class ObjectReader {
 public:
  virtual ~ObjectReader() = default;

  // Returns the content of an object. Fails with kNotFound or
  // kStoreUnavailable.
  virtual base::Result<std::string> Get(const std::string& name) = 0;

  // Returns up to `limit` (1 to 1000) object names in lexicographic order that
  // start with `prefix` and come after `after`. Fails with kStoreUnavailable.
  virtual base::Result<std::vector<std::string>> List(const std::string& prefix,
                                                      const std::string& after,
                                                      int limit) = 0;
};

// Commands of the platform's object store.
class ObjectWriter {
 public:
  virtual ~ObjectWriter() = default;

  // Stores an object atomically. Idempotent. Fails with kStoreUnavailable or
  // kStoreOutcomeUnknown; either way the caller should retry.
  virtual base::Status Put(const std::string& name,
                           const std::string& content) = 0;
};

class ObjectStore : public ObjectReader, public ObjectWriter {};

}  // namespace dandelionmill::storage

#endif  // SRC_DANDELIONMILL_STORAGE_OBJECT_STORE_H_
