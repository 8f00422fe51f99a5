#include <LibHttp/Mesh.h>

#include <platform/StoreClient.h>
#include <platform/StoreFormat.h>

using namespace radishcross;
using namespace radishcross::tests;
using base::ResultCode;
using Kind = log::PutAnswer::Kind;

namespace {

std::string answerText(const std::string &status, const std::string &body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

log::PutAnswer append(asio::io_context &context,
                      std::vector<base::Address> addresses) {
  base::Metrics counters;
  platform::StoreClient client(context, std::move(addresses), counters);
  std::optional<log::PutAnswer> got;
  client.put(log::Topic::Nodes, "n", "{}",
             [&](log::PutAnswer it) { got = std::move(it); });
  runUntil(context, [&] { return got.has_value(); });
  CHECK(counters.counter("platform_appends_total") == 1);
  return *got;
}

/// Returns the result of \p read, which starts a read from a store that answers
/// with \p answer.
template <typename Read>
log::TopicAnswer readFrom(const std::string &answer, const Read &read) {
  asio::io_context context(1);
  RawServer store(context, answer);
  base::Metrics counters;
  platform::StoreClient client(context, {store.address()}, counters);
  std::optional<log::TopicAnswer> got;
  read(client, [&](log::TopicAnswer it) { got = std::move(it); });
  runUntil(context, [&] { return got.has_value(); });
  return std::move(*got);
}

} // namespace

TEST_CASE("an append is refused only if the platform says so") {
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

TEST_CASE("an unreachable address is skipped") {
  asio::io_context context(1);
  ClosedPort port(context);
  base::Address closed = port.address();
  CHECK(append(context, {closed}).Outcome == Kind::Refused);
  RawServer platform(context, answerText("200 OK", R"({"offset":7})"));
  CHECK(append(context, {closed, platform.address()}).At == 7);
}

TEST_CASE(
    "records are read in order, and a malformed answer is a failed read") {
  const std::string offsets("\0\0\0\0\0\0\0\4\0\0\0\0\0\0\0\2", 16);
  const std::string good = offsets + std::string("\0\0\0\3\1ka", 7) +
                           std::string("\0\0\0\4\1kb\n", 8);
  for (const std::string &body :
       {good, good.substr(0, good.size() - 1), offsets.substr(0, 15),
        offsets + "\1", std::string("[]")}) {
    CAPTURE(body);
    auto got =
        readFrom(answerText("200 OK", body), [](auto &client, auto done) {
          client.follow(log::Topic::Nodes, 2, {}, done);
        });
    CHECK(got.Reached == (body == good));
    REQUIRE(got.Records.size() == (body == good ? 2 : 0));
    if (body != good)
      continue;
    CHECK(got.End == 4);
    CHECK(got.Records[0].At == 2);
    CHECK(got.Records[1].At == 3);
    CHECK(got.Records[1].Value == "b\n");
  }
}

TEST_CASE("a record of the history without a readable key keeps its place") {
  const std::string offsets("\0\0\0\0\0\0\0\6\0\0\0\0\0\0\0\2", 16);
  const std::string records =
      std::string("\0\0\0\3\1ka", 7) + std::string("\0\0\0\0", 4) +
      std::string("\0\0\0\3\t{}", 7) + std::string("\0\0\0\3\1kb", 7);
  auto got = readFrom(answerText("200 OK", offsets + records),
                      [](auto &client, auto done) {
                        client.follow(log::Topic::Changes, 2, {}, done);
                      });
  REQUIRE(got.Reached);
  REQUIRE(got.Records.size() == 4);
  const std::string_view values[] = {"a", "", "", "b"};
  for (size_t it = 0; it < got.Records.size(); ++it) {
    CHECK(got.Records[it].At == 2 + it);
    CHECK(got.Records[it].Value == values[it]);
  }
}

TEST_CASE(
    "the keys of a topic are listed, and a malformed page is a failed read") {
  const std::string good =
      R"({"items":[{"key":"k","value":"YQ==","offset":4}],"more":false,)"
      R"("endOffset":6})";
  for (const std::string &body :
       {good, std::string("[]"), std::string(R"({"items":[]})"),
        std::string(R"({"items":{},"endOffset":6})"),
        std::string(R"({"items":[],"endOffset":-1})"),
        std::string(R"({"items":[],"endOffset":0.5})"),
        std::string(R"({"items":[],"endOffset":18446744073709551616})"),
        good.substr(0, good.size() - 1)}) {
    CAPTURE(body);
    auto got =
        readFrom(answerText("200 OK", body), [](auto &client, auto done) {
          client.list(log::Topic::Operator, done);
        });
    CHECK(got.Reached == (body == good));
    REQUIRE(got.Records.size() == (body == good ? 1 : 0));
    if (body != good)
      continue;
    CHECK(got.End == 6);
    CHECK(got.Records[0].Key == "k");
    CHECK(got.Records[0].Value == "a");
  }
}

TEST_CASE("an item of a listing that cannot be decoded names nothing, and the "
          "others are read") {
  for (const std::string &item :
       {std::string(R"({"key":"o","value":"Y","offset":5})"),
        std::string(R"({"key":"o","value":7,"offset":5})"),
        std::string(R"({"key":"o","offset":5})"),
        std::string(R"({"key":"o","value":"YQ=="})"),
        std::string(R"({"key":"o","value":"YQ==","offset":"5"})"),
        std::string(R"({"key":"o","value":"YQ==","offset":-1})"),
        std::string(R"({"key":"o","value":"YQ==","offset":0.5})"),
        std::string(R"({"key":"o","value":"YQ==","offset":1e308})"),
        std::string(R"({"key":"o","value":"YQ==","offset":1e400})"),
        std::string(R"({"key":"o","value":"YQ==","offset":-1e400})"),
        std::string(
            R"({"key":"o","value":"YQ==","offset":18446744073709551616})"),
        std::string(R"({"key":7,"value":"YQ==","offset":5})"),
        std::string(R"({"value":"YQ==","offset":5})"), std::string("{}"),
        std::string(R"({"key":"o"})"), std::string("null"),
        std::string("[[[[]]]]"), std::string("\"o\"")}) {
    CAPTURE(item);
    for (bool isLast : {false, true}) {
      std::string good = R"({"key":"k","value":"YQ==","offset":4})";
      std::string page = R"({"items":[)";
      page.append(isLast ? good : item).append(",");
      page.append(isLast ? item : good);
      page.append(R"(],"more":false,"endOffset":6})");
      auto got =
          readFrom(answerText("200 OK", page), [](auto &client, auto done) {
            client.list(log::Topic::Operator, done);
          });
      CHECK(got.Reached);
      CHECK(got.End == 6);
      CHECK(got.Unreadable == 1);
      REQUIRE(got.Records.size() == 1);
      CHECK(got.Records[0].Key == "k");
      CHECK(got.Records[0].Value == "a");
      CHECK(got.Records[0].At == 4);
    }
  }
}

TEST_CASE("a key that is not UTF-8 does not hide the other keys") {
  auto got = readFrom(
      answerText("200 OK", "{\"items\":[{\"key\":\"\xff\xfe\",\"value\":"
                           "\"YQ==\",\"offset\":3},"
                           R"({"key":"k","value":"YQ==","offset":4}],)"
                           R"("more":false,"endOffset":6})"),
      [](auto &client, auto done) { client.list(log::Topic::Operator, done); });
  CHECK(got.Reached);
  REQUIRE(got.Records.size() == 2);
  CHECK(got.Records[0].Key == "\xff\xfe");
  CHECK(got.Records[1].Key == "k");
}

TEST_CASE("a listing whose pages never end is a failed read") {
  for (const std::string &items :
       {std::string(R"({"key":"k","value":"YQ==","offset":4})"),
        std::string(R"({"key":"","value":"YQ==","offset":4})"),
        std::string(R"({"value":"YQ==","offset":4})")}) {
    CAPTURE(items);
    auto got =
        readFrom(answerText("200 OK", R"({"items":[)" + items +
                                          R"(],"more":true,"endOffset":6})"),
                 [](auto &client, auto done) {
                   client.list(log::Topic::Operator, done);
                 });
    CHECK_FALSE(got.Reached);
    CHECK(got.Reason.code() == ResultCode::PlatformUnavailable);
  }
}

TEST_CASE("an answer of the store that is cut at any byte is a failed call") {
  const std::string read =
      answerText("200 OK", std::string("\0\0\0\0\0\0\0\4\0\0\0\0\0\0\0\2", 16) +
                               std::string("\0\0\0\3\1ka\0\0\0\3\1kb", 14));
  for (size_t n = 0; n <= read.size(); ++n) {
    CAPTURE(n);
    auto got = readFrom(read.substr(0, n), [](auto &client, auto done) {
      client.follow(log::Topic::Nodes, 2, {}, done);
    });
    CHECK(got.Reached == (n == read.size()));
    CHECK_FALSE(got.Expired);
    CHECK(got.Records.size() == (n == read.size() ? 2 : 0));
  }
  const std::string page = answerText(
      "200 OK", R"({"items":[{"key":"k","value":"YQ==","offset":4}],)"
                R"("more":false,"endOffset":16})");
  for (size_t n = 0; n <= page.size(); ++n) {
    CAPTURE(n);
    auto got = readFrom(page.substr(0, n), [](auto &client, auto done) {
      client.list(log::Topic::Operator, done);
    });
    CHECK(got.Reached == (n == page.size()));
    CHECK(got.Records.size() == (n == page.size() ? 1 : 0));
  }
  for (const char *status : {"200 OK", "503 Down"}) {
    const std::string answer = answerText(status, R"({"offset":77})");
    for (size_t n = 0; n < answer.size(); ++n) {
      CAPTURE(n);
      asio::io_context context(1);
      RawServer store(context, answer.substr(0, n));
      CHECK(append(context, {store.address()}).Outcome == Kind::Unknown);
    }
  }
}

TEST_CASE("a read whose body ends early loses no record") {
  std::string whole("\0\0\0\0\0\0\0\4\0\0\0\0\0\0\0\2", 16);
  whole += platform::encodeRecord("k", "first");
  const size_t border = whole.size();
  whole += platform::encodeRecord("k", "second");
  for (size_t n = 0; n < whole.size(); ++n) {
    CAPTURE(n);
    auto got = platform::decodeRead(whole.substr(0, n), 2);
    // Cut between two records, it still tells that there are more.
    REQUIRE(got.has_value() == (n == 16 || n == border));
    if (!got)
      continue;
    CHECK(got->End == 4);
    CHECK(got->Records.size() == (n == border ? 1 : 0));
  }
}

TEST_CASE("a store address that answers nothing is asked for ever") {
  asio::io_context context(1);
  RawServer silent(context, "");
  RawServer store(context,
                  answerText("200 OK", R"({"items":[],"endOffset":0})"));
  base::Metrics counters;
  platform::StoreClient client(context, {silent.address(), store.address()},
                               counters);
  for (bool isReached : {false, true, true}) {
    std::optional<log::TopicAnswer> got;
    client.list(log::Topic::Operator,
                [&](log::TopicAnswer it) { got = std::move(it); });
    runUntil(context, [&] { return got.has_value(); });
    CHECK(got->Reached == isReached);
  }
  CHECK(silent.Accepted == 1);
}

TEST_CASE("a dropped history is distinguished from a failed read") {
  auto got = readFrom(answerText("410 Gone", R"({"firstOffset":9})"),
                      [](auto &client, auto done) {
                        client.follow(log::Topic::Operator, 2, {}, done);
                      });
  CHECK(got.Expired);
  CHECK(!got.Reached);
}

TEST_CASE("a record is encoded with its key") {
  CHECK(platform::encodeRecord("ab", "xyz") ==
        std::string("\0\0\0\6\2abxyz", 10));
  CHECK(platform::encodeRecord(std::string(256, 'k'), "v").empty());
}

TEST_CASE("a destroyed client does not use its owner's data") {
  asio::io_context context;
  base::Metrics counters;
  int answers = 0;
  {
    platform::StoreClient client(context, {{"127.0.0.1", 1}}, counters);
    client.put(log::Topic::Nodes, "n", "{}",
               [&](const log::PutAnswer &) { ++answers; });
    client.list(log::Topic::Nodes,
                [&](const log::TopicAnswer &) { ++answers; });
    client.follow(log::Topic::Nodes, 0, std::chrono::seconds(1),
                  [&](const log::TopicAnswer &) { ++answers; });
  }
  // The calls start in the event loop, after the owner may have been destroyed.
  context.run_for(std::chrono::seconds(5));
  CHECK(counters.counter("platform_appends_total") == 0);
  CHECK(counters.counter("platform_reads_total") == 0);
  CHECK(counters.counter("platform_failures_total") == 0);
  CHECK(answers == 0);
}
