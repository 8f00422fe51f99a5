#include <LibChart/Chart.h>

#include <doctest/doctest.h>

using namespace radishcross;
using base::ResultCode;
using chart::Chart;
using chart::Machine;

namespace {

constexpr std::string_view Door = R"({"initial": "shut", "states": {
  "shut": {"on": {"open": {"to": "ajar", "do": ["count", "creak"]}}},
  "ajar": {"on": {"close": {"to": "shut", "do": ["count"]},
                  "remove": {"to": "gone"}}},
  "gone": {}}})";

struct Hinge {
  int Counted = 0;
  int Creaks = 0;
  void count() { ++Counted; }
  void creak() { ++Creaks; }
};

} // namespace

TEST_CASE("a state machine follows its chart and ignores other events") {
  base::LastReason reason;
  const auto chart = Chart::create(Door, {"creak", "count"}, reason);
  REQUIRE(chart);
  Hinge hinge;
  Machine<Hinge> machine(*chart, {&Hinge::creak, &Hinge::count});
  CHECK_FALSE(machine.dispatch(hinge, "close"));
  CHECK(machine.dispatch(hinge, "open"));
  CHECK(machine.stateName() == "ajar");
  CHECK(machine.dispatch(hinge, "close"));
  CHECK(machine.dispatch(hinge, "open"));
  CHECK(machine.dispatch(hinge, "remove"));
  CHECK_FALSE(machine.dispatch(hinge, "open"));
  CHECK(machine.stateName() == "gone");
  CHECK(hinge.Counted == 3);
  CHECK(hinge.Creaks == 2);
}

TEST_CASE("an invalid chart is rejected with its code and location") {
  struct Row {
    std::string_view Text;
    ResultCode Code;
    std::string_view Place;
  };
  const Row rows[] = {
      {"", ResultCode::ChartMalformed, "not a JSON object"},
      {"[]", ResultCode::ChartMalformed, "not a JSON object"},
      {R"({"initial": "a"})", ResultCode::ChartMalformed, "\"states\""},
      {R"({"states": {"a": {}}})", ResultCode::ChartMalformed, "\"initial\""},
      {R"({"initial": "b", "states": {"a": {}}})",
       ResultCode::ChartUnknownState, "\"b\""},
      {R"({"initial": "a", "states": {"a": []}})", ResultCode::ChartMalformed,
       "state \"a\""},
      {R"({"initial": "a", "states": {"a": {"no": {}}}})",
       ResultCode::ChartMalformed, "unknown key \"no\""},
      {R"({"initial": "a", "states": {"a": {"on": {"x": {"to": "b"}}}}})",
       ResultCode::ChartUnknownState, "\"b\""},
      {R"({"initial": "a", "states": {"a": {"on": {"x": {}}}}})",
       ResultCode::ChartMalformed, "on \"x\""},
      {R"({"initial": "a", "states": {"a": {}, "b": {}}})",
       ResultCode::ChartUnreachableState, "\"b\""},
      {R"({"initial": "a", "states":
           {"a": {"on": {"x": {"to": "a", "do": ["fly"]}}}}})",
       ResultCode::ChartUnboundAction, "\"fly\""},
      {R"({"initial": "a", "states":
           {"a": {"on": {"x": {"to": "a", "do": "fly"}}}}})",
       ResultCode::ChartMalformed, "array"},
  };
  for (const auto &row : rows) {
    CAPTURE(row.Text);
    base::LastReason reason;
    CHECK_FALSE(Chart::create(row.Text, {"run"}, reason));
    CHECK(reason.code() == row.Code);
    CHECK(reason.text().find(row.Place) != std::string::npos);
  }
}
