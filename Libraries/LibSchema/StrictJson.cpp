#include <LibSchema/DocumentBuilder.h>
#include <LibSchema/StrictJson.h>

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/serialize.hpp>
#include <boost/locale/utf.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace radishcross::schema {

namespace {

using base::ResultCode;

constexpr std::string_view WhiteSpace = " \t\r\n";

/// Returns "line L, column C" of byte \p at; both count from 1.
std::string positionText(std::string_view text, size_t at) {
  auto before = text.substr(0, at);
  size_t line = std::count(before.begin(), before.end(), '\n') + 1;
  size_t lineStart = before.rfind('\n');
  size_t column = lineStart == std::string_view::npos ? at + 1 : at - lineStart;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

/// Returns the offset of the first invalid UTF-8 sequence, or npos.
size_t findInvalidUtf8(std::string_view text) {
  namespace utf = boost::locale::utf;
  const char *it = text.data();
  const char *end = it + text.size();
  while (it != end) {
    const char *start = it;
    if (!utf::is_valid_codepoint(utf::utf_traits<char>::decode(it, end)))
      return start - text.data();
  }
  return std::string_view::npos;
}

ResultCode resultCodeOf(boost::json::error_code ec) {
  if (ec == boost::json::error::incomplete)
    return ResultCode::DocumentTruncated;
  if (ec == boost::json::error::too_deep)
    return ResultCode::DocumentTooDeep;
  if (ec == boost::json::error::exponent_overflow)
    return ResultCode::NumberOutOfRange;
  return ResultCode::DocumentMalformed;
}

std::string describeFailure(ResultCode code, const std::string &path,
                            const std::string &position,
                            const DocumentLimits &limits,
                            boost::json::error_code ec) {
  std::string where = path.empty() ? position : path + " (" + position + ")";
  switch (code) {
  case ResultCode::DuplicateKey:
    return where + ": the object has this key twice";
  case ResultCode::NumberOutOfRange:
    return where + ": the number fits neither 64 bits nor a finite double";
  case ResultCode::DocumentTooDeep:
    return where + ": found a deeper nesting, expected at most " +
           std::to_string(limits.MaximumDepth) + " levels";
  case ResultCode::DocumentTruncated:
    return where + ": the document ends before it is complete";
  default:
    return where + ": " + ec.message();
  }
}

std::nullopt_t failTooLarge(const std::string &found,
                            const DocumentLimits &limits,
                            base::LastReason &reason) {
  return reason.fail(ResultCode::DocumentTooLarge,
                     "found " + found + ", expected at most " +
                         std::to_string(limits.MaximumBytes) + " bytes");
}

/// Checks size, emptiness and encoding before parsing.
bool passesPreliminaryChecks(std::string_view text,
                             const DocumentLimits &limits,
                             base::LastReason &reason) {
  if (text.size() > limits.MaximumBytes) {
    failTooLarge(std::to_string(text.size()) + " bytes", limits, reason);
    return false;
  }
  if (text.find_first_not_of(WhiteSpace) == std::string_view::npos) {
    reason.fail(ResultCode::DocumentEmpty, "the document holds nothing");
    return false;
  }
  size_t invalid = findInvalidUtf8(text);
  if (invalid == std::string_view::npos)
    return true;
  reason.fail(ResultCode::DocumentNotUtf8,
              positionText(text, invalid) + ": the bytes are not UTF-8");
  return false;
}

void writeCanonical(const boost::json::value &value, std::string &out);

void writeCanonicalObject(const boost::json::object &object, std::string &out) {
  std::vector<const boost::json::key_value_pair *> pairs;
  pairs.reserve(object.size());
  for (const auto &it : object)
    pairs.push_back(&it);
  std::sort(pairs.begin(), pairs.end(),
            [](const auto *a, const auto *b) { return a->key() < b->key(); });
  out += '{';
  for (const auto *it : pairs) {
    if (it != pairs.front())
      out += ',';
    out += boost::json::serialize(it->key());
    out += ':';
    writeCanonical(it->value(), out);
  }
  out += '}';
}

void writeCanonical(const boost::json::value &value, std::string &out) {
  if (const auto *object = value.if_object()) {
    writeCanonicalObject(*object, out);
    return;
  }
  const auto *array = value.if_array();
  if (!array) {
    out += boost::json::serialize(value);
    return;
  }
  out += '[';
  for (const auto &it : *array) {
    if (&it != array->data())
      out += ',';
    writeCanonical(it, out);
  }
  out += ']';
}

} // namespace

std::optional<boost::json::value> parseStrictJson(std::string_view text,
                                                  const DocumentLimits &limits,
                                                  base::LastReason &reason) {
  if (!passesPreliminaryChecks(text, limits, reason))
    return std::nullopt;
  boost::json::parse_options options;
  options.max_depth = limits.MaximumDepth;
  boost::json::basic_parser<DocumentBuilder> parser(options);
  boost::json::error_code ec;
  size_t consumed = parser.write_some(false, text.data(), text.size(), ec);
  auto &builder = parser.handler();
  if (ec) {
    bool isRefusedByBuilder = builder.refusal() != ResultCode::Ok;
    ResultCode code = isRefusedByBuilder ? builder.refusal() : resultCodeOf(ec);
    return reason.fail(code, describeFailure(code, builder.path(),
                                             positionText(text, consumed),
                                             limits, ec));
  }
  size_t trailing = text.find_first_not_of(WhiteSpace, consumed);
  if (trailing != std::string_view::npos)
    return reason.fail(ResultCode::DocumentMalformed,
                       positionText(text, trailing) +
                           ": found text after the document's end");
  return builder.release();
}

std::optional<boost::json::value> readStrictJson(const std::string &path,
                                                 const DocumentLimits &limits,
                                                 base::LastReason &reason) {
  std::error_code ec;
  if (std::filesystem::is_directory(path, ec))
    return reason.fail(ResultCode::FileUnreadable, path + ": is a directory");
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return reason.fail(ResultCode::FileUnreadable, path + ": cannot be opened");
  auto size = std::filesystem::file_size(path, ec);
  if (!ec && size > limits.MaximumBytes)
    return failTooLarge(std::to_string(size) + " bytes", limits, reason);
  // The size of a file that is not regular is unknown, so the read is limited.
  std::string text(limits.MaximumBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad())
    return reason.fail(ResultCode::FileUnreadable, path + ": cannot be read");
  text.resize(file.gcount());
  return parseStrictJson(text, limits, reason);
}

std::string canonicalJson(const boost::json::value &value) {
  std::string out;
  writeCanonical(value, out);
  return out;
}

} // namespace radishcross::schema
