#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

namespace {

namespace fs = std::filesystem;

const fs::path Root = RADISHCROSS_SOURCE_DIR;

std::string textOf(const fs::path &path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns the string literals in \p code.
std::vector<std::string> literalsOf(std::string_view code) {
  std::vector<std::string> out;
  for (size_t at = code.find('"'); at != std::string_view::npos;) {
    size_t end = code.find('"', at + 1);
    if (end == std::string_view::npos)
      break;
    out.emplace_back(code.substr(at + 1, end - at - 1));
    at = code.find('"', end + 1);
  }
  return out;
}

/// Returns the field names: the literals that directly follow a brace.
std::vector<std::string> fieldsOf(std::string_view code) {
  std::vector<std::string> out;
  for (size_t at = code.find("{\""); at != std::string_view::npos;
       at = code.find("{\"", at + 1))
    out.push_back(literalsOf(code.substr(at)).front());
  return out;
}

/// Returns the statements in \p code that write a log line.
std::vector<std::string> logStatements(const std::string &code) {
  std::vector<std::string> out;
  for (std::string_view call : {"base::log(", "lineOf(log.Settings, LogLevel"})
    for (size_t at = code.find(call); at != std::string::npos;
         at = code.find(call, at + 1))
      out.push_back(code.substr(at, code.find(';', at) - at));
  return out;
}

bool names(const std::string &page, const std::string &word) {
  return page.find("`" + word + "`") != std::string::npos;
}

} // namespace

TEST_CASE("docs/LOGS.md lists each event and field of the log") {
  auto page = textOf(Root / "docs" / "LOGS.md");
  REQUIRE_FALSE(page.empty());
  size_t statements = 0;
  for (const auto *folder : {"Libraries", "Services", "platform"})
    for (const auto &it : fs::recursive_directory_iterator(Root / folder)) {
      if (it.path().extension() != ".cpp")
        continue;
      for (const auto &statement : logStatements(textOf(it.path()))) {
        ++statements;
        CAPTURE(statement);
        size_t fields = statement.find("{{");
        auto events = literalsOf(statement.substr(0, fields));
        CHECK_FALSE(events.empty());
        for (const auto &event : events)
          CHECK_MESSAGE(names(page, event), event);
        if (fields == std::string::npos)
          continue;
        for (const auto &field : fieldsOf(statement.substr(fields)))
          CHECK_MESSAGE(names(page, field), field);
      }
    }
  CHECK(statements > 20);
}
