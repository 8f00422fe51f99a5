#include <LibLog/FoldDriver.h>
#include <LibLog/HeldVersions.h>
#include <LibLog/SnapshotParts.h>
#include <LibSchema/StrictJson.h>

#include <chrono>
#include <doctest/doctest.h>
#include <fstream>
#include <malloc.h>
#include <string>
#include <unistd.h>

using namespace radishcross;
using Clock = std::chrono::steady_clock;

namespace {

// The size to design for.
constexpr int Services = 160;
constexpr int Routes = 1000;
constexpr int ChangesADay = 2700;
constexpr size_t MemoryAimBytes = 64UL << 20;

/// Control may take 2.2% of a core.
constexpr double CoreShare = 0.022;
constexpr double SecondsADay = 86400;
constexpr double SecondsAChange = CoreShare * SecondsADay / ChangesADay;

size_t residentBytes() {
  malloc_trim(0);
  size_t total = 0;
  size_t resident = 0;
  std::ifstream("/proc/self/statm") >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

double secondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// Content with \p services services and \p routes routes to them; \p salt
/// changes one route.
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

/// One shape of the full size: so many configurations share all.
struct Shape {
  int Configurations;
  int Versions;
};

/// The hosts keep the routes of different configurations apart.
void addHost(boost::json::value &document, const std::string &host) {
  for (auto &it : document.get_object()["routes"].get_array())
    it.get_object()["match"].get_object()["host"] = host;
}

} // namespace

TEST_CASE("a day of changes at full size fits the memory and the processor") {
  for (const Shape shape : {Shape{160, ChangesADay}, Shape{1, 200}}) {
    size_t before = residentBytes();
    log::Fold fold;
    log::HeldVersions held("n1", {});
    double apply = 0;
    double update = 0;
    log::Offset at = 0;
    for (int i = 0; i < shape.Versions; ++i) {
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
    size_t grown = residentBytes() - before;
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
    MESSAGE(shape.Configurations, " configurations, ", shape.Versions,
            " versions: ", grown >> 10, " KiB, apply ",
            apply * 1e6 / shape.Versions, " us, update ",
            update * 1e6 / shape.Versions, " us, Snapshot::create ",
            create * 1e6, " us, save ", save * 1e3, " ms, load ", load * 1e3,
            " ms, saved ", text.size() >> 10, " KiB");
    CHECK(grown < MemoryAimBytes);
    CHECK((apply + update) / shape.Versions < SecondsAChange);
  }
}
