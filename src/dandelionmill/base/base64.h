#ifndef SRC_DANDELIONMILL_BASE_BASE64_H_
#define SRC_DANDELIONMILL_BASE_BASE64_H_

#include <optional>
#include <string>

namespace dandelionmill::base {

// Returns `bytes` in base64 with padding, without line breaks.
std::string EncodeBase64(const std::string& bytes);

// Returns nullopt when `text` is not valid base64 with padding.
std::optional<std::string> DecodeBase64(const std::string& text);

}  // namespace dandelionmill::base

#endif  // SRC_DANDELIONMILL_BASE_BASE64_H_
