#include "dandelionmill/net/http_message.h"

#include <boost/algorithm/hex.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <cctype>
#include <iterator>

namespace dandelionmill::net {
namespace {

constexpr std::size_t kEncodedByteLength = 3;  // "%2F"

bool StartsWithEncodedByte(std::string_view text) {
  return text.size() >= kEncodedByteLength && text[0] == '%' &&
         std::isxdigit(static_cast<unsigned char>(text[1])) != 0 &&
         std::isxdigit(static_cast<unsigned char>(text[2])) != 0;
}

bool IsUnreserved(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '.' || c == '_' || c == '~';
}

}  // namespace

std::string HttpFields::Get(std::string_view name) const {
  for (const auto& [field_name, value] : fields_) {
    if (boost::algorithm::iequals(field_name, name))
      return value;
  }
  return {};
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  while (!text.empty()) {
    if (StartsWithEncodedByte(text)) {
      boost::algorithm::unhex(text.substr(1, 2), std::back_inserter(decoded));
      text.remove_prefix(kEncodedByteLength);
    } else {
      decoded += text.front();
      text.remove_prefix(1);
    }
  }
  return decoded;
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      encoded += c;
    } else {
      encoded += '%';
      boost::algorithm::hex(std::string_view(&c, 1),
                            std::back_inserter(encoded));
    }
  }
  return encoded;
}

}  // namespace dandelionmill::net
