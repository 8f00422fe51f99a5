#include <LibBase/ResultCode.h>

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace radishcross::base;

TEST_CASE("result codes are ascending and their names unique") {
  std::set<std::string_view> names;
  int last = -1;
  for (const auto &row : resultCodes()) {
    CHECK(static_cast<int>(row.Code) > last);
    last = static_cast<int>(row.Code);
    CHECK(names.insert(row.Name).second);
  }
}

TEST_CASE("docs/RESULT-CODES.md matches the table of result codes") {
  std::ifstream page(RADISHCROSS_SOURCE_DIR "/docs/RESULT-CODES.md");
  REQUIRE(page);
  std::vector<std::string> found;
  for (std::string line; std::getline(page, line);)
    if (line.size() > 2 && line[0] == '|' && std::isdigit(line[2]))
      found.push_back(line);
  std::vector<std::string> expected;
  for (const auto &row : resultCodes()) {
    std::ostringstream out;
    out << "| " << static_cast<int>(row.Code) << " | `" << row.Name << "` | "
        << row.HttpStatus << " | " << static_cast<int>(row.ExitCode) << " | "
        << row.Meaning << " |";
    expected.push_back(out.str());
  }
  CHECK(found == expected);
}
