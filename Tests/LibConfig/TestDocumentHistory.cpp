#include <LibBase/Random.h>
#include <LibConfig/Difference.h>
#include <LibConfig/DocumentHistory.h>
#include <LibSchema/StrictJson.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using boost::json::parse;

namespace {

/// Returns \p last with routes randomly inserted, removed and swapped.
boost::json::value nextDocument(const boost::json::value &last,
                                base::Random &random) {
  auto routes = last.at("routes").get_array();
  for (uint64_t i = random.below(4); i > 0; --i) {
    size_t at = random.below(routes.size() + 1);
    if (at == routes.size() || random.below(3) == 0)
      routes.insert(routes.begin() + at,
                    boost::json::object{{"name", random.below(1000)}});
    else if (random.below(2) == 0)
      routes.erase(routes.begin() + at);
    else
      std::swap(routes[at], routes[random.below(routes.size())]);
  }
  return boost::json::object{{"routes", std::move(routes)},
                             {"note", random.below(3)}};
}

} // namespace

TEST_CASE("DocumentHistory returns every kept version as it was appended") {
  base::Random random(7);
  config::DocumentHistory history;
  std::vector<boost::json::value> documents{parse(R"({"routes":[]})")};
  for (int i = 0; i < 400; ++i)
    documents.push_back(nextDocument(documents.back(), random));
  for (size_t i = 0; i < documents.size(); ++i)
    history.append(i + 1, config::splitDocument(documents[i]));
  for (int i = 0; i < 100; ++i)
    history.dropOldest();
  auto loaded = config::DocumentHistory::load(history.save());
  REQUIRE(loaded);
  CHECK(loaded->save() == history.save());
  CHECK(history.oldest() == 101);
  CHECK_FALSE(history.find(100));
  for (size_t i = 100; i < documents.size(); i += 7) {
    auto pieces = loaded->find(i + 1);
    REQUIRE(pieces);
    CHECK(schema::canonicalJson(*config::joinDocument(*pieces)) ==
          schema::canonicalJson(documents[i]));
    CHECK(config::hashOf(*pieces) ==
          config::hashOf(config::splitDocument(documents[i])));
  }
}

TEST_CASE(
    "the size of a DocumentHistory follows the changes, not the document") {
  boost::json::array routes;
  for (int i = 0; i < 1000; ++i)
    routes.push_back(boost::json::object{{"name", "r" + std::to_string(i)},
                                         {"service", "s"}});
  config::DocumentHistory history;
  for (uint64_t i = 1; i <= 100; ++i) {
    routes[i * 7].get_object()["deadline_ms"] = i;
    history.append(
        i, config::splitDocument(boost::json::object{{"routes", routes}}));
  }
  size_t one = boost::json::serialize(routes).size();
  CHECK(boost::json::serialize(history.save()).size() < 2 * one);
}

TEST_CASE("malformed histories and document pieces are rejected") {
  for (const char *text :
       {"{}", "[1]", R"([{"number":0,"edits":[]}])",
        R"([{"number":2,"edits":[]},{"number":1,"edits":[]}])",
        R"([{"number":1,"edits":[{"at":1,"removed":0,"inserted":[]}]}])",
        R"([{"number":1,"edits":[{"at":0,"removed":1,"inserted":[]}]}])",
        R"([{"number":1,"edits":[{"at":0,"removed":0,"inserted":[3]}]}])"}) {
    CAPTURE(text);
    CHECK_FALSE(config::DocumentHistory::load(parse(text)));
  }
  for (const char *piece : {"", "x", ",1", "[1", "=\"a\":", "=\"a\":1,\"b\":2"})
    CHECK_FALSE(config::joinDocument({piece}));
  CHECK_FALSE(config::joinDocument({"[\"a\"", "[\"a\""}));
}

TEST_CASE("a difference includes limits, splits and attempts") {
  auto older = parse(R"({"routes":[{"name":"r","service":"s"}],
    "limits":{"body_bytes":1,"header_bytes":2000}})");
  auto newer = parse(R"({"routes":[{"name":"r","max_attempts":2,
    "split":[{"service":"s","weight":1},{"service":"t","weight":3}]}],
    "limits":{"body_bytes":9,"header_bytes":2000}})");
  auto split = R"([{"service":"s","weight":1},{"service":"t","weight":3}])";
  CHECK(schema::canonicalJson(config::difference(older, newer, 4096)) ==
        R"({"limits":{"changed":{"body_bytes":[1,9]}},)"
        R"("routes":{"changed":{"r":{"max_attempts":[null,2],)"
        R"("service":["s",null],"split":[null,)" +
            std::string(split) + "]}}}}");
  CHECK(schema::canonicalJson(config::difference(older, newer, 16)) ==
        R"({"limits":{"changed":1},"routes":{"changed":1}})");
  CHECK(schema::canonicalJson(
            config::difference(older, parse(R"({"routes":[]})"), 4096)) ==
        R"({"limits":{"changed":{"body_bytes":[1,null],)"
        R"("header_bytes":[2000,null]}},"routes":{"removed":["r"]}})");
}

TEST_CASE("a difference lists added, removed and changed elements") {
  auto older = parse(R"({"services":[{"name":"s"},{"name":"t"}],
    "routes":[{"name":"r","service":"s","rank":"critical"}]})");
  auto newer = parse(R"({"services":[{"name":"s"},{"name":"u"}],
    "routes":[{"name":"r","service":"u","deadline_ms":5}]})");
  CHECK(schema::canonicalJson(config::difference(older, newer, 4096)) ==
        R"({"routes":{"changed":{"r":{"deadline_ms":[null,5],)"
        R"("rank":["critical",null],"service":["s","u"]}}},)"
        R"("services":{"added":["u"],"removed":["t"]}})");
  CHECK(config::difference(older, older, 4096).get_object().empty());
  CHECK(schema::canonicalJson(config::difference(older, newer, 16)) ==
        R"({"routes":{"changed":1},"services":{"added":1,"removed":1}})");
  CHECK(schema::canonicalJson(config::difference(nullptr, older, 4096)) ==
        R"({"routes":{"added":["r"]},"services":{"added":["s","t"]}})");
}
