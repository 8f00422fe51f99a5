#include <LibLog/BodyReader.h>
#include <LibLog/Record.h>
#include <LibLog/RecordId.h>
#include <LibSchema/StrictJson.h>

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace radishcross::log {

namespace {

using base::ResultCode;

constexpr size_t MaximumAuthorBytes = 128;
constexpr size_t MaximumRecordDepth = 24;

Author readAuthor(const boost::json::value &from, base::LastReason &reason,
                  bool &isValid) {
  BodyReader reader(from);
  Author out;
  out.Team = reader.text("team", MaximumAuthorBytes);
  out.Actor = reader.text("actor", MaximumAuthorBytes);
  out.Address = reader.text("address", MaximumAuthorBytes);
  isValid = reader.finish(reason);
  return out;
}

} // namespace

bool isRecordId(std::string_view text) {
  return !text.empty() && text.size() <= MaximumRecordIdBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

std::optional<Record> decodeRecord(std::string_view bytes,
                                   base::LastReason &reason) {
  return decodeRecord(bytes, MaximumRecordBytes, reason);
}

std::optional<Record> decodeRecord(std::string_view bytes, size_t maximumBytes,
                                   base::LastReason &reason) {
  if (bytes.size() > maximumBytes)
    return reason.fail(ResultCode::RecordTooLarge,
                       "found " + std::to_string(bytes.size()) +
                           " bytes, expected at most " +
                           std::to_string(maximumBytes));
  auto parsed = schema::parseStrictJson(
      bytes, {.MaximumBytes = maximumBytes, .MaximumDepth = MaximumRecordDepth},
      reason);
  if (!parsed)
    return reason.fail(ResultCode::RecordMalformed, reason.line());
  BodyReader reader(*parsed);
  Record out;
  out.Id = reader.text("id", MaximumRecordIdBytes);
  if (!isRecordId(out.Id))
    reader.fail("id", "1 to 128 printable bytes without spaces");
  auto kind = base::fromName(RecordKindNames, reader.text("kind", 16));
  if (!kind)
    reader.fail("kind", "a known kind of record");
  const auto &by = reader.any("by");
  const auto *body = reader.optional("body");
  if (!body || !body->is_object())
    reader.fail("body", "an object");
  if (!reader.finish(reason))
    return std::nullopt;
  bool isValid = false;
  out.By = readAuthor(by, reason, isValid);
  if (!isValid)
    return reason.fail(ResultCode::RecordMalformed, "by." + reason.text());
  out.Kind = *kind;
  out.Body = std::move(*parsed->get_object().if_contains("body"));
  return out;
}

std::string encodeRecord(const Record &record) {
  boost::json::object by{{"team", record.By.Team},
                         {"actor", record.By.Actor},
                         {"address", record.By.Address}};
  return boost::json::serialize(
      boost::json::object{{"id", record.Id},
                          {"kind", base::nameOf(RecordKindNames, record.Kind)},
                          {"by", std::move(by)},
                          {"body", record.Body}});
}

} // namespace radishcross::log
