#include <LibExplain/LogLine.h>

#include <boost/json/parse.hpp>
#include <charconv>
#include <utility>

namespace radishcross::explain {

namespace {

namespace json = boost::json;

constexpr std::string_view CommonFields[] = {"time_us", "level", "node",
                                             "data_centre", "event"};

bool isCommonField(std::string_view name) {
  for (auto it : CommonFields)
    if (it == name)
      return true;
  return false;
}

/// Copies the string at \p key to \p out; returns false when there is none.
bool take(const json::object &from, std::string_view key, std::string &out) {
  const auto *value = from.if_contains(key);
  if (!value || !value->is_string())
    return false;
  out = std::string(value->get_string());
  return true;
}

} // namespace

const std::string &LogLine::field(std::string_view name) const {
  static const std::string none;
  auto it = Fields.find(name);
  return it == Fields.end() ? none : it->second;
}

int64_t LogLine::number(std::string_view name) const {
  const std::string &text = field(name);
  int64_t out = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
  return ec == std::errc() && end == text.data() + text.size() ? out : 0;
}

std::optional<LogLine> parseLogLine(std::string_view text) {
  size_t start = text.find("{\"time_us\"");
  if (start == std::string_view::npos)
    return std::nullopt;
  text.remove_prefix(start);
  while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
    text.remove_suffix(1);
  boost::system::error_code ec;
  json::value value = json::parse(text, ec);
  if (ec || !value.is_object())
    return std::nullopt;
  const auto &object = value.get_object();
  const auto *time = object.if_contains("time_us");
  LogLine out;
  if (!time || !time->is_int64() || !take(object, "node", out.Node) ||
      !take(object, "event", out.Event))
    return std::nullopt;
  take(object, "data_centre", out.DataCentre);
  out.TimeUs = time->get_int64();
  for (const auto &it : object)
    if (!isCommonField(it.key()) && it.value().is_string())
      out.Fields[it.key()] = std::string(it.value().get_string());
  return out;
}

} // namespace radishcross::explain
