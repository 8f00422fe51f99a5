#include <LibLog/Chunks.h>
#include <LibLog/FoldDriver.h>
#include <LibLog/FoldLimits.h>

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace radishcross;
using base::ResultCode;
using log::FoldDriver;

namespace {

/// Returns content with \p routes routes; many routes exceed one record.
boost::json::value largeContent(int routes) {
  std::vector<std::string> names(routes);
  for (int i = 0; i < routes; ++i)
    names[i] = "route-" + std::to_string(i) + ">s";
  return log::contentOf({"s"}, names);
}

} // namespace

TEST_CASE("a large record is split, reassembled and applied once") {
  auto record = log::publish("big", "a", 0, largeContent(2000));
  auto pieces = log::splitRecord(record);
  REQUIRE(pieces.size() > 3);
  for (const auto &it : pieces)
    CHECK(it.size() <= log::MaximumRecordBytes);
  FoldDriver log;
  // A record of another writer, a repeated chunk and a different order do no
  // harm.
  log.append(pieces[1]);
  log.append(pieces[1]);
  log.append(log::publish("small", "b", 0, log::contentOf({"t"}, {})));
  CHECK_FALSE(log.State.outcomeOf("big"));
  checkRoundTrip(log.State);
  log::RecordOutcome last;
  for (size_t i = 0; i < pieces.size(); ++i)
    if (i != 1)
      last = log.append(pieces[i]);
  CHECK(last.RecordId == "big");
  CHECK(last.Code == ResultCode::Ok);
  CHECK(last.Version == 1);
  CHECK(log.State.configurations().at("a").Versions[0].Content->Routes.size() ==
        2000);
  // The whole record appended again after a lost answer is a duplicate.
  CHECK(log.append(record).Code == ResultCode::DuplicateRecord);
  checkRoundTrip(log.State);
}

TEST_CASE("incomplete chunks expire with ChunksIncomplete") {
  auto pieces =
      log::splitRecord(log::publish("big", "a", 0, largeContent(2000)));
  REQUIRE(pieces.size() >= 2);
  FoldDriver log;
  log.append(pieces[0]);
  while (log.Log.size() <= log::ChunkLifetimeOffsets)
    log.append(log::retired("b"));
  CHECK_FALSE(log.State.outcomeOf("big"));
  log.append(log::retired("b"));
  CHECK(log.State.outcomeOf("big")->Code == ResultCode::ChunksIncomplete);
  CHECK(log.append(pieces[1]).Code == ResultCode::DuplicateRecord);
  CHECK(log.State.configurations().empty());
}

TEST_CASE("invalid chunks are rejected and do not block others") {
  FoldDriver log;
  auto chunk = [&](const std::string &of, uint32_t part, uint32_t parts,
                   std::string bytes) {
    return log.append(log::makeChunk(of + std::to_string(part), {},
                                     {of, part, parts, std::move(bytes)}));
  };
  for (size_t i = 0; i < log::MaximumChunkSets; ++i)
    CHECK(chunk("open" + std::to_string(i), 0, 2, "x").Code == ResultCode::Ok);
  CHECK(chunk("more", 0, 2, "x").Code == ResultCode::RecordMalformed);
  CHECK(chunk("open0", 1, 3, "x").Code == ResultCode::RecordMalformed);
  CHECK(chunk("open0", 0, log::MaximumChunks + 1, "x").Code ==
        ResultCode::RecordMalformed);
  // The assembled bytes must be a record with the id given in the chunks.
  CHECK(chunk("open1", 1, 2, "y").Code == ResultCode::RecordMalformed);
  CHECK(log.State.outcomeOf("open1")->Code == ResultCode::RecordMalformed);
  auto other = log::encodeRecord(log::makeDetach("other", {}, {"a"}));
  CHECK(chunk("free", 0, 1, other).Code == ResultCode::RecordMalformed);
  checkRoundTrip(log.State);
  CHECK(log::splitRecord(log::publish("huge", "a", 0, largeContent(90000)))
            .empty());
}
