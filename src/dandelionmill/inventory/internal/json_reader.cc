#include "dandelionmill/inventory/internal/json_reader.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "dandelionmill/net/address.h"

namespace dandelionmill::inventory::internal {
namespace {

constexpr std::size_t kMaxShownErrors = 20;
constexpr std::size_t kMaxShownValueBytes = 80;  // bytes
constexpr int kMaxDepth = 12;
constexpr std::size_t kMaxIdLength = 64;
constexpr std::size_t kMaxPathLength = 256;
constexpr std::size_t kSha256Digits = 64;

const Json kEmptyObject = Json::object();
const std::vector<Json> kEmptyArray;

std::string Join(const std::vector<std::string>& parts) {
  std::string joined;
  for (const std::string& part : parts) {
    joined += joined.empty() ? "" : ", ";
    joined += part;
  }
  return joined;
}

bool IsIdChar(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
         c == '-';
}

bool IsModelIdChar(char c) {
  return IsIdChar(c) || c == '.' || c == ':' || c == '/';
}

bool IsVisibleAscii(char c) {
  return c > ' ' && c < 0x7f;
}

bool IsLowerHex(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool ConsistsOf(const std::string& text,
                std::size_t maximum,
                bool (*is_allowed)(char)) {
  return !text.empty() && text.size() <= maximum &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

bool Matches(const std::string& text, TextFormat format) {
  switch (format) {
    case TextFormat::kId:
      return ConsistsOf(text, kMaxIdLength, IsIdChar);
    case TextFormat::kModelId:
      return ConsistsOf(text, kMaxIdLength, IsModelIdChar);
    case TextFormat::kPath:
      return ConsistsOf(text, kMaxPathLength, IsVisibleAscii) && text[0] == '/';
    case TextFormat::kSha256:
      return text.size() == kSha256Digits &&
             ConsistsOf(text, kSha256Digits, IsLowerHex);
    case TextFormat::kAddress:
      return base::IsOk(net::ParseAddress(text));
  }
  return false;
}

std::string DescribeFormat(TextFormat format) {
  switch (format) {
    case TextFormat::kId:
      return "1 to 64 letters, digits, '_' and '-'";
    case TextFormat::kModelId:
      return "1 to 64 letters, digits and \"_-.:/\"";
    case TextFormat::kPath:
      return "a path that starts with '/', up to 256 visible ASCII characters";
    case TextFormat::kSha256:
      return "64 lower-case hexadecimal digits";
    case TextFormat::kAddress:
      return "an address like 127.0.0.1:8080";
  }
  return "";
}

std::string FormatText(const Json& value, TextFormat format) {
  // The value may be the API key itself, entered instead of its digest.
  return format == TextFormat::kSha256 ? "(not shown)" : FormatValue(value);
}

std::string EscapePointer(const std::string& key) {
  std::string escaped;
  for (char c : key)
    escaped += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
  return escaped;
}

// Parser callback that detects duplicate keys and deep nesting, which the
// parser accepts.
class StructureChecker {
 public:
  bool operator()(int depth, Json::parse_event_t event, Json& parsed) {
    if (depth > kMaxDepth) {
      too_deep_ = true;
      return false;
    }
    if (event == Json::parse_event_t::object_start)
      keys_.emplace_back();
    else if (event == Json::parse_event_t::object_end && !keys_.empty())
      keys_.pop_back();
    else if (event == Json::parse_event_t::key && !keys_.empty() &&
             !keys_.back().insert(parsed.get_ref<std::string&>()).second)
      duplicate_key_ = parsed.get<std::string>();
    return true;
  }

  bool too_deep() const { return too_deep_; }
  const std::string& duplicate_key() const { return duplicate_key_; }

 private:
  bool too_deep_ = false;
  std::string duplicate_key_;
  std::vector<std::set<std::string>> keys_;
};

}  // namespace

void ValidationErrors::Add(const std::string& pointer,
                           const std::string& shown,
                           const std::string& allowed) {
  ++count_;
  if (lines_.size() < kMaxShownErrors)
    lines_.push_back(pointer + " is " + shown + "; allowed: " + allowed);
}

base::Error ValidationErrors::ToError() const {
  std::string detail;
  for (const std::string& line : lines_)
    detail += (detail.empty() ? "" : "\n") + line;
  if (count_ > lines_.size())
    detail += "\nand " + std::to_string(count_ - lines_.size()) + " more";
  return {base::Code::kBadInventory, detail};
}

std::string FormatValue(const Json& value) {
  std::string shown = value.dump(-1, ' ', true, Json::error_handler_t::replace);
  if (shown.size() > kMaxShownValueBytes) {
    shown.resize(kMaxShownValueBytes);
    shown += "...";
  }
  return shown;
}

Json ParseObject(const std::string& text,
                 std::size_t limit,
                 const std::string& pointer,
                 ValidationErrors& errors) {
  if (text.size() > limit) {
    errors.Add(pointer, std::to_string(text.size()) + " bytes long",
               "up to " + std::to_string(limit) + " bytes");
    return Json::object();
  }
  StructureChecker checker;
  Json json = Json::parse(text, std::ref(checker), false);
  if (checker.too_deep()) {
    errors.Add(pointer, "nested too deeply",
               "up to " + std::to_string(kMaxDepth) + " levels");
  } else if (!checker.duplicate_key().empty()) {
    errors.Add(
        pointer,
        "an object with two keys " + FormatValue(checker.duplicate_key()),
        "each key once");
  } else if (!json.is_object()) {
    errors.Add(pointer, json.is_discarded() ? "no JSON" : FormatValue(json),
               "a JSON object");
  }
  return json.is_object() ? json : Json::object();
}

ObjectReader::ObjectReader(const Json& json,
                           std::string pointer,
                           ValidationErrors& errors)
    : json_(json.is_object() ? json : kEmptyObject),
      pointer_(std::move(pointer)),
      errors_(errors) {
  if (!json.is_object())
    errors_.Add(pointer_, FormatValue(json), "an object");
}

std::string ObjectReader::PointerTo(const std::string& key) const {
  return pointer_ + "/" + EscapePointer(key);
}

const Json* ObjectReader::Find(const std::string& key) {
  requested_keys_.insert(key);
  const auto found = json_.find(key);
  return found == json_.end() ? nullptr : &*found;
}

std::int64_t ObjectReader::Integer(const std::string& key,
                                   std::int64_t default_value,
                                   std::int64_t minimum,
                                   std::int64_t maximum) {
  const Json* value = Find(key);
  if (value == nullptr)
    return default_value;
  const bool is_valid =
      value->is_number_integer() &&
      !(value->is_number_unsigned() &&
        value->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum)) &&
      value->get<std::int64_t>() >= minimum &&
      value->get<std::int64_t>() <= maximum;
  if (is_valid)
    return value->get<std::int64_t>();
  errors_.Add(PointerTo(key), FormatValue(*value),
              std::to_string(minimum) + " to " + std::to_string(maximum));
  return default_value;
}

bool ObjectReader::Boolean(const std::string& key, bool default_value) {
  const Json* value = Find(key);
  if (value == nullptr)
    return default_value;
  if (value->is_boolean())
    return value->get<bool>();
  errors_.Add(PointerTo(key), FormatValue(*value), "true or false");
  return default_value;
}

std::string ObjectReader::Text(const std::string& key, TextFormat format) {
  const Json* value = Find(key);
  if (value == nullptr) {
    errors_.Add(PointerTo(key), "missing", DescribeFormat(format));
    return "";
  }
  if (value->is_string() && Matches(value->get<std::string>(), format))
    return value->get<std::string>();
  errors_.Add(PointerTo(key), FormatText(*value, format),
              DescribeFormat(format));
  return "";
}

std::vector<std::string> ObjectReader::TextList(const std::string& key,
                                                TextFormat format,
                                                std::size_t maximum) {
  std::vector<std::string> texts;
  std::size_t index = 0;
  for (const Json& item : Array(key, maximum)) {
    if (item.is_string() && Matches(item.get<std::string>(), format))
      texts.push_back(item.get<std::string>());
    else
      errors_.Add(PointerTo(key) + "/" + std::to_string(index),
                  FormatText(item, format), DescribeFormat(format));
    ++index;
  }
  return texts;
}

std::size_t ObjectReader::Choice(const std::string& key,
                                 std::size_t default_value,
                                 const std::vector<std::string>& names) {
  const Json* value = Find(key);
  if (value == nullptr)
    return default_value;
  const auto found = value->is_string() ? std::find(names.begin(), names.end(),
                                                    value->get<std::string>())
                                        : names.end();
  if (found != names.end())
    return static_cast<std::size_t>(found - names.begin());
  errors_.Add(PointerTo(key), FormatValue(*value), Join(names));
  return default_value;
}

const std::vector<Json>& ObjectReader::Array(const std::string& key,
                                             std::size_t maximum) {
  const Json* value = Find(key);
  if (value == nullptr)
    return kEmptyArray;
  if (!value->is_array()) {
    errors_.Add(PointerTo(key), FormatValue(*value), "an array");
    return kEmptyArray;
  }
  if (value->size() > maximum) {
    errors_.Add(PointerTo(key), std::to_string(value->size()) + " items",
                "up to " + std::to_string(maximum) + " items");
    return kEmptyArray;
  }
  return value->get_ref<const Json::array_t&>();
}

const Json& ObjectReader::Object(const std::string& key) {
  const Json* value = Find(key);
  return value == nullptr ? kEmptyObject : *value;
}

void ObjectReader::RejectUnknownKeys() {
  for (const auto& [key, value] : json_.items()) {
    if (requested_keys_.count(key) != 0)
      continue;
    errors_.Add(PointerTo(key), "unknown (its value is not read)",
                Join({requested_keys_.begin(), requested_keys_.end()}));
  }
}

}  // namespace dandelionmill::inventory::internal
