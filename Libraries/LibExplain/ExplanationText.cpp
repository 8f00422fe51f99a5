#include <LibExplain/Explanation.h>

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdio>
#include <ctime>

namespace radishcross::explain {

namespace {

namespace json = boost::json;

constexpr int64_t UsPerSecond = 1'000'000;
constexpr int64_t UsPerMs = 1000;

/// Returns the time of day, UTC, with milliseconds.
std::string timeText(int64_t us) {
  std::time_t seconds = us / UsPerSecond;
  std::tm groups{};
  std::array<char, 16> buf{};
  if (us < 0 || !::gmtime_r(&seconds, &groups) ||
      std::strftime(buf.data(), buf.size(), "%H:%M:%S", &groups) == 0)
    return std::to_string(us);
  std::array<char, 8> ms{};
  std::snprintf(ms.data(), ms.size(), ".%03d",
                static_cast<int>(us % UsPerSecond / UsPerMs));
  return std::string(buf.data()) + ms.data();
}

void addList(std::string &out, std::string_view title,
             const std::vector<std::string> &lines) {
  for (const auto &it : lines)
    out += std::string(title) + ": " + it + "\n";
}

json::array arrayOf(const std::vector<std::string> &lines) {
  json::array out;
  for (const auto &it : lines)
    out.emplace_back(it);
  return out;
}

} // namespace

std::string explanationText(const Explanation &explanation) {
  std::string out = "request " + explanation.RequestId + "\n";
  size_t number = 0;
  for (const auto &it : explanation.Hops)
    out += std::to_string(++number) + ". " + timeText(it.AtUs) + " " + it.Node +
           " " + it.What + "\n";
  addList(out, "believed", explanation.Observations);
  addList(out, "missing node", explanation.MissingNodes);
  addList(out, "gap", explanation.Gaps);
  out += "lines: " + std::to_string(explanation.Lines) + " read, " +
         std::to_string(explanation.Garbled) + " garbled or cut";
  if (explanation.Omitted > 0)
    out +=
        ", " + std::to_string(explanation.Omitted) + " of the request left out";
  return out + "\ncause: " + explanation.CauseText + "\n";
}

json::value explanationJson(const Explanation &explanation) {
  json::array hops;
  for (const auto &it : explanation.Hops)
    hops.push_back(json::object{
        {"node", it.Node}, {"time_us", it.AtUs}, {"what", it.What}});
  return json::object{{"request", explanation.RequestId},
                      {"hops", std::move(hops)},
                      {"believed", arrayOf(explanation.Observations)},
                      {"missing_nodes", arrayOf(explanation.MissingNodes)},
                      {"gaps", arrayOf(explanation.Gaps)},
                      {"lines", explanation.Lines},
                      {"garbled", explanation.Garbled},
                      {"omitted", explanation.Omitted},
                      {"code", static_cast<int>(explanation.Cause)},
                      {"cause", explanation.CauseText}};
}

} // namespace radishcross::explain
