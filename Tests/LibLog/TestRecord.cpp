#include <LibLog/FoldDriver.h>
#include <LibLog/FoldLimits.h>
#include <LibLog/Record.h>

#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using base::ResultCode;

TEST_CASE("records are decoded as they were encoded") {
  const log::Record table[] = {
      log::publish("p-1", "badges", 3, log::contentOf({"s"}, {"r>s"}), "a=b"),
      log::attach("a-1", "east", "badges", 2, "tier=edge, 20%"),
      log::makeDetach("d-1", log::Surf, {"east"}),
      log::makeDrain("x-1", log::Surf, {"service:badges/s", false}),
      log::retired("b-1"),
      log::makeSnapshot("s-1", {}, {7, UINT64_MAX, 1, 2, "{\"é\":1"}),
      log::makeChunk("c-1", {}, {"p-1", 0, 2, "\\\"x\n"}),
  };
  for (const auto &it : table) {
    base::LastReason reason;
    auto read = log::decodeRecord(log::encodeRecord(it), reason);
    REQUIRE_MESSAGE(read, reason.text());
    CHECK(read->Id == it.Id);
    CHECK(read->Kind == it.Kind);
    CHECK(read->By.Team == it.By.Team);
    CHECK(read->By.Address == it.By.Address);
    CHECK(log::encodeRecord(*read) == log::encodeRecord(it));
  }
}

TEST_CASE("an invalid record is rejected with a result code and the key") {
  struct Row {
    std::string Bytes;
    ResultCode Code;
    std::string_view Reason;
  };
  const std::string by = R"("by":{"team":"t","actor":"a","address":""})";
  const Row table[] = {
      {"", ResultCode::RecordMalformed, "document-empty"},
      {"[]", ResultCode::RecordMalformed, "found no object"},
      {R"({"id":"a b","kind":"publish",)" + by + R"(,"body":{}})",
       ResultCode::RecordMalformed, "id: expected"},
      {R"({"id":"a","kind":"vote",)" + by + R"(,"body":{}})",
       ResultCode::RecordMalformed, "kind: expected a known"},
      {R"({"id":"a","kind":"publish",)" + by + R"(,"body":[]})",
       ResultCode::RecordMalformed, "body: expected an object"},
      {R"({"id":"a","kind":"publish","by":{},"body":{}})",
       ResultCode::RecordMalformed, "by.team"},
      {R"({"id":"a","kind":"publish",)" + by + R"(,"body":{},"x":1})",
       ResultCode::RecordMalformed, "x: expected no such key"},
      {std::string(60'000, '['), ResultCode::RecordMalformed,
       "document-too-deep"},
      {R"({"id":"a","kind":"publish",)" + by + R"(,"body":{"base":1e400}})",
       ResultCode::RecordMalformed, "number-out-of-range"},
      {R"({"id":"a","kind":"publish",)" + by +
           R"(,"body":{"base":18446744073709551616}})",
       ResultCode::RecordMalformed, "number-out-of-range"},
      {R"({"id":"a","kind":"publish",)" + by + R"(,"body":{},"body":{}})",
       ResultCode::RecordMalformed, "duplicate-key"},
      {"\xff", ResultCode::RecordMalformed, "not-utf8"},
      {std::string(log::MaximumRecordBytes + 1, ' '),
       ResultCode::RecordTooLarge, "65537 bytes"},
  };
  for (const auto &row : table) {
    CAPTURE(row.Bytes.substr(0, 60));
    base::LastReason reason;
    CHECK_FALSE(log::decodeRecord(row.Bytes, reason));
    CHECK(reason.code() == row.Code);
    CAPTURE(reason.text());
    CHECK(reason.text().find(row.Reason) != std::string::npos);
  }
}
