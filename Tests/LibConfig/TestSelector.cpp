#include <LibConfig/Selector.h>

#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using config::Selector;

namespace {

const config::Labels EdgeSouth{{"tier", "edge"}, {"region", "south"}};
const config::Labels BackWest{
    {"tier", "back"}, {"region", "west"}, {"canary", "1"}};

struct SelectorCase {
  std::string_view Text;
  std::string_view Normalised;
  bool Edge;
  bool Back;
};

Selector makeSelector(std::string_view text) {
  base::LastReason reason;
  auto selector = Selector::create(text, reason);
  REQUIRE_MESSAGE(selector, reason.text());
  return *selector;
}

} // namespace

TEST_CASE("operators match by labels and the text is normalised") {
  const SelectorCase table[] = {
      {"", "", true, true},
      {"  tier = edge ", "tier=edge", true, false},
      {"tier==edge", "tier=edge", true, false},
      {"tier!=edge", "tier!=edge", false, true},
      {"zone!=a", "zone!=a", true, true},
      {"region in (west,south , west)", "region in (south, west)", true, true},
      {"region in (west)", "region in (west)", false, true},
      {"region notin (west, east)", "region notin (east, west)", true, false},
      {"zone notin (a)", "zone notin (a)", true, true},
      {"canary", "canary", false, true},
      {"!canary", "!canary", true, false},
      {"tier=edge,!canary , region", "!canary, region, tier=edge", true, false},
      {"100%", "", true, true},
      {"0%, tier", "tier, 0%", false, false},
      {"0.50%", "0.5%", false, false},
  };
  for (const auto &row : table) {
    CAPTURE(row.Text);
    auto selector = makeSelector(row.Text);
    CHECK(selector.matches("node-1", EdgeSouth) == row.Edge);
    CHECK(selector.matches("node-1", BackWest) == row.Back);
    CHECK(selector.text() == row.Normalised);
    CHECK(makeSelector(selector.text()).text() == row.Normalised);
  }
}

TEST_CASE("a higher percentage keeps every node of a lower one") {
  constexpr int Nodes = 4000;
  size_t last = 0;
  std::vector<bool> selected(Nodes);
  for (uint32_t percent : {0, 1, 5, 20, 50, 99, 100}) {
    auto selector = makeSelector(std::to_string(percent) + "%");
    size_t n = 0;
    for (int i = 0; i < Nodes; ++i) {
      bool now = selector.matches("node-" + std::to_string(i), EdgeSouth);
      CHECK_FALSE((selected[i] && !now));
      selected[i] = now;
      n += now ? 1 : 0;
    }
    CHECK(n >= last);
    CHECK(n >= Nodes * percent / 100 * 8 / 10);
    CHECK(n <= Nodes * percent / 100 * 12 / 10);
    last = n;
  }
}

TEST_CASE("a malformed selector is rejected with the column") {
  const std::pair<std::string, std::string_view> table[] = {
      {"=edge", "column 1"},
      {"tier=", "column 6"},
      {"tier=edge,", "column 11"},
      {"tier edge", "column 10"},
      {"region in west", "column 11"},
      {"region in (west", "column 16"},
      {"region in ()", "column 12"},
      {"101%", "column 5"},
      {"5%,6%", "column 6"},
      {"1.234%", "column 7"},
      {"x%", "column 3"},
      {"a;b", "column 2"},
      {"!", "column 2"},
      {std::string(5000, 'a'), "column 1"},
      {std::string(200, 'a'), "column"},
  };
  for (const auto &row : table) {
    const auto &text = row.first;
    CAPTURE(text.substr(0, 30));
    base::LastReason reason;
    CHECK_FALSE(Selector::create(text, reason));
    CHECK(reason.code() == base::ResultCode::BadSelector);
    CAPTURE(reason.text());
    CHECK(reason.text().starts_with(row.second));
  }
}
