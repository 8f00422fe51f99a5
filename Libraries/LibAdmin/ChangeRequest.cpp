#include <LibAdmin/ChangeRequest.h>

#include <LibAdmin/RecordId.h>
#include <LibAdmin/TokenTable.h>
#include <LibConfig/Selector.h>
#include <LibConfig/VersionContentCodec.h>

#include <algorithm>
#include <boost/json/array.hpp>

namespace radishcross::admin {

namespace {

namespace json = boost::json;
using base::ResultCode;

const std::vector<std::string_view> PublishKeys = {"base", "content", "attach",
                                                   "accepted_impact"};
constexpr size_t MaximumNameLength = 64;
constexpr std::string_view VmPrefix = "vm:";
constexpr std::string_view ServicePrefix = "service:";

bool isName(std::string_view text) {
  return !text.empty() && text.size() <= MaximumNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

std::optional<std::string> readName(std::string text, std::string_view key,
                                    base::LastReason &reason) {
  if (isName(text))
    return text;
  return reason.fail(ResultCode::BadValue,
                     std::string(key) + ": found \"" +
                         text.substr(0, MaximumNameLength) +
                         "\", expected 1 to 64 letters, digits, '-', '_' or "
                         "'.'");
}

/// Reads a text; fails with WrongType, or MissingKey without a \p fallback.
std::optional<std::string> readText(const json::object &body,
                                    std::string_view key,
                                    std::optional<std::string> fallback,
                                    base::LastReason &reason) {
  const auto *value = body.if_contains(key);
  if (value && value->is_string())
    return std::string(value->as_string());
  if (value)
    return reason.fail(ResultCode::WrongType,
                       std::string(key) + ": expected a text");
  if (!fallback)
    return reason.fail(ResultCode::MissingKey,
                       std::string(key) + ": the key is missing");
  return fallback;
}

std::optional<uint64_t> readNumber(const json::object &body,
                                   std::string_view key, uint64_t fallback,
                                   base::LastReason &reason) {
  const auto *value = body.if_contains(key);
  if (!value)
    return fallback;
  boost::system::error_code ec;
  auto n = value->to_number<uint64_t>(ec);
  if (ec)
    return reason.fail(ResultCode::WrongType,
                       std::string(key) + ": expected a whole number");
  return n;
}

/// Starts a record with its id and author; the id may be the client's choice.
std::optional<log::Record> startRecord(const ApiRequest &request,
                                       log::RecordKind kind,
                                       base::LastReason &reason) {
  auto id = queryText(request, "record");
  if (id.empty())
    id = newRecordId();
  if (!isRecordId(id))
    return reason.fail(ResultCode::BadValue,
                       "record: expected 8 to 64 letters, digits or hyphens");
  log::Record out;
  out.Id = std::move(id);
  out.Kind = kind;
  out.By = {request.By->Team, request.By->Name, request.PeerHost};
  return out;
}

const log::Configuration *findConfiguration(const log::Fold &fold,
                                            std::string_view name) {
  auto it = fold.configurations().find(name);
  return it == fold.configurations().end() ? nullptr : &it->second;
}

uint64_t newestVersion(const log::Fold &fold, std::string_view name) {
  const auto *found = findConfiguration(fold, name);
  return found && !found->Versions.empty() ? found->Versions.back().Number : 0;
}

/// Fails with WrongTeam when the configuration is another team's. The fold
/// decides the same from the log; here it spares the append.
bool checkTeam(const ApiRequest &request, const log::Fold &fold,
               std::string_view name, base::LastReason &reason) {
  const auto *found = findConfiguration(fold, name);
  if (!found || found->Team == request.By->Team)
    return true;
  reason.fail(ResultCode::WrongTeam, "the configuration " + std::string(name) +
                                         " belongs to another team");
  return false;
}

std::optional<json::object> readAttachment(const json::value &value,
                                           base::LastReason &reason) {
  if (!value.is_object())
    return reason.fail(ResultCode::WrongType,
                       "attach: expected {\"name\", \"selector\"}");
  auto name = readText(value.as_object(), "name", std::nullopt, reason);
  if (name)
    name = readName(std::move(*name), "attach.name", reason);
  if (!name)
    return std::nullopt;
  auto text = readText(value.as_object(), "selector", "", reason);
  if (!text)
    return std::nullopt;
  auto selector = config::Selector::create(*text, reason);
  if (!selector)
    return std::nullopt;
  return json::object{{"name", *name}, {"selector", selector->text()}};
}

/// Returns what a new version is attached to when the operator does not say:
/// all that the configuration is attached to now, or every node at first.
json::array usualAttachments(const log::Fold &fold, const std::string &name) {
  json::array out;
  if (!findConfiguration(fold, name)) {
    out.push_back(json::object{{"name", name}, {"selector", ""}});
    return out;
  }
  for (const auto &[key, it] : fold.attachments())
    if (it.Configuration == name)
      out.push_back(
          json::object{{"name", it.Name}, {"selector", it.Chooses.text()}});
  return out;
}

std::optional<json::array> readAttachments(const json::object &body,
                                           const log::Fold &fold,
                                           const std::string &name,
                                           base::LastReason &reason) {
  const auto *value = body.if_contains("attach");
  if (!value)
    return usualAttachments(fold, name);
  json::array out;
  if (value->is_null())
    return out;
  json::array given =
      value->is_array() ? value->as_array() : json::array{*value};
  for (const auto &it : given) {
    auto attachment = readAttachment(it, reason);
    if (!attachment)
      return std::nullopt;
    out.push_back(std::move(*attachment));
  }
  return out;
}

} // namespace

std::optional<PlannedContent> plannedContent(const ApiRequest &request,
                                             base::LastReason &reason) {
  auto name = readName(request.Captures.at(0), "configuration", reason);
  if (!name)
    return std::nullopt;
  auto body = parseBody(request, PublishKeys, reason);
  if (!body)
    return std::nullopt;
  const auto *document = body->if_contains("content");
  if (!document)
    return reason.fail(ResultCode::MissingKey, "content: the key is missing");
  auto content = config::decodeVersionContent(*document, reason);
  if (!content)
    return std::nullopt;
  return PlannedContent{
      std::move(*name),
      std::make_shared<const config::VersionContent>(std::move(*content))};
}

bool needsAssessment(const ApiRequest &request) {
  base::LastReason ignored;
  auto body = parseBody(request, PublishKeys, ignored);
  if (!body)
    return false;
  const auto *attach = body->if_contains("attach");
  const auto *accepted = body->if_contains("accepted_impact");
  bool isAccepted =
      accepted && accepted->is_string() && !accepted->as_string().empty();
  return !isAccepted && !(attach && attach->is_null());
}

std::optional<log::Record> publishRecord(const ApiRequest &request,
                                         const log::Fold &fold,
                                         base::LastReason &reason) {
  auto name = readName(request.Captures.at(0), "configuration", reason);
  if (!name || !checkTeam(request, fold, *name, reason))
    return std::nullopt;
  auto body = parseBody(request, PublishKeys, reason);
  if (!body)
    return std::nullopt;
  const auto *content = body->if_contains("content");
  if (!content)
    return reason.fail(ResultCode::MissingKey, "content: the key is missing");
  if (!config::decodeVersionContent(*content, reason))
    return std::nullopt;
  auto base = readNumber(*body, "base", newestVersion(fold, *name), reason);
  auto impact = readText(*body, "accepted_impact", "", reason);
  if (!base || !impact)
    return std::nullopt;
  auto attachments = readAttachments(*body, fold, *name, reason);
  if (!attachments)
    return std::nullopt;
  auto record = startRecord(request, log::RecordKind::Publish, reason);
  if (!record)
    return std::nullopt;
  json::object out{
      {"configuration", *name}, {"base", *base}, {"content", *content}};
  if (!attachments->empty())
    out["attach"] = std::move(*attachments);
  if (!impact->empty())
    out["accepted_impact"] = *impact;
  record->Body = std::move(out);
  return record;
}

std::optional<log::Attachment> plannedAttachment(const ApiRequest &request,
                                                 const log::Fold &fold,
                                                 base::LastReason &reason) {
  auto body = parseBody(
      request, {"name", "configuration", "version", "selector"}, reason);
  if (!body)
    return std::nullopt;
  auto name = readText(*body, "name", std::nullopt, reason);
  if (name)
    name = readName(std::move(*name), "name", reason);
  if (!name)
    return std::nullopt;
  auto configuration = readText(*body, "configuration", std::nullopt, reason);
  if (!configuration)
    return std::nullopt;
  if (!findConfiguration(fold, *configuration))
    return reason.fail(ResultCode::UnknownConfiguration,
                       "no configuration is named " + *configuration);
  auto version =
      readNumber(*body, "version", newestVersion(fold, *configuration), reason);
  auto text = readText(*body, "selector", "", reason);
  if (!version || !text)
    return std::nullopt;
  auto selector = config::Selector::create(*text, reason);
  if (!selector)
    return std::nullopt;
  return log::Attachment{*name, *configuration, *version, std::move(*selector),
                         0};
}

std::optional<log::Record> attachRecord(const ApiRequest &request,
                                        const log::Fold &fold,
                                        base::LastReason &reason) {
  auto planned = plannedAttachment(request, fold, reason);
  if (!planned || !checkTeam(request, fold, planned->Configuration, reason))
    return std::nullopt;
  auto record = startRecord(request, log::RecordKind::Attach, reason);
  if (record)
    record->Body = json::object{{"name", planned->Name},
                                {"configuration", planned->Configuration},
                                {"version", planned->Version},
                                {"selector", planned->Chooses.text()}};
  return record;
}

std::optional<log::Record> detachRecord(const ApiRequest &request,
                                        const log::Fold &fold,
                                        base::LastReason &reason) {
  const auto &name = request.Captures.at(0);
  auto it = fold.attachments().find(name);
  if (it == fold.attachments().end())
    return reason.fail(ResultCode::NotFound, "no attachment is named " + name);
  if (!checkTeam(request, fold, it->second.Configuration, reason))
    return std::nullopt;
  auto record = startRecord(request, log::RecordKind::Detach, reason);
  if (record)
    record->Body = json::object{{"name", name}};
  return record;
}

std::optional<log::Record> drainRecord(const ApiRequest &request,
                                       const log::Fold &fold,
                                       base::LastReason &reason) {
  auto body = parseBody(request, {"what", "on"}, reason);
  if (!body)
    return std::nullopt;
  auto what = readText(*body, "what", std::nullopt, reason);
  if (!what)
    return std::nullopt;
  if (what->starts_with(VmPrefix)) {
    if (!allows(*request.By, Role::Administrator, reason))
      return std::nullopt;
  } else if (what->starts_with(ServicePrefix)) {
    auto service = what->substr(ServicePrefix.size());
    if (!checkTeam(request, fold, service.substr(0, service.find('/')), reason))
      return std::nullopt;
  } else {
    return reason.fail(ResultCode::BadValue,
                       "what: expected vm:ID or service:CONFIGURATION/NAME");
  }
  const auto *on = body->if_contains("on");
  if (on && !on->is_bool())
    return reason.fail(ResultCode::WrongType, "on: expected true or false");
  auto record = startRecord(request, log::RecordKind::Drain, reason);
  if (record)
    record->Body = json::object{{"what", *what}, {"on", !on || on->as_bool()}};
  return record;
}

} // namespace radishcross::admin
