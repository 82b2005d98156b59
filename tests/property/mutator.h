#ifndef TESTS_PROPERTY_MUTATOR_H_
#define TESTS_PROPERTY_MUTATOR_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace tests {

// Mutates valid inputs: overwrites bytes, and erases spans, duplicates them or
// replaces them by tokens that often break parsers. Deterministic for a seed.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  // Returns `valid` after one to four mutations.
  std::string Mutate(const std::string& valid) {
    std::string text = valid;
    const std::size_t mutations = 1 + RandomBelow(4);
    for (std::size_t i = 0; i < mutations; ++i)
      MutateOnce(text);
    return text;
  }

  // Returns a pseudo-random number below `limit`, which must be at least 1.
  std::size_t RandomBelow(std::size_t limit) { return random_() % limit; }

 private:
  void MutateOnce(std::string& text) {
    static const std::array<std::string, 20> kTokens = {"null",
                                                        "-1",
                                                        "0",
                                                        "1e999",
                                                        "18446744073709551615",
                                                        "1.5",
                                                        "\"\"",
                                                        "\"\\ud800\"",
                                                        "{}",
                                                        "[]",
                                                        "[[[[[[[[[[[[[[[[",
                                                        "{\"a\":",
                                                        "\"",
                                                        "\\",
                                                        std::string(1, '\0'),
                                                        "\xff\xfe",
                                                        "true",
                                                        "//",
                                                        ",",
                                                        ":"};
    const std::size_t position = RandomBelow(text.size() + 1);
    const std::size_t length =
        std::min(text.size() - position, RandomBelow(12));
    switch (RandomBelow(4)) {
      case 0:
        if (position < text.size())
          text[position] = static_cast<char>(RandomBelow(256));
        break;
      case 1:
        text.erase(position, length);
        break;
      case 2:
        text.insert(position, text.substr(position, length));
        break;
      default:
        text.replace(position, length, kTokens[RandomBelow(kTokens.size())]);
    }
  }

  std::mt19937_64 random_;
};

}  // namespace tests

#endif  // TESTS_PROPERTY_MUTATOR_H_
