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

  // Returns an HTTP message like `valid`, whose framing and status are mutated
  // too. Now and then a part of it is repeated up to `max_bytes`.
  std::string MutateMessage(const std::string& valid, std::size_t max_bytes) {
    static const std::array<std::string, 16> kTokens = {
        "\r\n",
        "\n",
        "\r",
        "\r\n\r\n",
        "0\r\n\r\n",
        "0\r\n",
        "ffffffffffffffff\r\n",
        "10000000000000000\r\n",
        "3;a=\"b\"\r\nabc\r\n",
        "A: b\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\n",
        "Content-Length: 18446744073709551615\r\n",
        "HTTP/1.1 000 X\r\n\r\n",
        "HTTP/1.1 103 X\r\n\r\n",
        "HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n"};
    std::string text = RandomBelow(4) == 0 ? Mutate(valid) : valid;
    const std::size_t line_end = text.find('\r');
    if (RandomBelow(4) == 0 && line_end != std::string::npos) {
      // Mostly the status.
      text.replace(RandomBelow(line_end + 1), RandomBelow(4),
                   std::to_string(RandomBelow(1100)));
    }
    for (std::size_t i = RandomBelow(4); i > 0; --i) {
      text.replace(RandomBelow(text.size() + 1), RandomBelow(3),
                   kTokens[RandomBelow(kTokens.size())]);
    }
    if (RandomBelow(100) == 0 && !text.empty()) {
      const std::size_t position = RandomBelow(text.size());
      const std::string part = text.substr(position, 1 + RandomBelow(12));
      const std::size_t bytes = RandomBelow(max_bytes);
      std::string repeated;
      while (repeated.size() < bytes)
        repeated += part;
      text.insert(position, repeated);
    }
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
