#ifndef SRC_DANDELIONMILL_INVENTORY_INTERNAL_JSON_READER_H_
#define SRC_DANDELIONMILL_INVENTORY_INTERNAL_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/base/result.h"

namespace dandelionmill::inventory::internal {

using Json = nlohmann::json;

// Collects the validation errors of a document.
class ValidationErrors {
 public:
  // Records that the value at the JSON pointer `pointer`, displayed as `shown`,
  // is not `allowed`.
  void Add(const std::string& pointer,
           const std::string& shown,
           const std::string& allowed);

  bool empty() const { return count_ == 0; }
  // Returns kBadInventory with one line for each of the first 20 errors and the
  // number of further ones.
  base::Error ToError() const;

 private:
  std::vector<std::string> lines_;
  std::size_t count_ = 0;
};

// Syntax of a string value.
enum class TextFormat {
  // Letters, digits, '_' and '-'.
  kId,
  // As kId, and '.', ':' and '/'.
  kModelId,
  // '/' followed by visible ASCII characters.
  kPath,
  // 64 lower-case hexadecimal digits. Invalid values are not shown in errors.
  kSha256,
  // IP address and port, such as "127.0.0.1:8080".
  kAddress,
};

// Parses a JSON object. Adds an error and returns an empty object when the text
// is longer than `limit` bytes or not a JSON object. Nesting over 12 levels and
// duplicate keys are errors too.
Json ParseObject(const std::string& text,
                 std::size_t limit,
                 const std::string& pointer,
                 ValidationErrors& errors);

// Returns `value` as JSON text, truncated to 80 bytes, for error messages.
std::string FormatValue(const Json& value);

// Reads the members of a JSON object. An invalid member adds an error, and the
// default value is returned instead.
class ObjectReader {
 public:
  ObjectReader(const Json& json, std::string pointer, ValidationErrors& errors);

  std::int64_t Integer(const std::string& key,
                       std::int64_t default_value,
                       std::int64_t minimum,
                       std::int64_t maximum);
  bool Boolean(const std::string& key, bool default_value);
  // Reads a required string. Adds an error and returns "" when it is missing.
  std::string Text(const std::string& key, TextFormat format);
  std::vector<std::string> TextList(const std::string& key,
                                    TextFormat format,
                                    std::size_t maximum);
  // Returns the index of the member's value in `names`.
  std::size_t Choice(const std::string& key,
                     std::size_t default_value,
                     const std::vector<std::string>& names);
  // Returns the items of an array of at most `maximum` items; empty when the
  // member is missing.
  const std::vector<Json>& Array(const std::string& key, std::size_t maximum);
  // Returns the member, or an empty object when it is missing.
  const Json& Object(const std::string& key);

  std::string PointerTo(const std::string& key) const;
  // Adds an error for each member that none of the calls above requested.
  void RejectUnknownKeys();

 private:
  const Json* Find(const std::string& key);

  const Json& json_;
  const std::string pointer_;
  ValidationErrors& errors_;
  std::set<std::string> requested_keys_;
};

}  // namespace dandelionmill::inventory::internal

#endif  // SRC_DANDELIONMILL_INVENTORY_INTERNAL_JSON_READER_H_
