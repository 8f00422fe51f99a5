#pragma once

#include <LibBase/Random.h>

#include <boost/json/value.hpp>
#include <span>
#include <string>
#include <string_view>

namespace radishcross::test {

/// Tokens to insert into JSON texts and selectors.
constexpr std::string_view DocumentTokens[] = {
    "\"",      "\\",   "{",     "}",  "[",    "]",
    ",",       ":",    "1e999", "-1", "null", "18446744073709551616",
    "\\u0000", "\xFF", "(",     ")",  "%",    " in "};

/// Tokens to insert into HTTP messages.
constexpr std::string_view MessageTokens[] = {
    "\r\n",
    "\r\n\r\n",
    "\n",
    "\r",
    " ",
    "\t",
    ":",
    ",",
    ";",
    "0\r\n\r\n",
    "HTTP/1.0",
    "GET / HTTP/1.1\r\n",
    "Content-Length: 0\r\n",
    "Content-Length: 3\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Connection: close\r\n",
    "Connection: Host, Content-Length\r\n",
    "Host: b\r\n",
    "Expect: 100-continue\r\n",
    "Upgrade: h2c\r\n",
    "18446744073709551616",
    "-1",
    "/../",
    "%2e",
    "\x7F",
    "\xFF"};

/// Mutates valid inputs at random, by bytes or by JSON values. Equal seeds give
/// equal mutations.
class Mutator {
public:
  explicit Mutator(uint64_t seed,
                   std::span<const std::string_view> tokens = DocumentTokens)
      : Generator(seed), Tokens(tokens) {}

  /// Returns \p text with a few bytes changed, removed, duplicated or inserted.
  std::string bytes(std::string text) {
    for (uint64_t n = 1 + Generator.below(4); n > 0; --n) {
      size_t at = Generator.below(text.size() + 1);
      size_t length = Generator.below(8);
      switch (Generator.below(5)) {
      case 0:
        text.insert(at, 1, static_cast<char>(Generator.below(256)));
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(Generator.below(text.size() + 1), length));
        break;
      case 3:
        text.insert(at, Tokens[Generator.below(Tokens.size())]);
        break;
      default:
        if (at < text.size())
          text[at] = static_cast<char>(text[at] ^ (1U << Generator.below(8)));
      }
    }
    return text;
  }

  /// Replaces, removes or duplicates one value somewhere in \p document.
  void value(boost::json::value &document) {
    auto *at = &document;
    while (Generator.below(4) != 0) {
      auto *next = child(*at);
      if (!next)
        break;
      at = next;
    }
    auto *list = at->if_array();
    auto *object = at->if_object();
    if (list && !list->empty() && Generator.below(2) == 0)
      list->push_back(boost::json::value((*list)[0]));
    else if (object && !object->empty() && Generator.below(2) == 0)
      object->erase(object->begin() + Generator.below(object->size()));
    else
      *at = replacement();
  }

private:
  boost::json::value *child(boost::json::value &of) {
    if (auto *list = of.if_array())
      return list->empty() ? nullptr : &(*list)[Generator.below(list->size())];
    auto *object = of.if_object();
    if (!object || object->empty())
      return nullptr;
    return &(object->begin() + Generator.below(object->size()))->value();
  }

  boost::json::value replacement() {
    switch (Generator.below(8)) {
    case 0:
      return nullptr;
    case 1:
      return -1;
    case 2:
      return UINT64_MAX;
    case 3:
      return "";
    case 4:
      return boost::json::array{};
    case 5:
      return boost::json::object{};
    case 6:
      return 0.5;
    default:
      return Generator.below(4);
    }
  }

  base::Random Generator;
  std::span<const std::string_view> Tokens;
};

/// Number of inputs for each decoder; fewer under the sanitizers, where all of
/// them would take over a minute.
#if defined(__SANITIZE_ADDRESS__)
constexpr int MutatedInputs = 10000;
#else
constexpr int MutatedInputs = 200000;
#endif

} // namespace radishcross::test
