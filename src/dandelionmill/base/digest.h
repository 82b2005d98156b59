#ifndef SRC_DANDELIONMILL_BASE_DIGEST_H_
#define SRC_DANDELIONMILL_BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionmill::base {

// Returns the SHA-256 digest of `data` as 64 lowercase hexadecimal digits.
std::string Sha256Hex(std::string_view data);

// Compares two strings in a time that depends only on their lengths, for
// secrets such as API keys.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

// Returns a 64-bit hash of `data` that is the same in every process and
// release. Not cryptographically secure.
std::uint64_t StableHash(std::string_view data);

// Returns a hash of the ordered pair of two such hashes, with the same
// properties.
std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second);

// Returns `length` random characters out of a-z and 0-5 (5 bits each) from
// OpenSSL's cryptographic random generator.
std::string RandomToken(int length);

}  // namespace dandelionmill::base

#endif  // SRC_DANDELIONMILL_BASE_DIGEST_H_
