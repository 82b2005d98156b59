#ifndef SRC_DANDELIONMILL_SETTINGS_SCHEMA_H_
#define SRC_DANDELIONMILL_SETTINGS_SCHEMA_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/result.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::settings {

// An integer with its inclusive range and its unit ("ms", "bytes" or "").
struct IntegerKey {
  std::int64_t default_value = 0;
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
  const char* unit = "";
};

// A string. When `allowed` is not empty, the value must be one of its items.
struct TextKey {
  std::string default_value;
  bool required = false;
  std::vector<std::string> allowed;
  // The value is never printed, not even in error messages.
  bool secret = false;
};

// A JSON boolean.
struct BooleanKey {
  bool default_value = false;
};

// An IPv4 address and port, such as "127.0.0.1:8080".
struct AddressKey {
  bool required = true;
};

// A list of addresses, empty by default.
struct AddressListKey {};

// A list of strings, empty by default.
struct TextListKey {};

// An object with string values, such as an address translation table. Empty by
// default.
struct TextMapKey {};

using KeyType = std::variant<IntegerKey,
                             TextKey,
                             BooleanKey,
                             AddressKey,
                             AddressListKey,
                             TextListKey,
                             TextMapKey>;

// One key of a settings file.
struct Key {
  std::string name;
  KeyType type;
  // One sentence for the settings table in the operators' documentation.
  std::string meaning;
};

using Schema = std::vector<Key>;

// Validated settings. Every getter takes the name of a key in the schema and
// throws std::logic_error when there is no such key of the matching type.
class Values {
 public:
  std::int64_t Integer(const std::string& name) const;
  // Returns an integer setting whose unit is "ms".
  std::chrono::milliseconds Duration(const std::string& name) const;
  const std::string& Text(const std::string& name) const;
  bool Boolean(const std::string& name) const;
  // Returns an address with port 0 for an optional setting that is not given.
  const net::Address& AddressOf(const std::string& name) const;
  const std::vector<net::Address>& Addresses(const std::string& name) const;
  const std::vector<std::string>& TextList(const std::string& name) const;
  const std::map<std::string, std::string>& TextMap(
      const std::string& name) const;

 private:
  using Value = std::variant<std::int64_t,
                             std::string,
                             bool,
                             net::Address,
                             std::vector<net::Address>,
                             std::vector<std::string>,
                             std::map<std::string, std::string>>;
  friend base::Result<Values> Check(const Schema&, const std::string&);

  template <class T>
  const T& Get(const std::string& name) const;

  std::map<std::string, Value> values_;
};

// Validates a JSON document against `schema` and fills in defaults. Fails with
// kBadSetting when the document is not a JSON object, a key is unknown, a
// required key is missing or a value is not allowed. The error names the key,
// its value and the allowed values.
base::Result<Values> Check(const Schema& schema, const std::string& json);

// Returns a Markdown table of the keys of `schema` with their allowed values,
// defaults and meanings.
std::string ToMarkdown(const Schema& schema);

}  // namespace dandelionmill::settings

#endif  // SRC_DANDELIONMILL_SETTINGS_SCHEMA_H_
