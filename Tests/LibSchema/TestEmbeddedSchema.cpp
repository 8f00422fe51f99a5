#include <LibSchema/EmbeddedSchema.h>

#include <doctest/doctest.h>

using namespace radishcross;
using base::ResultCode;

TEST_CASE("a document is parsed and validated against an embedded schema") {
  const schema::EmbeddedSchema shape(
      R"({"type": "object", "required": ["name"]})");
  base::LastReason reason;
  auto read = shape.parse(R"({"name": "a"})", {}, reason);
  REQUIRE(read);
  CHECK(read->at("name") == "a");
  CHECK_FALSE(shape.parse("{}", {}, reason));
  CHECK(reason.code() == ResultCode::MissingKey);
  CHECK_FALSE(shape.parse("{", {}, reason));
  CHECK(reason.code() == ResultCode::DocumentTruncated);
}

TEST_CASE(
    "an invalid embedded schema fails every document with its own error") {
  const schema::EmbeddedSchema shape("{");
  base::LastReason reason;
  CHECK_FALSE(shape.parse("{}", {}, reason));
  CHECK(reason.code() == ResultCode::Internal);
  CHECK(reason.text().find("cannot be compiled") != std::string::npos);
}
