#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

namespace {

namespace fs = std::filesystem;

/// Headers, paths, topics and fields of the platform. The deadline header is
/// not among them: it is the product's own, and older than the platform's.
constexpr std::string_view Names[] = {
    "log-append",
    "log-read?",
    "/log-read",
    "log-newest",
    "log-trim",
    "log-join",
    "log-leave",
    "log-commit",
    "log-owners",
    "keyed.",
    "op/config",
    "/radishcross/",
    "Instances.Heartbeat",
    "Instances.Leave",
    "X-Radishcross-Request-Id",
    "Response-Stamp",
    "Not-Executed",
    "Expect-Instance",
    "Caller-Service",
    "Server-Load",
    "Instance-Id",
    "heartbeatAddr",
    "appAddr",
    "warmupLeft",
    "maxConcurrency",
    "trafficSplit",
    "targetLatency",
    "pathPrefix",
    "maxAttempts",
    "maxConnections",
    "healthPath",
    "maxHeaderBytes",
    "maxBodyBytes",
    "\"headerTimeout", // Quoted, since a function may have this name.
    "\"idleTimeout",   // Likewise.
    "resourceType",
    "endOffset",
    "firstOffset",
    "waitMs",
    "ttl_time",
    "minTtl",
    "writesPerS",
    "readsPerS",
    "ingressPerS",
    "egressPerS",
    "internalPortRange",
    "firstStart",
    "inTolerance",
    "machineClass",
    "heartbeatInterval",
    "faultTolerance",
    "boot.yaml",
    "RADISHCROSS_BOOT",
    "\"born\"",
};

/// Maximum number of lines in all files of the folder.
constexpr size_t MaximumPlatformLines = 1500;

const fs::path Root = RADISHCROSS_SOURCE_DIR;

std::vector<fs::path> filesBelow(const fs::path &folder) {
  std::vector<fs::path> out;
  for (const auto &it : fs::recursive_directory_iterator(folder))
    if (it.is_regular_file())
      out.push_back(it.path());
  return out;
}

std::string textOf(const fs::path &path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns "FILE: NAME" for each occurrence of a name in a file below \p
/// folder.
std::vector<std::string> findNames(const fs::path &folder) {
  std::vector<std::string> out;
  for (const auto &path : filesBelow(folder)) {
    auto text = textOf(path);
    for (auto name : Names)
      if (text.find(name) != std::string::npos)
        out.push_back(path.lexically_relative(Root).string() + ": " +
                      std::string(name));
  }
  return out;
}

} // namespace

TEST_CASE("no platform name is used outside platform/") {
  for (const auto *folder : {"Libraries", "Services"}) {
    auto files = filesBelow(Root / folder);
    // Searching an empty folder would prove nothing.
    REQUIRE(files.size() > 10);
    auto found = findNames(Root / folder);
    for (const auto &it : found)
      FAIL_CHECK(it);
    CHECK(found.empty());
  }
}

TEST_CASE("the search finds the names in platform/") {
  CHECK(findNames(Root / "platform").size() > 10);
}

TEST_CASE("platform/ stays below its size limit") {
  size_t lines = 0;
  for (const auto &path : filesBelow(Root / "platform")) {
    auto text = textOf(path);
    lines += static_cast<size_t>(std::count(text.begin(), text.end(), '\n'));
  }
  MESSAGE("platform/ has " << lines << " lines");
  CHECK(lines > 0);
  CHECK(lines < MaximumPlatformLines);
}
