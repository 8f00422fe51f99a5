#include <LibLog/FoldDriver.h>
#include <LibLog/HeldVersions.h>
#include <LibLog/SnapshotParts.h>
#include <LibSchema/StrictJson.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <doctest/doctest.h>
#include <fstream>
#include <malloc.h>
#include <string>
#include <unistd.h>

using namespace radishcross;
using Clock = std::chrono::steady_clock;

namespace {

// The size that radishcross is designed for.
constexpr int Services = 160;
constexpr int Routes = 1000;
constexpr int ChangesPerDay = 2700;
constexpr int64_t MemoryLimitBytes = 64L << 20;

/// The control plane may use 2.2% of a core.
constexpr double CoreShare = 0.022;
constexpr double SecondsPerDay = 86400;
constexpr double SecondsPerChange = CoreShare * SecondsPerDay / ChangesPerDay;

// Sanitizers keep freed memory and slow down every access, so that measurements
// are meaningless under them. Only a tenth of the changes is run then, for the
// other checks.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool IsMeasured = false;
#else
constexpr bool IsMeasured = true;
#endif

int64_t residentBytes() {
  malloc_trim(0);
  int64_t total = 0;
  int64_t resident = 0;
  std::ifstream("/proc/self/statm") >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

int64_t allocatedBytes() {
  auto info = mallinfo2();
  return static_cast<int64_t>(info.uordblks + info.hblkhd);
}

double secondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// Returns content with \p services services and \p routes routes to them; \p
/// salt changes one route.
boost::json::value content(int services, int routes, int salt) {
  boost::json::array defined;
  for (int i = 0; i < services; ++i)
    defined.push_back(boost::json::object{{"name", "s" + std::to_string(i)}});
  boost::json::array wired;
  for (int i = 0; i < routes; ++i)
    wired.push_back(boost::json::object{
        {"name", "r" + std::to_string(i)},
        {"service", "s" + std::to_string(i % services)},
        {"rank", "standard"},
        {"deadline_ms", i == salt % routes ? 1000 + salt : 900},
        {"match",
         boost::json::object{{"methods", {"GET"}},
                             {"path_prefix", "/p" + std::to_string(i)}}}});
  return boost::json::object{{"services", std::move(defined)},
                             {"routes", std::move(wired)}};
}

/// Divides the services and routes among this many configurations.
struct Shape {
  int Configurations;
  int Versions;
};

/// Sets a host so that the routes of different configurations do not conflict.
void addHost(boost::json::value &document, const std::string &host) {
  for (auto &it : document.get_object()["routes"].get_array())
    it.get_object()["match"].get_object()["host"] = host;
}

} // namespace

TEST_CASE(
    "a day of changes at full size stays within the memory and CPU limits") {
  for (const Shape shape : {Shape{160, ChangesPerDay}, Shape{1, 200}}) {
    int64_t resident = residentBytes();
    int64_t allocated = allocatedBytes();
    int versions = IsMeasured
                       ? shape.Versions
                       : std::max(shape.Versions / 10, shape.Configurations);
    log::Fold fold;
    log::HeldVersions held("n1", {});
    double apply = 0;
    double update = 0;
    log::Offset at = 0;
    for (int i = 0; i < versions; ++i) {
      int index = i % shape.Configurations;
      auto name = "c" + std::to_string(index);
      auto document = content(Services / shape.Configurations,
                              Routes / shape.Configurations, i);
      addHost(document, name);
      auto base = static_cast<uint64_t>(i / shape.Configurations);
      auto record = log::publish("p" + std::to_string(i), name, base,
                                 std::move(document));
      auto pieces = log::splitRecord(record);
      auto start = Clock::now();
      log::RecordOutcome outcome;
      for (auto &it : pieces)
        outcome = fold.apply({++at, std::move(it)});
      apply += secondsSince(start);
      REQUIRE_MESSAGE(outcome.Code == base::ResultCode::Ok, outcome.Reason);
      start = Clock::now();
      held.update(fold);
      update += secondsSince(start);
    }
    REQUIRE(held.waiting().empty());
    REQUIRE(held.snapshot()->versions().size() ==
            static_cast<size_t>(shape.Configurations));
    int64_t grown =
        std::max(residentBytes() - resident, allocatedBytes() - allocated);
    auto start = Clock::now();
    auto text = schema::canonicalJson(fold.save());
    double save = secondsSince(start);
    base::LastReason reason;
    start = Clock::now();
    auto snapshot =
        config::Snapshot::create(held.snapshot()->versions(), 1, reason);
    double create = secondsSince(start);
    auto document = fold.save();
    start = Clock::now();
    auto loaded = log::Fold::load(document, reason);
    double load = secondsSince(start);
    REQUIRE(loaded);
    CHECK(loaded->hash() == fold.hash());
    if (!IsMeasured)
      continue;
    MESSAGE(shape.Configurations, " configurations, ", versions,
            " versions: ", grown >> 10, " KiB, apply ", apply * 1e6 / versions,
            " us, update ", update * 1e6 / versions, " us, Snapshot::create ",
            create * 1e6, " us, save ", save * 1e3, " ms, load ", load * 1e3,
            " ms, saved ", text.size() >> 10, " KiB");
    CHECK(grown < MemoryLimitBytes);
    CHECK((apply + update) / versions < SecondsPerChange);
  }
}
