#include <LibConfig/VersionContentCodec.h>
#include <LibLog/FoldDriver.h>
#include <LibSchema/StrictJson.h>
#include <MutateInputs.h>

#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using test::mutateBytes;
using test::mutateValues;
using test::Mutator;

namespace {

constexpr int Inputs = test::MutatedInputs;

// Each function returns whether the input was accepted, and checks that an
// accepted input can be written and read again.

bool tryJson(const std::string &text) {
  base::LastReason reason;
  auto read = schema::parseStrictJson(text, {}, reason);
  if (!read)
    return false;
  auto again =
      schema::parseStrictJson(schema::canonicalJson(*read), {}, reason);
  REQUIRE(again);
  REQUIRE(schema::canonicalJson(*again) == schema::canonicalJson(*read));
  return true;
}

bool tryRecord(const std::string &text) {
  base::LastReason reason;
  auto read = log::decodeRecord(text, reason);
  if (!read)
    return false;
  auto again = log::decodeRecord(log::encodeRecord(*read), reason);
  REQUIRE(again);
  REQUIRE(again->Body == read->Body);
  return true;
}

bool trySelector(const std::string &text) {
  base::LastReason reason;
  auto read = config::Selector::create(text, reason);
  if (!read)
    return false;
  auto again = config::Selector::create(read->text(), reason);
  REQUIRE_MESSAGE(again, text);
  REQUIRE(again->text() == read->text());
  const config::Labels labels{{"tier", "edge"}};
  REQUIRE(again->matches("n1", labels) == read->matches("n1", labels));
  return true;
}

bool tryContent(const boost::json::value &document) {
  base::LastReason reason;
  auto read = config::decodeVersionContent(document, reason);
  if (!read)
    return false;
  auto written = config::encodeVersionContent(*read);
  auto again = config::decodeVersionContent(written, reason);
  REQUIRE_MESSAGE(again, reason.text());
  REQUIRE(config::encodeVersionContent(*again) == written);
  return true;
}

bool tryState(const boost::json::value &document) {
  base::LastReason reason;
  auto read = log::Fold::load(document, reason);
  if (!read)
    return false;
  auto again = log::Fold::load(read->save(), reason);
  REQUIRE_MESSAGE(again, reason.text());
  REQUIRE(again->hash() == read->hash());
  log::StoredRecord next{read->offset() + 1,
                         log::encodeRecord(log::makeDetach("x", {}, {"a"}))};
  read->apply(next);
  again->apply(next);
  REQUIRE(again->hash() == read->hash());
  return true;
}

const boost::json::value Content = log::contentOf({"s", "t"}, {"r>s"});

} // namespace

TEST_CASE("decoders accept no mutated input partially") {
  mutateBytes(1, boost::json::serialize(Content), tryJson);
  mutateBytes(2, log::encodeRecord(log::publish("p1", "a", 0, Content)),
              tryRecord);
  mutateBytes(3, "tier=edge, region in (south, west), zone!=a, !canary, 20%",
              trySelector);
  mutateValues(4, Content, tryContent);
}

TEST_CASE("no mutated state is loaded in an inconsistent form") {
  log::FoldDriver log;
  log.append(log::publish("1", "a", 0, Content));
  log.append(log::publish("2", "a", 1, log::contentOf({"s"}, {}), "tier"));
  log.append(log::retired("3"));
  log.append(log::makeDrain("4", log::Badges, {"vm:n1", true}));
  log.append(log::makeChunk("5", {}, {"big", 0, 2, "{"}));
  mutateValues(5, log.State.save(), tryState);
}

TEST_CASE("no mutated record stops the fold") {
  Mutator mutator(6);
  log::FoldDriver log;
  log.append(log::publish("1", "a", 0, Content));
  const std::string sound[] = {
      log::encodeRecord(log::publish("p", "a", 1, Content)),
      log::encodeRecord(log::attach("q", "a", "a", 1, "tier=edge")),
      log::encodeRecord(log::makeChunk("c", {}, {"big", 0, 1, "{}"})),
      log::encodeRecord(log::makeDrain("d", log::Badges, {"vm:n", true})),
  };
  log::Offset at = log.State.offset();
  for (int i = 0; i < Inputs / 4; ++i) {
    log.State.apply({++at, mutator.bytes(sound[i % std::size(sound)])});
    REQUIRE(log.State.offset() == at);
  }
  checkRoundTrip(log.State);
}
