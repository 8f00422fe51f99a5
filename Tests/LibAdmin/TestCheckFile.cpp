#include <LibAdmin/CheckFile.h>

#include <chrono>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <optional>
#include <set>
#include <string>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

using namespace radishcross;
using base::ResultCode;

namespace {

constexpr size_t Megabyte = 1UL << 20;

/// A temporary file that is removed by the destructor.
class ScratchFile {
public:
  /// Writes \p text \p times in sequence.
  ScratchFile(const std::string &text, size_t times) {
    std::ofstream out(Path, std::ios::binary);
    for (size_t i = 0; i < times; ++i)
      out << text;
  }
  ~ScratchFile() { std::filesystem::remove(Path); }
  ScratchFile(const ScratchFile &) = delete;
  ScratchFile &operator=(const ScratchFile &) = delete;

  const std::string Path =
      (std::filesystem::temp_directory_path() /
       ("radishcross-check-" + std::to_string(getpid()) + ".json"))
          .string();
};

/// An invalid file, the expected code and a part of the location in the reason.
struct Case {
  const char *What;
  std::string Text;
  ResultCode Code;
  const char *Place;
  size_t Times = 1;
};

std::vector<Case> brokenFiles() {
  return {
      {"unknown key", R"({"services": [{"name": "a", "colour": 1}]})",
       ResultCode::UnknownKey, "services[0].colour"},
      {"duplicate key", R"({"services": [], "services": []})",
       ResultCode::DuplicateKey, "services"},
      {"wrong type", R"({"services": [{"name": 7}]})", ResultCode::WrongType,
       "services[0].name"},
      {"huge number",
       R"({"services": [{"name": "a", "limits": {"queue_length": 1e400}}]})",
       ResultCode::NumberOutOfRange, "queue_length"},
      {"deep nesting", "[", ResultCode::DocumentTooDeep, "line 1", 100000},
      {"invalid UTF-8", "{\"services\": [{\"name\": \"\xc3\x28\"}]}",
       ResultCode::DocumentNotUtf8, "line 1, column 25"},
      {"empty", "", ResultCode::DocumentEmpty, "holds nothing"},
      {"truncated", "{\"services\": [{\"name\": \"a\"",
       ResultCode::DocumentTruncated, "line 1"},
      {"50 MB", std::string(Megabyte, ' '), ResultCode::DocumentTooLarge,
       "52428800 bytes", 50},
      {"dangling reference",
       R"({"services": [{"name": "a"}], "routes": [{"name": "r",
           "match": {"path_prefix": "/"}, "service": "b",
           "rank": "standard"}]})",
       ResultCode::DanglingReference, "routes[0].service"},
  };
}

} // namespace

TEST_CASE("ten invalid files are rejected with code and location within time "
          "and memory") {
  std::set<ResultCode> codes;
  for (const auto &it : brokenFiles()) {
    CAPTURE(it.What);
    ScratchFile file(it.Text, it.Times);
    base::LastReason reason;
    auto start = std::chrono::steady_clock::now();
    CHECK_FALSE(admin::checkFile(file.Path, reason));
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
    CAPTURE(reason.line());
    CHECK(reason.code() == it.Code);
    CHECK(reason.text().find(it.Place) != std::string::npos);
    CHECK(reason.text().find('\n') == std::string::npos);
    codes.insert(reason.code());
  }
  CHECK(codes.size() == 10);
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  CHECK(usage.ru_maxrss < 256 * 1024);
}

TEST_CASE("the type of a file is recognised by its keys") {
  const std::pair<const char *, std::optional<admin::DocumentKind>> cases[] = {
      {R"({"services": [{"name": "a"}]})", admin::DocumentKind::Version},
      {R"({"node": "a"})", std::nullopt},
      {R"([1])", std::nullopt},
  };
  for (const auto &it : cases) {
    ScratchFile file(it.first, 1);
    base::LastReason reason;
    CAPTURE(it.first);
    CHECK(admin::checkFile(file.Path, reason) == it.second);
  }
  base::LastReason reason;
  ScratchFile file(R"({"node": "a"})", 1);
  CHECK_FALSE(admin::checkFile(file.Path, reason));
  CHECK(reason.code() == ResultCode::MissingKey);
  CHECK_FALSE(admin::checkFile("/nonexistent/file", reason));
  CHECK(reason.code() == ResultCode::FileUnreadable);
}
