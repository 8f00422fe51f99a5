#include <LibAdmin/ChangeRequest.h>

#include <LibAdmin/RecordId.h>
#include <LibAdmin/RequestBody.h>
#include <LibAdmin/TokenTable.h>
#include <LibConfig/VersionContentCodec.h>
#include <LibLog/RecordBodies.h>

#include <boost/json/array.hpp>

namespace radishcross::admin {

namespace {

namespace json = boost::json;
using base::ResultCode;

const std::vector<std::string_view> PublishKeys = {"base", "content", "attach",
                                                   "accepted_impact"};
constexpr std::string_view VmPrefix = "vm:";
constexpr std::string_view ServicePrefix = "service:";

/// Returns the record id chosen by the client, or a new one.
std::optional<std::string> readRecordId(const ApiRequest &request,
                                        base::LastReason &reason) {
  auto id = queryText(request, "record");
  if (id.empty())
    return newRecordId();
  if (!isRecordId(id))
    return reason.fail(ResultCode::BadValue,
                       "record: expected 8 to 64 letters, digits or hyphens");
  return id;
}

log::Author authorOf(const ApiRequest &request) {
  return {request.Credential->Team, request.Credential->Name, request.PeerHost};
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

/// Fails with WrongTeam when the configuration belongs to another team. The
/// fold enforces the same rule; checking it here saves the append.
bool checkTeam(const ApiRequest &request, const log::Fold &fold,
               std::string_view name, base::LastReason &reason) {
  const auto *found = findConfiguration(fold, name);
  if (!found || found->Team == request.Credential->Team)
    return true;
  reason.fail(ResultCode::WrongTeam, "the configuration " + std::string(name) +
                                         " belongs to another team");
  return false;
}

std::optional<log::SelectorBinding> readBinding(const json::value &value,
                                                base::LastReason &reason) {
  if (!value.is_object())
    return reason.fail(ResultCode::WrongType,
                       "attach: expected {\"name\", \"selector\"}");
  auto name = readName(value.as_object(), "name", reason);
  if (!name)
    return std::nullopt;
  auto selector = readSelector(value.as_object(), reason);
  if (!selector)
    return std::nullopt;
  return log::SelectorBinding{std::move(*name), std::move(*selector)};
}

/// Returns the bindings of a new version when the request has no "attach": all
/// current attachments of the configuration, or every node for a new one.
std::vector<log::SelectorBinding> defaultBindings(const log::Fold &fold,
                                                  const std::string &name) {
  std::vector<log::SelectorBinding> out;
  if (!findConfiguration(fold, name))
    out.push_back({name, config::Selector()});
  for (const auto &[key, it] : fold.attachments())
    if (it.Configuration == name)
      out.push_back({it.Name, it.NodeSelector});
  return out;
}

std::optional<std::vector<log::SelectorBinding>>
readBindings(const json::object &body, const log::Fold &fold,
             const std::string &name, base::LastReason &reason) {
  const auto *value = body.if_contains("attach");
  if (!value)
    return defaultBindings(fold, name);
  std::vector<log::SelectorBinding> out;
  if (value->is_null())
    return out;
  json::array given =
      value->is_array() ? value->as_array() : json::array{*value};
  for (const auto &it : given) {
    auto binding = readBinding(it, reason);
    if (!binding)
      return std::nullopt;
    out.push_back(std::move(*binding));
  }
  return out;
}

/// Checks that the request's token may drain \p what.
bool mayDrain(const ApiRequest &request, const log::Fold &fold,
              const std::string &what, base::LastReason &reason) {
  if (what.starts_with(VmPrefix))
    return allows(*request.Credential, Role::Administrator, reason);
  if (what.starts_with(ServicePrefix)) {
    auto service = what.substr(ServicePrefix.size());
    return checkTeam(request, fold, service.substr(0, service.find('/')),
                     reason);
  }
  reason.fail(ResultCode::BadValue,
              "what: expected vm:ID or service:CONFIGURATION/NAME");
  return false;
}

} // namespace

std::optional<PlannedContent> plannedContent(const ApiRequest &request,
                                             base::LastReason &reason) {
  const auto &name = request.Captures.at(0);
  if (!checkName(name, "configuration", reason))
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
  return PlannedContent{name, std::make_shared<const config::VersionContent>(
                                  std::move(*content))};
}

bool requiresImpactCheck(const ApiRequest &request) {
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
  const auto &name = request.Captures.at(0);
  if (!checkTeam(request, fold, name, reason) ||
      !plannedContent(request, reason))
    return std::nullopt;
  auto body = parseBody(request, PublishKeys, reason);
  if (!body)
    return std::nullopt;
  auto base = readNumber(*body, "base", newestVersion(fold, name), reason);
  auto impact = readText(*body, "accepted_impact", "", reason);
  if (!base || !impact)
    return std::nullopt;
  auto bindings = readBindings(*body, fold, name, reason);
  auto id = bindings ? readRecordId(request, reason) : std::nullopt;
  if (!id)
    return std::nullopt;
  return log::makePublish(std::move(*id), authorOf(request),
                          {name, *base, body->at("content"),
                           std::move(*bindings), std::move(*impact)});
}

std::optional<log::Attachment> plannedAttachment(const ApiRequest &request,
                                                 const log::Fold &fold,
                                                 base::LastReason &reason) {
  auto body = parseBody(
      request, {"name", "configuration", "version", "selector"}, reason);
  auto name = body ? readName(*body, "name", reason) : std::nullopt;
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
  auto selector = version ? readSelector(*body, reason) : std::nullopt;
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
  auto id = readRecordId(request, reason);
  if (!id)
    return std::nullopt;
  return log::makeAttach(std::move(*id), authorOf(request),
                         {planned->Name, planned->Configuration,
                          planned->Version, planned->NodeSelector});
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
  auto id = readRecordId(request, reason);
  if (!id)
    return std::nullopt;
  return log::makeDetach(std::move(*id), authorOf(request), {name});
}

std::optional<log::Record> drainRecord(const ApiRequest &request,
                                       const log::Fold &fold,
                                       base::LastReason &reason) {
  auto body = parseBody(request, {"what", "on"}, reason);
  auto what =
      body ? readText(*body, "what", std::nullopt, reason) : std::nullopt;
  if (!what || !mayDrain(request, fold, *what, reason))
    return std::nullopt;
  const auto *on = body->if_contains("on");
  if (on && !on->is_bool())
    return reason.fail(ResultCode::WrongType, "on: expected true or false");
  auto id = readRecordId(request, reason);
  if (!id)
    return std::nullopt;
  return log::makeDrain(std::move(*id), authorOf(request),
                        {*what, !on || on->as_bool()});
}

} // namespace radishcross::admin
