#include <LibSchema/JsonSchema.h>

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using base::ResultCode;

namespace {

constexpr std::string_view SchemaText = R"({
  "type": "object", "required": ["name"], "additionalProperties": false,
  "properties": {
    "name": {"type": "string", "minLength": 1, "maxLength": 8},
    "port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "level": {"enum": ["debug", "info"]},
    "list": {"type": "array", "items": {"$ref": "#/definitions/entry"}},
    "labels": {"type": "object", "additionalProperties": {"type": "string"}}
  },
  "definitions": {
    "entry": {"type": "object", "additionalProperties": false,
              "required": ["on"], "properties": {"on": {"type": "boolean"}}}
  }
})";

struct Check {
  std::string_view Document;
  ResultCode Code;
  std::string_view Text;
};

} // namespace

TEST_CASE(
    "the first violation is reported by path, value found and expectation") {
  base::LastReason reason;
  auto schema = schema::JsonSchema::create(SchemaText, reason);
  REQUIRE(schema);
  const Check table[] = {
      {R"({"name":"a","port":80,"list":[{"on":true}],"labels":{"x":"y"}})",
       ResultCode::Ok, ""},
      {R"({"name":"a","prot":80})", ResultCode::UnknownKey,
       "prot: found an unknown key, expected one of name, port, level, list, "
       "labels"},
      {R"({"port":80})", ResultCode::MissingKey,
       "name: found nothing, expected a string from 1 to 8 characters"},
      {R"({"name":7})", ResultCode::WrongType,
       "name: found 7, expected a string from 1 to 8 characters"},
      {R"([])", ResultCode::WrongType,
       "(document): found an array of 0 elements, expected an object"},
      {R"({"name":"a","port":70000})", ResultCode::NumberOutOfRange,
       "port: found 70000, expected an integer from 1 to 65535"},
      {R"({"name":"a","port":18446744073709551615})",
       ResultCode::NumberOutOfRange,
       "port: found 18446744073709551615, expected an integer from 1 to 65535"},
      {R"({"name":"a","level":"loud"})", ResultCode::BadValue,
       R"(level: found "loud", expected one of "debug", "info")"},
      {R"({"name":"","list":[]})", ResultCode::BadValue,
       R"(name: found "", expected a string from 1 to 8 characters)"},
      {R"({"name":"a","list":[{"on":true},{"on":1}]})", ResultCode::WrongType,
       "list[1].on: found 1, expected true or false"},
      {R"({"name":"a","list":[{"off":1,"on":true}]})", ResultCode::UnknownKey,
       "list[0].off: found an unknown key, expected one of on"},
      {R"({"name":"a","list":[{}]})", ResultCode::MissingKey,
       "list[0].on: found nothing, expected true or false"},
      {R"({"name":"a","labels":{"x":null}})", ResultCode::WrongType,
       "labels.x: found null, expected a string"},
      {R"({"name":"a","it's a ' key":1})", ResultCode::UnknownKey,
       "it's a ' key: found an unknown key, expected one of name, port, level, "
       "list, labels"},
  };
  for (const auto &row : table) {
    CAPTURE(row.Document);
    base::LastReason why;
    CHECK(schema->check(boost::json::parse(row.Document), why) ==
          (row.Code == ResultCode::Ok));
    CHECK(why.code() == row.Code);
    CHECK(why.text() == row.Text);
  }
}

TEST_CASE("a long string is truncated in the reason at a character boundary") {
  base::LastReason reason;
  auto schema = schema::JsonSchema::create(SchemaText, reason);
  std::string longText = "x";
  for (int i = 0; i < 100; ++i)
    longText += "é";
  CHECK_FALSE(schema->check(boost::json::value{{"name", longText}}, reason));
  CHECK(reason.text().size() < 160);
  CHECK(reason.text().find("é... (203 bytes)") != std::string::npos);
}

TEST_CASE(
    "a document with very many violations is rejected at a bounded cost") {
  base::LastReason reason;
  auto schema = schema::JsonSchema::create(SchemaText, reason);
  boost::json::array many(200000, 1);
  CHECK_FALSE(schema->check({{"name", "a"}, {"list", many}}, reason));
  CHECK(reason.code() == ResultCode::BadValue);
}

TEST_CASE("an invalid schema is rejected") {
  for (const char *text : {"{", R"({"type": 7})", R"({"$ref": "#/nowhere"})"}) {
    base::LastReason reason;
    CHECK_FALSE(schema::JsonSchema::create(text, reason));
    CHECK(reason.code() == ResultCode::DocumentMalformed);
  }
}
