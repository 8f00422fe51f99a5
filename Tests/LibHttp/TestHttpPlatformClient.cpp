#include <LibHttp/Mesh.h>

#include <LibHttp/HttpPlatformClient.h>

using namespace radishcross;
using namespace radishcross::tests;
using base::ResultCode;
using Kind = log::AppendAnswer::Kind;

namespace {

std::string answerText(const std::string &status, const std::string &body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

log::AppendAnswer append(asio::io_context &context,
                         std::vector<base::Address> addresses) {
  base::Metrics counters;
  http::HttpPlatformClient client(context, std::move(addresses), counters);
  std::optional<log::AppendAnswer> got;
  client.append("{}", [&](log::AppendAnswer it) { got = std::move(it); });
  runUntil(context, [&] { return got.has_value(); });
  CHECK(counters.counter("platform_appends_total") == 1);
  return *got;
}

} // namespace

TEST_CASE("an append is refused only where the platform says so") {
  struct Row {
    std::string Answer;
    Kind Outcome;
    ResultCode Code;
  };
  const Row rows[] = {
      {answerText("200 OK", R"({"offset":7})"), Kind::Accepted, ResultCode::Ok},
      {answerText("413 Large", "{}"), Kind::Refused,
       ResultCode::RecordTooLarge},
      {answerText("503 Down", "{}"), Kind::Refused,
       ResultCode::PlatformUnavailable},
      {answerText("500 Error", "{}"), Kind::Unknown,
       ResultCode::OutcomeUnknown},
      {answerText("200 OK", R"({"offset":"7"})"), Kind::Unknown,
       ResultCode::OutcomeUnknown},
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", Kind::Unknown,
       ResultCode::OutcomeUnknown},
      {"", Kind::Unknown, ResultCode::OutcomeUnknown},
  };
  for (const Row &row : rows) {
    CAPTURE(row.Answer);
    asio::io_context context(1);
    RawServer platform(context, row.Answer);
    RawServer other(context, answerText("200 OK", R"({"offset":8})"));
    auto got = append(context, {platform.address(), other.address()});
    CHECK(got.Outcome == row.Outcome);
    CHECK(got.Reason.code() == row.Code);
    CHECK(got.At == (row.Outcome == Kind::Accepted ? 7 : 0));
    CHECK(other.Accepted == 0);
  }
}

TEST_CASE("an address that cannot be reached is passed over") {
  asio::io_context context(1);
  ClosedPort port(context);
  base::Address closed = port.address();
  CHECK(append(context, {closed}).Outcome == Kind::Refused);
  RawServer platform(context, answerText("200 OK", R"({"offset":7})"));
  CHECK(append(context, {closed, platform.address()}).At == 7);
}

TEST_CASE("records are read in order, and an odd answer is no answer") {
  const std::string good =
      R"({"first":2,"end":4,"records":[{"offset":2,"bytes":"a"},)"
      R"({"offset":3,"bytes":"b\n"}]})";
  for (const std::string &body :
       {good, std::string(R"({"first":2,"end":4})"), std::string("[]"),
        std::string(R"({"first":2,"end":4,"records":[{"offset":2}]})")}) {
    CAPTURE(body);
    asio::io_context context(1);
    RawServer platform(context, answerText("200 OK", body));
    base::Metrics counters;
    http::HttpPlatformClient client(context, {platform.address()}, counters);
    std::optional<log::ReadAnswer> got;
    client.read(2, 10, {}, [&](log::ReadAnswer it) { got = std::move(it); });
    runUntil(context, [&] { return got.has_value(); });
    CHECK(got->Reached == (body == good));
    REQUIRE(got->Records.size() == (body == good ? 2 : 0));
    if (body == good)
      CHECK(got->Records[1].Bytes == "b\n");
  }
}
