#ifndef SRC_DANDELIONMILL_BASE_JSON_NUMBERS_H_
#define SRC_DANDELIONMILL_BASE_JSON_NUMBERS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace dandelionmill::base {

// Largest integer that every reader of JSON represents exactly. Sums of some
// hundreds of them fit into 64 bits.
inline constexpr std::int64_t kMaxJsonInteger = std::int64_t{1} << 53;

// Returns the integer in `value`; nullopt if it has another type or a fraction,
// or is not within `min` and kMaxJsonInteger.
inline std::optional<std::int64_t> ToJsonInteger(const nlohmann::json& value,
                                                 std::int64_t min = 0) {
  if (!value.is_number_integer())
    return std::nullopt;
  if (value.is_number_unsigned() &&
      value.get<std::uint64_t>() > static_cast<std::uint64_t>(kMaxJsonInteger))
    return std::nullopt;
  const auto integer = value.get<std::int64_t>();
  if (integer < min || integer > kMaxJsonInteger)
    return std::nullopt;
  return integer;
}

}  // namespace dandelionmill::base

#endif  // SRC_DANDELIONMILL_BASE_JSON_NUMBERS_H_
