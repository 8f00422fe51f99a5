#include <LibTrace/EntryText.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <charconv>

namespace radishcross::trace {

namespace {

namespace json = boost::json;

template <size_t Size>
void appendNumbers(std::string &out, const std::array<int64_t, Size> &numbers) {
  size_t used = Size;
  while (used > 0 && numbers[used - 1] == 0)
    --used;
  out += '[';
  for (size_t i = 0; i < used; ++i) {
    if (i > 0)
      out += ',';
    out += std::to_string(numbers[i]);
  }
  out += ']';
}

template <size_t Size>
bool readNumbers(const json::value *value, std::array<int64_t, Size> &out) {
  if (!value || !value->is_array() || value->as_array().size() > Size)
    return false;
  for (size_t i = 0; i < value->as_array().size(); ++i) {
    const auto *number = value->as_array()[i].if_int64();
    if (!number)
      return false;
    out[i] = *number;
  }
  return true;
}

bool isAscii(const std::string &text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c < 0x80; });
}

std::string toHex(const std::string &bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string out;
  for (unsigned char byte : bytes) {
    out.push_back(Digits[byte >> 4]);
    out.push_back(Digits[byte & 15]);
  }
  return out;
}

std::optional<std::string> fromHex(std::string_view digits) {
  std::string out;
  if (digits.size() % 2 != 0)
    return std::nullopt;
  for (size_t i = 0; i < digits.size(); i += 2) {
    unsigned char byte = 0;
    const char *start = digits.data() + i;
    auto [end, error] = std::from_chars(start, start + 2, byte, 16);
    if (error != std::errc() || end != start + 2)
      return std::nullopt;
    out.push_back(static_cast<char>(byte));
  }
  return out;
}

bool readText(const json::object &from, std::string &out) {
  if (const auto *text = from.if_contains("text")) {
    if (!text->is_string())
      return false;
    out = text->as_string();
    return true;
  }
  const auto *hex = from.if_contains("hex");
  if (!hex)
    return true;
  auto bytes = hex->is_string() ? fromHex(hex->as_string()) : std::nullopt;
  if (bytes)
    out = std::move(*bytes);
  return bytes.has_value();
}

} // namespace

void appendEntry(std::string &out, const Entry &entry) {
  out += "{\"at\":" + std::to_string(entry.AtMicroseconds) + ",\"module\":\"";
  out += base::nameOf(ModuleNames, entry.Source);
  out += "\",\"event\":" + std::to_string(entry.Event) + ",\"in\":";
  appendNumbers(out, entry.Numbers);
  if (!entry.Text.empty()) {
    // A record's bytes need not be UTF-8, which JSON requires.
    bool isPlainAscii = isAscii(entry.Text);
    out += isPlainAscii ? ",\"text\":" : ",\"hex\":";
    out += json::serialize(
        json::string(isPlainAscii ? entry.Text : toHex(entry.Text)));
  }
  out += ",\"out\":";
  appendNumbers(out, entry.Decided);
  out += "}\n";
}

std::optional<Entry> readEntry(const json::value &value, std::string &why) {
  auto fail = [&](const char *text) {
    why = text;
    return std::nullopt;
  };
  const auto *from = value.if_object();
  if (!from)
    return fail("expected an entry");
  Entry out;
  const auto *at = from->if_contains("at");
  if (!at || !at->is_int64())
    return fail("\"at\": expected a whole number");
  out.AtMicroseconds = at->as_int64();
  const auto *module = from->if_contains("module");
  auto source = module && module->is_string()
                    ? base::fromName(ModuleNames, module->as_string())
                    : std::nullopt;
  if (!source)
    return fail("\"module\": expected the name of a decision module");
  out.Source = *source;
  const auto *event = from->if_contains("event");
  if (!event || !event->is_int64() || event->as_int64() < 0 ||
      event->as_int64() > UINT8_MAX)
    return fail("\"event\": expected a number from 0 to 255");
  out.Event = static_cast<uint8_t>(event->as_int64());
  if (!readNumbers(from->if_contains("in"), out.Numbers))
    return fail("\"in\": expected up to 6 whole numbers");
  if (!readNumbers(from->if_contains("out"), out.Decided))
    return fail("\"out\": expected up to 4 whole numbers");
  if (!readText(*from, out.Text))
    return fail("\"text\" or \"hex\": expected a text");
  return out;
}

} // namespace radishcross::trace
