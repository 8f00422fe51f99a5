// Without exceptions the library aborts the process on an invalid schema.
#define VALIJSON_USE_EXCEPTIONS 1

// With sanitizers enabled, GCC warns about a member of std::regex, which
// valijson includes; no pattern of this project reaches that code.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include <LibSchema/JsonSchema.h>
#include <LibSchema/SchemaExpectation.h>
#include <LibSchema/StrictJson.h>

#include <stdexcept>
#include <string>
#include <utility>
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace radishcross::schema {

namespace {

using base::ResultCode;
using boost::json::value;
using valijson::adapters::BoostJsonAdapter;

/// The validator stores every error, so the first one is only looked up in
/// documents of at most this many values.
constexpr size_t MaximumReportedValues = 50000;

size_t countValues(const value &of) {
  size_t n = 1;
  if (const auto *object = of.if_object())
    for (const auto &it : *object)
      n += countValues(it.value());
  if (const auto *array = of.if_array())
    for (const auto &it : *array)
      n += countValues(it);
  return n;
}

/// A schema violation, with what its message needs.
struct Violation {
  const value &Schema;
  const value &Document;
  PathSteps Steps;
  std::string KeyName; ///< The key quoted in the message of the validator.
};

std::string violationText(const Violation &violation, const std::string &found,
                          const std::string &expected) {
  return pathText(violation.Document, violation.Steps) + ": found " + found +
         ", expected " + expected;
}

std::string describeValue(const Violation &violation) {
  const auto *node = findSubschema(violation.Schema, violation.Steps);
  const auto *found = findValue(violation.Document, violation.Steps);
  return violationText(violation, found ? describeFound(*found) : "nothing",
                       node ? describeExpectation(*node) : "another value");
}

std::string describeUnknownKey(const Violation &violation) {
  const auto *node = findSubschema(violation.Schema, violation.Steps);
  Violation child = violation;
  child.Steps.push_back(violation.KeyName);
  return violationText(child, "an unknown key",
                       node ? "one of " + describeKnownKeys(*node)
                            : "no such key");
}

std::string describeMissingKey(const Violation &violation) {
  Violation child = violation;
  child.Steps.push_back(violation.KeyName);
  const auto *node = findSubschema(child.Schema, child.Steps);
  return violationText(child, "nothing",
                       node ? describeExpectation(*node) : "a value");
}

/// Maps a prefix of the validator's message to a result code and a description.
/// A key named in the message follows KeyPrefix.
struct MessageRow {
  std::string_view Prefix;
  std::string_view KeyPrefix;
  ResultCode Code;
  std::string (*Describe)(const Violation &);
};

constexpr MessageRow Messages[] = {
    {"Value type not permitted", "", ResultCode::WrongType, describeValue},
    {"Object contains a property", "constraints: '", ResultCode::UnknownKey,
     describeUnknownKey},
    {"Missing required property", "property '", ResultCode::MissingKey,
     describeMissingKey},
    {"Expected number", "", ResultCode::NumberOutOfRange, describeValue},
    {"Value should be a multiple", "", ResultCode::NumberOutOfRange,
     describeValue},
    {"", "", ResultCode::BadValue, describeValue},
};

/// Returns the key between \p prefix and the final "'." of \p message.
std::string quotedKey(std::string_view message, std::string_view prefix) {
  constexpr size_t SuffixBytes = 2;
  size_t at = prefix.empty() ? std::string_view::npos : message.find(prefix);
  if (at == std::string_view::npos ||
      at + prefix.size() + SuffixBytes > message.size())
    return {};
  message.remove_prefix(at + prefix.size());
  message.remove_suffix(SuffixBytes);
  return std::string(message);
}

PathSteps stepsOf(const std::vector<std::string> &context) {
  PathSteps steps;
  for (const auto &it : context) {
    if (it.size() < 2 || it.front() != '[')
      continue;
    steps.push_back(it.substr(1, it.size() - 2));
  }
  return steps;
}

/// The validator reports an integer beyond int64 as a wrong type; it is out of
/// range.
ResultCode refineCode(ResultCode code, const Violation &violation) {
  const auto *found = findValue(violation.Document, violation.Steps);
  bool exceedsInt64 = found && found->is_uint64();
  return code == ResultCode::WrongType && exceedsInt64
             ? ResultCode::NumberOutOfRange
             : code;
}

void reportViolation(const value &schema, const value &document,
                     const valijson::ValidationResults::Error &error,
                     base::LastReason &reason) {
  Violation violation{schema, document, stepsOf(error.context), {}};
  for (const auto &row : Messages) {
    if (!error.description.starts_with(row.Prefix))
      continue;
    violation.KeyName = quotedKey(error.description, row.KeyPrefix);
    reason.fail(refineCode(row.Code, violation), row.Describe(violation));
    return;
  }
}

} // namespace

struct JsonSchema::Implementation {
  value Document;
  valijson::Schema Compiled;
};

JsonSchema::JsonSchema(std::unique_ptr<Implementation> compiled)
    : Compiled(std::move(compiled)) {}
JsonSchema::JsonSchema(JsonSchema &&) noexcept = default;
JsonSchema &JsonSchema::operator=(JsonSchema &&) noexcept = default;
JsonSchema::~JsonSchema() = default;

std::optional<JsonSchema> JsonSchema::create(std::string_view text,
                                             base::LastReason &reason) {
  auto document = parseStrictJson(text, DocumentLimits{}, reason);
  if (!document)
    return reason.fail(ResultCode::DocumentMalformed,
                       "the schema cannot be parsed: " + reason.text());
  auto compiled = std::make_unique<Implementation>();
  compiled->Document = std::move(*document);
  // The schema parser reports errors only by exceptions.
  try {
    valijson::SchemaParser parser;
    parser.populateSchema(BoostJsonAdapter(compiled->Document),
                          compiled->Compiled);
  } catch (const std::exception &e) {
    return reason.fail(ResultCode::DocumentMalformed,
                       std::string("the schema is not valid: ") + e.what());
  }
  return JsonSchema(std::move(compiled));
}

bool JsonSchema::check(const value &document, base::LastReason &reason) const {
  BoostJsonAdapter target(document);
  valijson::Validator quick;
  if (quick.validate(Compiled->Compiled, target, nullptr))
    return true;
  size_t n = countValues(document);
  if (n > MaximumReportedValues) {
    reason.fail(ResultCode::BadValue,
                "(document): found " + std::to_string(n) +
                    " values of which some do not meet the schema, expected "
                    "at most " +
                    std::to_string(MaximumReportedValues) +
                    " to name the first");
    return false;
  }
  valijson::ValidationResults results;
  valijson::Validator thorough;
  thorough.validate(Compiled->Compiled, target, &results);
  valijson::ValidationResults::Error first;
  if (results.popError(first))
    reportViolation(Compiled->Document, document, first, reason);
  else
    reason.fail(ResultCode::BadValue, "(document): does not meet the schema");
  return false;
}

} // namespace radishcross::schema
