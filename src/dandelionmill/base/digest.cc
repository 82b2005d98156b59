#include "dandelionmill/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <vector>

namespace dandelionmill::base {
namespace {

// The 64-bit finalizer of MurmurHash3.
std::uint64_t Finalize(std::uint64_t hash) {
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  hash ^= hash >> 33;
  return hash;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest);
  static const char kHexDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(sizeof(digest) * 2);
  for (unsigned char byte : digest) {
    hex += kHexDigits[byte >> 4];
    hex += kHexDigits[byte & 0xF];
  }
  return hex;
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t StableHash(std::string_view data) {
  // FNV-1a alone distributes short inputs poorly.
  std::uint64_t hash = 14695981039346656037ULL;
  for (char c : data) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 1099511628211ULL;
  }
  return Finalize(hash);
}

std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second) {
  return Finalize(first * 0x9e3779b97f4a7c15ULL + second);
}

std::string RandomToken(int length) {
  static const char kAlphabet[] = "abcdefghijklmnopqrstuvwxyz012345";
  std::vector<unsigned char> bytes(static_cast<std::size_t>(length));
  RAND_bytes(bytes.data(), length);
  std::string token;
  token.reserve(bytes.size());
  for (unsigned char byte : bytes)
    token += kAlphabet[byte & 31];
  return token;
}

}  // namespace dandelionmill::base
