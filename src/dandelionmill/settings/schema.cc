#include "dandelionmill/settings/schema.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::settings {
namespace {

using Json = nlohmann::json;

using base::Overloaded;

base::Error InvalidValueError(const Key& key,
                              const Json& value,
                              const std::string& allowed) {
  const auto* text = std::get_if<TextKey>(&key.type);
  const std::string printed_value =
      text != nullptr && text->secret ? "(secret)" : value.dump();
  return {base::Code::kBadSetting, "key \"" + key.name + "\" is " +
                                       printed_value + "; allowed: " + allowed};
}

std::string Join(const std::vector<std::string>& items) {
  std::string joined;
  for (const std::string& item : items)
    joined += (joined.empty() ? "" : ", ") + item;
  return joined;
}

std::string DescribeAllowed(const Key& key) {
  return std::visit(
      Overloaded{
          [](const IntegerKey& type) {
            std::string text = std::to_string(type.minimum) + " to " +
                               std::to_string(type.maximum);
            return *type.unit == 0 ? text : text + " " + type.unit;
          },
          [](const TextKey& type) {
            return type.allowed.empty() ? std::string("a string")
                                        : Join(type.allowed);
          },
          [](const BooleanKey&) { return std::string("true or false"); },
          [](const AddressKey&) {
            return std::string("an address like 127.0.0.1:8080");
          },
          [](const AddressListKey&) {
            return std::string("a list of addresses like 127.0.0.1:8080");
          },
          [](const TextListKey&) { return std::string("a list of strings"); },
          [](const TextMapKey&) {
            return std::string("an object with string values");
          }},
      key.type);
}

std::string DescribeDefault(const Key& key) {
  return std::visit(
      Overloaded{[](const IntegerKey& type) {
                   return std::to_string(type.default_value);
                 },
                 [](const TextKey& type) {
                   return type.required ? std::string("required")
                                        : "\"" + type.default_value + "\"";
                 },
                 [](const BooleanKey& type) {
                   return std::string(type.default_value ? "true" : "false");
                 },
                 [](const AddressKey& type) {
                   return std::string(type.required ? "required" : "none");
                 },
                 [](const AddressListKey&) { return std::string("[]"); },
                 [](const TextListKey&) { return std::string("[]"); },
                 [](const TextMapKey&) { return std::string("{}"); }},
      key.type);
}

bool IsStringList(const Json& value) {
  return value.is_array() &&
         std::all_of(value.begin(), value.end(),
                     [](const Json& item) { return item.is_string(); });
}

bool IsStringMap(const Json& value) {
  return value.is_object() &&
         std::all_of(value.begin(), value.end(),
                     [](const Json& item) { return item.is_string(); });
}

std::optional<net::Address> ParseAddressValue(const Json& value) {
  if (!value.is_string())
    return std::nullopt;
  base::Result<net::Address> address =
      net::ParseAddress(value.get<std::string>());
  if (!base::IsOk(address))
    return std::nullopt;
  return base::ValueOf(address);
}

using Value = std::variant<std::int64_t,
                           std::string,
                           bool,
                           net::Address,
                           std::vector<net::Address>,
                           std::vector<std::string>,
                           std::map<std::string, std::string>>;

// Returns nullopt when `value` has the wrong type or is not allowed.
std::optional<Value> Convert(const KeyType& type, const Json& value) {
  return std::visit(
      Overloaded{
          [&](const IntegerKey& key) -> std::optional<Value> {
            if (!value.is_number_integer() ||
                (value.is_number_unsigned() &&
                 value.get<std::uint64_t>() > INT64_MAX))
              return std::nullopt;
            const auto number = value.get<std::int64_t>();
            if (number < key.minimum || number > key.maximum)
              return std::nullopt;
            return number;
          },
          [&](const TextKey& key) -> std::optional<Value> {
            if (!value.is_string())
              return std::nullopt;
            auto text = value.get<std::string>();
            if (key.required && text.empty())
              return std::nullopt;
            if (!key.allowed.empty() &&
                std::find(key.allowed.begin(), key.allowed.end(), text) ==
                    key.allowed.end())
              return std::nullopt;
            return text;
          },
          [&](const BooleanKey&) -> std::optional<Value> {
            if (!value.is_boolean())
              return std::nullopt;
            return value.get<bool>();
          },
          [&](const AddressKey&) -> std::optional<Value> {
            std::optional<net::Address> address = ParseAddressValue(value);
            if (!address)
              return std::nullopt;
            return *address;
          },
          [&](const AddressListKey&) -> std::optional<Value> {
            if (!value.is_array())
              return std::nullopt;
            std::vector<net::Address> addresses;
            for (const Json& item : value) {
              std::optional<net::Address> address = ParseAddressValue(item);
              if (!address)
                return std::nullopt;
              addresses.push_back(*address);
            }
            return addresses;
          },
          [&](const TextListKey&) -> std::optional<Value> {
            if (!IsStringList(value))
              return std::nullopt;
            return value.get<std::vector<std::string>>();
          },
          [&](const TextMapKey&) -> std::optional<Value> {
            if (!IsStringMap(value))
              return std::nullopt;
            return value.get<std::map<std::string, std::string>>();
          }},
      type);
}

bool IsRequired(const KeyType& type) {
  const auto* text = std::get_if<TextKey>(&type);
  const auto* address = std::get_if<AddressKey>(&type);
  return (text != nullptr && text->required) ||
         (address != nullptr && address->required);
}

Value DefaultValue(const KeyType& type) {
  return std::visit(
      Overloaded{
          [](const IntegerKey& key) { return Value(key.default_value); },
          [](const TextKey& key) { return Value(key.default_value); },
          [](const BooleanKey& key) { return Value(key.default_value); },
          [](const AddressKey&) { return Value(net::Address{}); },
          [](const AddressListKey&) {
            return Value(std::vector<net::Address>{});
          },
          [](const TextListKey&) { return Value(std::vector<std::string>{}); },
          [](const TextMapKey&) {
            return Value(std::map<std::string, std::string>{});
          }},
      type);
}

}  // namespace

template <class T>
const T& Values::Get(const std::string& name) const {
  const auto found = values_.find(name);
  if (found == values_.end() || !std::holds_alternative<T>(found->second))
    throw std::logic_error("no setting " + name + " of this type");
  return std::get<T>(found->second);
}

std::int64_t Values::Integer(const std::string& name) const {
  return Get<std::int64_t>(name);
}

std::chrono::milliseconds Values::Duration(const std::string& name) const {
  return std::chrono::milliseconds(Integer(name));
}

const std::string& Values::Text(const std::string& name) const {
  return Get<std::string>(name);
}

bool Values::Boolean(const std::string& name) const {
  return Get<bool>(name);
}

const net::Address& Values::AddressOf(const std::string& name) const {
  return Get<net::Address>(name);
}

const std::vector<net::Address>& Values::Addresses(
    const std::string& name) const {
  return Get<std::vector<net::Address>>(name);
}

const std::vector<std::string>& Values::TextList(
    const std::string& name) const {
  return Get<std::vector<std::string>>(name);
}

const std::map<std::string, std::string>& Values::TextMap(
    const std::string& name) const {
  return Get<std::map<std::string, std::string>>(name);
}

base::Result<Values> Check(const Schema& schema, const std::string& json) {
  const Json document = Json::parse(json, nullptr, false);
  if (!document.is_object())
    return base::Error{base::Code::kBadSetting,
                       "the settings are not a JSON object"};
  for (const auto& item : document.items()) {
    const bool known =
        std::any_of(schema.begin(), schema.end(),
                    [&](const Key& key) { return key.name == item.key(); });
    if (known)
      continue;
    std::vector<std::string> names;
    for (const Key& key : schema)
      names.push_back(key.name);
    return base::Error{base::Code::kBadSetting,
                       "key \"" + item.key() + "\" is unknown (its value is " +
                           item.value().dump() + "); allowed: " + Join(names)};
  }
  Values values;
  for (const Key& key : schema) {
    const auto found = document.find(key.name);
    if (found == document.end()) {
      if (IsRequired(key.type))
        return base::Error{base::Code::kBadSetting,
                           "key \"" + key.name + "\" is missing; allowed: " +
                               DescribeAllowed(key)};
      values.values_[key.name] = DefaultValue(key.type);
      continue;
    }
    std::optional<Value> value = Convert(key.type, *found);
    if (!value)
      return InvalidValueError(key, *found, DescribeAllowed(key));
    values.values_[key.name] = std::move(*value);
  }
  return values;
}

std::string ToMarkdown(const Schema& schema) {
  std::ostringstream table;
  table << "| key | allowed | default | meaning |\n|---|---|---|---|\n";
  for (const Key& key : schema)
    table << "| `" << key.name << "` | " << DescribeAllowed(key) << " | "
          << DescribeDefault(key) << " | " << key.meaning << " |\n";
  return table.str();
}

}  // namespace dandelionmill::settings
