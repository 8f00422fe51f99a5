#include <LibExplain/LineSplitter.h>
#include <LibExplain/LogCollection.h>
#include <LibExplain/LogLine.h>

#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

using namespace radishcross;
using explain::LineSplitter;
using explain::LogCollection;
using explain::parseLogLine;

namespace {

const std::string Whole =
    R"({"time_us":7,"level":"info","node":"n1","data_centre":"mobile",)"
    R"("event":"call ended","request":"r1","code":"5003"})";

std::vector<std::string> split(const std::string &text, size_t at) {
  std::vector<std::string> out;
  LineSplitter splitter([&](std::string_view it) { out.emplace_back(it); });
  splitter.add(text.substr(0, at));
  splitter.add(text.substr(at));
  splitter.end();
  return out;
}

} // namespace

TEST_CASE("a line is parsed, also behind the prefix of a log collector") {
  for (const auto &text :
       {Whole, "12.3 n1 | " + Whole, Whole + "\r", Whole + " "}) {
    CAPTURE(text);
    auto line = parseLogLine(text);
    REQUIRE(line);
    CHECK(line->TimeUs == 7);
    CHECK(line->Node == "n1");
    CHECK(line->DataCentre == "mobile");
    CHECK(line->Event == "call ended");
    CHECK(line->field("request") == "r1");
    CHECK(line->number("code") == 5003);
    CHECK(line->number("request") == 0);
    CHECK(line->field("none").empty());
  }
}

TEST_CASE(
    "lines that are truncated, garbled or not of a node are only counted") {
  for (size_t n = 1; n < Whole.size(); ++n) {
    CAPTURE(n);
    CHECK_FALSE(parseLogLine(Whole.substr(0, n)));
    CHECK_FALSE(parseLogLine(Whole.substr(n)));
  }
  for (const char *text :
       {"[]", "null", R"({"time_us":"7","node":"a","event":"b"})",
        R"({"time_us":7,"node":4,"event":"b"})", R"({"time_us":7,"node":"a"})"})
    CHECK_FALSE(parseLogLine(text));
  LogCollection lines("r1");
  lines.add(Whole.substr(0, 40));
  lines.add("");
  lines.add("   \r");
  lines.add("no line of a node");
  lines.add(Whole);
  CHECK(lines.lines() == 3);
  CHECK(lines.garbled() == 2);
  CHECK(lines.requestLines().size() == 1);
}

TEST_CASE("random bytes do not break the parser") {
  std::mt19937 random(11);
  LogCollection lines("r1");
  for (int i = 0; i < 20000; ++i) {
    std::string text = Whole;
    for (unsigned n = random() % 6; n > 0; --n)
      text[random() % text.size()] = static_cast<char>(random());
    lines.add(text);
  }
  CHECK(lines.garbled() > 0);
  CHECK(lines.requestLines().size() <= LogCollection::MaxRequestLines);
}

TEST_CASE("lines are split the same wherever the input is cut") {
  const std::string text = "one\ntwo\n\nthree";
  for (size_t at = 0; at <= text.size(); ++at) {
    CAPTURE(at);
    CHECK(split(text, at) ==
          std::vector<std::string>{"one", "two", "", "three"});
  }
}

TEST_CASE("a line without a line break takes bounded memory") {
  size_t longest = 0;
  LineSplitter splitter(
      [&](std::string_view it) { longest = std::max(longest, it.size()); });
  for (int i = 0; i < 100; ++i)
    splitter.add(std::string(10000, 'x'));
  splitter.end();
  CHECK(longest == LineSplitter::MaxLineBytes);
}

TEST_CASE("the versions and request lines kept are bounded") {
  LogCollection lines("r1");
  for (size_t i = 0; i < LogCollection::MaxKeptPerNode + 10; ++i)
    lines.add(
        R"({"time_us":)" + std::to_string(i) +
        R"(,"node":"n1","event":"version in force","configuration":"a","version":")" +
        std::to_string(i) + R"("})");
  for (size_t i = 0; i < LogCollection::MaxRequestLines + 3; ++i)
    lines.add(Whole);
  CHECK(lines.nodes().at("n1").Versions.size() ==
        LogCollection::MaxKeptPerNode);
  CHECK(lines.requestLines().size() == LogCollection::MaxRequestLines);
  CHECK(lines.omitted() == 3);
  REQUIRE(lines.versionAt("n1", "a", 100));
  CHECK(lines.versionAt("n1", "a", 100)->Version == "100");
  CHECK_FALSE(lines.versionAt("n1", "a", 5));
  CHECK_FALSE(lines.versionAt("n2", "a", 100));
}
