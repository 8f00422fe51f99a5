#pragma once

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::tests {

/// A message that all parsers interpret alike.
struct StrictMessage {
  std::string Start[3]; ///< The parts of the start line.
  std::multimap<std::string, std::string> Fields; ///< By lower-case name.
  std::string Body;
};

/// Parses HTTP/1.1 messages as strictly as RFC 9112 allows, independently of
/// the program's own parser and without leniency.
class StrictReader {
public:
  explicit StrictReader(std::string_view bytes) : Left(bytes) {}

  bool atEnd() const { return Left.empty(); }

  std::optional<StrictMessage> request() {
    StrictMessage out;
    if (!readHead(out) || !isToken(out.Start[0]) || out.Start[1][0] != '/' ||
        out.Start[2] != "HTTP/1.1" || out.Fields.count("host") != 1 ||
        out.Fields.count("transfer-encoding") != 0)
      return std::nullopt;
    return readBody(out) ? std::optional(out) : std::nullopt;
  }

  std::optional<StrictMessage> response() {
    StrictMessage out;
    if (!readHead(out) || out.Start[0] != "HTTP/1.1" ||
        out.Start[1].size() != 3 || out.Fields.count("transfer-encoding") != 0)
      return std::nullopt;
    bool hasNoBody = out.Start[1] == "204" || out.Start[1] == "304" ||
                     out.Start[1][0] == '1';
    if (!hasNoBody && out.Fields.count("content-length") != 1)
      return std::nullopt;
    return hasNoBody || readBody(out) ? std::optional(out) : std::nullopt;
  }

private:
  static bool isToken(std::string_view text) {
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
      return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
             Marks.find(c) != std::string_view::npos;
    });
  }

  static bool isControl(char c) {
    auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7f;
  }

  std::optional<std::string_view> line() {
    size_t end = Left.find("\r\n");
    if (end == std::string_view::npos)
      return std::nullopt;
    auto out = Left.substr(0, end);
    Left.remove_prefix(end + 2);
    return out;
  }

  bool readStart(StrictMessage &out) {
    auto text = line();
    // Only the reason phrase of a response may contain tabs (RFC 9112, 4).
    if (!text || std::any_of(text->begin(), text->end(),
                             [](char c) { return isControl(c) && c != '\t'; }))
      return false;
    size_t first = text->find(' ');
    size_t second =
        first == std::string_view::npos ? first : text->find(' ', first + 1);
    if (second == std::string_view::npos)
      return false;
    out.Start[0] = text->substr(0, first);
    out.Start[1] = text->substr(first + 1, second - first - 1);
    out.Start[2] = text->substr(second + 1);
    return !out.Start[0].empty() && !out.Start[1].empty() &&
           out.Start[0].find('\t') == std::string::npos &&
           out.Start[1].find('\t') == std::string::npos;
  }

  bool readHead(StrictMessage &out) {
    if (!readStart(out))
      return false;
    while (auto text = line()) {
      if (text->empty())
        return true;
      size_t colon = text->find(':');
      if (colon == std::string_view::npos || !isToken(text->substr(0, colon)))
        return false;
      std::string name(text->substr(0, colon));
      std::transform(name.begin(), name.end(), name.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      });
      auto value = text->substr(colon + 1);
      while (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
      if (std::any_of(value.begin(), value.end(),
                      [](char c) { return isControl(c) && c != '\t'; }))
        return false;
      out.Fields.emplace(std::move(name), value);
    }
    return false;
  }

  bool readBody(StrictMessage &out) {
    if (out.Fields.count("content-length") > 1)
      return false;
    auto it = out.Fields.find("content-length");
    uint64_t length = 0;
    if (it != out.Fields.end()) {
      const auto &text = it->second;
      auto [end, ec] =
          std::from_chars(text.data(), text.data() + text.size(), length);
      if (ec != std::errc() || end != text.data() + text.size())
        return false;
    }
    if (length > Left.size())
      return false;
    out.Body = Left.substr(0, length);
    Left.remove_prefix(length);
    return true;
  }

  std::string_view Left;
};

} // namespace radishcross::tests
