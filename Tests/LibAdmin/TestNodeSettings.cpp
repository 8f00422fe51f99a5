#include <LibAdmin/NodeSettings.h>
#include <LibSchema/StrictJson.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <string>

using namespace radishcross;
using base::ResultCode;

namespace {

boost::json::value goodSettings() {
  return boost::json::parse(R"({
    "node": "north-1", "data_centre": "north", "region": "south",
    "labels": {"tier": "edge"},
    "listen": {"calls": "0.0.0.0:9000", "mesh": "127.0.0.1:9001",
      "gossip": "127.0.0.1:9001", "peer": "127.0.0.1:9002",
      "targets": "127.0.0.1:9003", "administration": "127.0.0.1:9900"},
    "platform": {"addresses": ["127.0.0.1:9800"]},
    "seeds": ["127.0.0.1:9101"],
    "mesh_keys": ["0123456789abcdef0123456789abcdef"],
    "tokens": [{"name": "ops", "sha256":
      "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
      "team": "permits", "role": "publisher"}],
    "log": {"level": "warning", "format": "plain"},
    "tailers_per_data_centre": 3, "drain_seconds": 20})");
}

/// A change of one member, and the expected error.
struct Case {
  const char *Pointer;
  const char *Value; ///< JSON; empty removes the member.
  ResultCode Code;
  const char *Named; ///< Part of the reason.
};

/// Sets the member at \p pointer, or removes it when \p value is empty.
void change(boost::json::value &document, std::string_view pointer,
            std::string_view value) {
  size_t slash = pointer.rfind('/');
  auto &parent = document.at_pointer(pointer.substr(0, slash));
  auto key = pointer.substr(slash + 1);
  if (value.empty())
    parent.as_object().erase(key);
  else if (parent.is_array())
    parent.as_array().at(key[0] - '0') = boost::json::parse(value);
  else
    parent.as_object()[key] = boost::json::parse(value);
}

} // namespace

TEST_CASE("all settings are read") {
  base::LastReason reason;
  auto settings = admin::decodeNodeSettings(goodSettings(), reason);
  INFO(reason.line());
  REQUIRE(settings);
  CHECK(settings->Node == "north-1");
  CHECK(settings->Labels == config::Labels{{"data_centre", "north"},
                                           {"region", "south"},
                                           {"tier", "edge"}});
  CHECK(settings->Calls.text() == "0.0.0.0:9000");
  CHECK(settings->Peer.Port == 9002);
  CHECK(settings->Platform.at(0).Port == 9800);
  CHECK(settings->Seeds.at(0).Port == 9101);
  CHECK(settings->Tokens.at(0).GrantedRole == admin::Role::Publisher);
  CHECK(settings->Log.Level == base::LogLevel::Warning);
  CHECK(settings->Log.Format == base::LogFormat::Plain);
  CHECK(settings->Log.DataCentre == "north");
  CHECK(settings->TailersPerDataCentre == 3);
  CHECK(settings->DrainSeconds == 20);
}

TEST_CASE("features are off for a comparison only if the settings say so") {
  base::LastReason reason;
  auto plain = goodSettings();
  auto settings = admin::decodeNodeSettings(plain, reason);
  REQUIRE(settings);
  CHECK(settings->Compared == balance::FeatureToggles());
  change(plain, "/comparison",
         R"({"ranks": false, "choice_by_headroom": false})");
  settings = admin::decodeNodeSettings(plain, reason);
  REQUIRE(settings);
  CHECK(settings->Compared == balance::FeatureToggles{false, false});
}

TEST_CASE("what may be held follows from the machine's memory") {
  constexpr size_t Mebibyte = 1UL << 20;
  const std::pair<const char *, size_t> cases[] = {
      {"{}", 96},
      {R"({"machine_mb": 64})", 16},
      {R"({"machine_mb": 160})", 96},
      {R"({"machine_mb": 260})", 195},
      {R"({"machine_mb": 512})", 384},
      {R"({"machine_mb": 512, "held_mb": 100})", 100}};
  for (const auto &it : cases) {
    const auto *memory = it.first;
    const auto held = it.second;
    INFO(memory);
    auto document = goodSettings();
    change(document, "/memory", memory);
    base::LastReason reason;
    auto settings = admin::decodeNodeSettings(document, reason);
    REQUIRE(settings);
    CHECK(settings->HeldBytes == held * Mebibyte);
  }
}

TEST_CASE("the bound of allotments is read") {
  base::LastReason reason;
  auto document = goodSettings();
  auto settings = admin::decodeNodeSettings(document, reason);
  REQUIRE(settings);
  CHECK(settings->Allotments == tenants::AllotmentSettings());
  change(document, "/allotments",
         R"({"window_seconds": 7, "overshoot": 0.25, "slack": 3})");
  settings = admin::decodeNodeSettings(document, reason);
  REQUIRE_MESSAGE(settings, reason.line());
  CHECK(settings->Allotments.Window == std::chrono::seconds(7));
  CHECK(settings->Allotments.Overshoot == 0.25);
  CHECK(settings->Allotments.Slack == 3);
  change(document, "/allotments/overshoot", "1.5");
  CHECK_FALSE(admin::decodeNodeSettings(document, reason));
  CHECK(reason.code() == ResultCode::NumberOutOfRange);
}

TEST_CASE("the limits of hedges are read") {
  base::LastReason reason;
  auto document = goodSettings();
  auto settings = admin::decodeNodeSettings(document, reason);
  REQUIRE(settings);
  CHECK(settings->Hedging == balance::HedgeSettings());
  CHECK(settings->Hedging.SharePermille == 0);
  change(document, "/hedging",
         R"({"share": 0.05, "quantile": 0.9, "services": {"a/b": 0}})");
  settings = admin::decodeNodeSettings(document, reason);
  REQUIRE_MESSAGE(settings, reason.line());
  CHECK(settings->Hedging.sharePermille("a/c") == 50);
  CHECK(settings->Hedging.sharePermille("a/b") == 0);
  CHECK(settings->Hedging.QuantilePermille == 900);
  change(document, "/hedging/share", "0.3");
  CHECK_FALSE(admin::decodeNodeSettings(document, reason));
  CHECK(reason.code() == ResultCode::NumberOutOfRange);
}

TEST_CASE("seed hosts use the node's gossip port and exclude the node itself") {
  auto document = goodSettings();
  change(document, "/seed_hosts", R"(["127.0.0.7:8306", "127.0.0.1:8306"])");
  base::LastReason reason;
  auto settings = admin::decodeNodeSettings(document, reason);
  REQUIRE_MESSAGE(settings, reason.line());
  CHECK(settings->SeedHosts ==
        std::vector<base::Address>{{"127.0.0.7", settings->Gossip.Port}});
  change(document, "/seed_hosts", R"(["host"])");
  CHECK_FALSE(admin::decodeNodeSettings(document, reason));
  CHECK(reason.code() == ResultCode::BadAddress);
}

TEST_CASE("each invalid setting is reported with its key and code") {
  const Case cases[] = {
      {"/colour", "1", ResultCode::UnknownKey, "colour"},
      {"/listen/admin", "\"127.0.0.1:1\"", ResultCode::UnknownKey, "listen"},
      {"/drain_seconds", "\"30\"", ResultCode::WrongType, "drain_seconds"},
      {"/drain_seconds", "0", ResultCode::NumberOutOfRange, "drain_seconds"},
      {"/platform", "", ResultCode::MissingKey, "platform"},
      {"/log/level", "\"loud\"", ResultCode::BadValue, "log.level"},
      {"/mesh_keys/0", "\"short\"", ResultCode::BadValue, "mesh_keys"},
      {"/tokens/0/sha256", "\"xyz\"", ResultCode::BadValue, "sha256"},
      {"/listen/calls", "\"localhost:80\"", ResultCode::BadAddress,
       "listen.calls"},
      {"/listen/peer", "\"127.0.0.1:0\"", ResultCode::BadAddress,
       "listen.peer"},
      {"/listen/mesh", "\"0.0.0.0:9001\"", ResultCode::BadAddress,
       "listen.mesh"},
      {"/platform/addresses/0", "\"9800\"", ResultCode::BadAddress,
       "platform.addresses[0]"},
      {"/listen/targets", "\"127.0.0.1:9002\"", ResultCode::PortClash,
       "listen.targets"},
      {"/listen/administration", "\"127.0.0.1:9000\"", ResultCode::PortClash,
       "listen.administration"},
  };
  for (const auto &it : cases) {
    auto document = goodSettings();
    change(document, it.Pointer, it.Value);
    base::LastReason reason;
    CAPTURE(it.Pointer);
    CHECK_FALSE(admin::decodeNodeSettings(document, reason));
    CAPTURE(reason.line());
    CHECK(reason.code() == it.Code);
    CHECK(reason.text().find(it.Named) != std::string::npos);
    CHECK(reason.text().find('\n') == std::string::npos);
  }
}

TEST_CASE("two tokens cannot share a hash") {
  auto document = goodSettings();
  auto &tokens = document.at("tokens").as_array();
  tokens.push_back(boost::json::value(tokens[0]));
  base::LastReason reason;
  CHECK_FALSE(admin::decodeNodeSettings(document, reason));
  CHECK(reason.code() == ResultCode::BadValue);
}

namespace {

/// Adds the paths of all keys in a schema's object.
void addPaths(const boost::json::value &schema, const std::string &prefix,
              std::set<std::string> &out) {
  if (const auto *items = schema.as_object().if_contains("items"))
    addPaths(*items, prefix.substr(0, prefix.size() - 1) + "[].", out);
  const auto *properties = schema.as_object().if_contains("properties");
  if (!properties)
    return;
  for (const auto &[key, value] : properties->as_object()) {
    out.insert(prefix + std::string(key));
    addPaths(value, prefix + std::string(key) + ".", out);
  }
}

} // namespace

TEST_CASE("SETTINGS.md lists exactly the keys of the schema") {
  std::ifstream page(RADISHCROSS_SOURCE_DIR "/docs/SETTINGS.md");
  REQUIRE(page);
  std::set<std::string> found;
  std::string example;
  bool isExample = false;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| `"))
      found.insert(line.substr(3, line.find('`', 3) - 3));
    if (line.starts_with("```"))
      isExample = !isExample;
    else if (isExample)
      example += line;
  }
  std::set<std::string> expected;
  addPaths(boost::json::parse(admin::nodeSettingsSchemaText()), "", expected);
  CHECK(found == expected);
  base::LastReason reason;
  auto settings =
      admin::decodeNodeSettings(boost::json::parse(example), reason);
  CAPTURE(reason.line());
  CHECK(settings);
}
