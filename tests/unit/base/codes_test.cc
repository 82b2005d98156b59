#include "dandelionmill/base/codes.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "dandelionmill/base/digest.h"

using dandelionmill::base::AllCodes;
using dandelionmill::base::CodeInfo;

TEST_CASE("Result codes are unique and documented for operators", "[base]") {
  std::ifstream file(SOURCE_DIR "/docs/operators/result-codes.md");
  std::ostringstream text;
  text << file.rdbuf();
  std::set<int> seen;
  for (const CodeInfo& info : AllCodes()) {
    CHECK(seen.insert(static_cast<int>(info.code)).second);
    const std::string row = "| " + std::to_string(static_cast<int>(info.code)) +
                            " | `" + info.name + "` | " +
                            std::to_string(info.http_status) + " | " +
                            info.meaning + " |";
    CAPTURE(row);
    CHECK(text.str().find(row) != std::string::npos);
  }
}

TEST_CASE("SHA-256 matches a published value; keys compare exactly", "[base]") {
  CHECK(dandelionmill::base::Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(dandelionmill::base::ConstantTimeEquals("key", "key"));
  CHECK_FALSE(dandelionmill::base::ConstantTimeEquals("key", "kez"));
  CHECK_FALSE(dandelionmill::base::ConstantTimeEquals("key", "keys"));
}
