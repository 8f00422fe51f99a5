#include <LibSchema/StrictJson.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace radishcross;
using base::ResultCode;

namespace {

const schema::DocumentLimits Small{.MaximumBytes = 4096, .MaximumDepth = 4};

struct Refusal {
  std::string Text;
  ResultCode Code;
  std::string_view Reason; ///< A substring of the reason.
};

} // namespace

TEST_CASE("a valid document is parsed unchanged") {
  base::LastReason reason;
  auto parsed = schema::parseStrictJson(
      " {\"a\":[1,-2,2.5,true,null],\"b\":\"\\u00e9\xC3\xA9\",\"c\":{}} \n",
      Small, reason);
  REQUIRE(parsed);
  CHECK(*parsed ==
        boost::json::parse(R"({"a":[1,-2,2.5,true,null],"b":"éé","c":{}})"));
}

TEST_CASE("every error in a document has its own code and position") {
  const Refusal table[] = {
      {"", ResultCode::DocumentEmpty, "nothing"},
      {" \n\t", ResultCode::DocumentEmpty, "nothing"},
      {"{\"a\":1", ResultCode::DocumentTruncated, "a (line 1, column 7)"},
      {"[\"abc", ResultCode::DocumentTruncated, "[0] (line 1, column 6)"},
      {"{\"a\":\n 1,}", ResultCode::DocumentMalformed, "line 2, column 4"},
      {"{} {}", ResultCode::DocumentMalformed, "line 1, column 4"},
      {"{} /* no */", ResultCode::DocumentMalformed, "line 1, column 4"},
      {"[NaN]", ResultCode::DocumentMalformed, "[0] (line 1, column 2)"},
      {"{\"a\":\"\xC3\x28\"}", ResultCode::DocumentNotUtf8, "column 7"},
      {"\"\xED\xA0\x80\"", ResultCode::DocumentNotUtf8, "column 2"},
      {R"({"a":{"b":1,"c":2,"b":3}})", ResultCode::DuplicateKey, "a.b (line"},
      {R"([{"x":1},{"\u0078":1,"x":2}])", ResultCode::DuplicateKey, "[1].x"},
      {"[[[[[]]]]]", ResultCode::DocumentTooDeep, "at most 4 levels"},
      {R"({"a":[0,18446744073709551616]})", ResultCode::NumberOutOfRange,
       "a[1]"},
      {"[1e999]", ResultCode::NumberOutOfRange, "[0]"},
      {"[-1e99999999999999999999]", ResultCode::NumberOutOfRange, "[0]"},
      {std::string(4097, ' '), ResultCode::DocumentTooLarge, "4097 bytes"},
  };
  for (const auto &row : table) {
    CAPTURE(row.Text.substr(0, 40));
    base::LastReason reason;
    CHECK_FALSE(schema::parseStrictJson(row.Text, Small, reason));
    CHECK(reason.code() == row.Code);
    CAPTURE(reason.text());
    CHECK(reason.text().find(row.Reason) != std::string::npos);
    CHECK(reason.text().find('\n') == std::string::npos);
  }
}

TEST_CASE("the largest and smallest 64-bit integers are kept exactly") {
  base::LastReason reason;
  auto parsed = schema::parseStrictJson(
      "[18446744073709551615,-9223372036854775808]", Small, reason);
  REQUIRE(parsed);
  CHECK(boost::json::serialize(*parsed) ==
        "[18446744073709551615,-9223372036854775808]");
}

TEST_CASE("a file that is too large is rejected before it is read") {
  auto path = std::filesystem::temp_directory_path() /
              ("radishcross-large-" + std::to_string(getpid()) + ".json");
  std::ofstream(path) << "[1]";
  base::LastReason reason;
  CHECK(schema::readStrictJson(path, Small, reason));
  // The file is sparse: it is only large by its reported size.
  std::filesystem::resize_file(path, 50UL << 20);
  CHECK_FALSE(schema::readStrictJson(path, Small, reason));
  CHECK(reason.code() == ResultCode::DocumentTooLarge);
  CHECK(reason.text().find("52428800") != std::string::npos);
  std::filesystem::remove(path);
  for (const auto &bad : {path, path.parent_path()}) {
    CHECK_FALSE(schema::readStrictJson(bad, Small, reason));
    CHECK(reason.code() == ResultCode::FileUnreadable);
  }
}

TEST_CASE("equal documents have equal canonical bytes") {
  auto a = boost::json::parse(R"({"b":[1,{"d":1,"c":"x\n"}],"a":2.5})");
  auto b = boost::json::parse(R"({"a":2.5,"b":[1,{"c":"x\n","d":1}]})");
  CHECK(schema::canonicalJson(a) == schema::canonicalJson(b));
  CHECK(schema::canonicalJson(a) == R"({"a":2.5E0,"b":[1,{"c":"x\n","d":1}]})");
}
