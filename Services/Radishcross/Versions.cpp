#include "Command.h"
#include "Flags.h"
#include "NodeApi.h"
#include "Output.h"

#include <LibAdmin/ApiRequest.h>
#include <LibConfig/Difference.h>

#include <absl/flags/flag.h>
#include <boost/json/serialize.hpp>

namespace radishcross::cli {

namespace {

namespace json = boost::json;
using base::ResultCode;

constexpr size_t MaximumDifferenceBytes = 1UL << 20;

std::string pathOf(const std::string &name) {
  return "/v1/configurations/" + admin::percentEncode(name);
}

std::optional<json::value> contentOf(const std::string &name, uint64_t version,
                                     base::LastReason &reason) {
  if (version == 0)
    return json::value(json::object{});
  auto answer = getFromNode(
      pathOf(name) + "/versions/" + std::to_string(version), reason);
  if (!answer)
    return std::nullopt;
  return answer->Document.at("content");
}

/// Returns the version given by a flag, or \p fallback if it is empty.
std::optional<uint64_t> versionFlag(const std::string &text,
                                    std::string_view flag, uint64_t fallback,
                                    base::LastReason &reason) {
  return text.empty() ? fallback : admin::parseNumber(text, flag, reason);
}

std::string namesOf(const json::value &list) {
  std::string out;
  if (!list.is_array())
    return json::serialize(list);
  for (const auto &it : list.as_array()) {
    auto name = it.is_object()   ? memberText(it, "name")
                : it.is_string() ? std::string(it.as_string())
                                 : json::serialize(it);
    out += (out.empty() ? "" : ", ") + name;
  }
  return out;
}

/// Prints one section of a difference: "services", "routes" or "limits".
void printPart(std::string_view part, const json::value &changes) {
  if (!changes.is_object())
    return;
  for (const auto &[what, value] : changes.as_object()) {
    if (what != "changed" || !value.is_object()) {
      print(std::string(part) + " " + std::string(what) + ": " +
            namesOf(value) + "\n");
      continue;
    }
    for (const auto &[name, keys] : value.as_object())
      print(std::string(part) + " changed: " + std::string(name) + " " +
            json::serialize(keys) + "\n");
  }
}

} // namespace

ResultCode show(const Arguments &arguments) {
  base::LastReason reason;
  const auto &name = arguments.at(0);
  auto report = getFromNode(pathOf(name), reason);
  if (!report)
    return printFailure(reason);
  auto newest = static_cast<uint64_t>(memberNumber(report->Document, "newest"));
  auto version = versionFlag(absl::GetFlag(FLAGS_version_number), "--version",
                             newest, reason);
  auto content = version ? contentOf(name, *version, reason) : std::nullopt;
  if (!content)
    return printFailure(reason);
  printDocument(*content);
  return ResultCode::Ok;
}

ResultCode diff(const Arguments &arguments) {
  base::LastReason reason;
  const auto &name = arguments.at(0);
  auto report = getFromNode(pathOf(name), reason);
  if (!report)
    return printFailure(reason);
  auto newest = static_cast<uint64_t>(memberNumber(report->Document, "newest"));
  auto to = versionFlag(absl::GetFlag(FLAGS_to), "--to", newest, reason);
  if (!to)
    return printFailure(reason);
  auto from = versionFlag(absl::GetFlag(FLAGS_from), "--from",
                          *to == 0 ? 0 : *to - 1, reason);
  if (!from)
    return printFailure(reason);
  auto older = contentOf(name, *from, reason);
  auto newer = older ? contentOf(name, *to, reason) : std::nullopt;
  if (!newer)
    return printFailure(reason);
  auto changes = config::difference(*older, *newer, MaximumDifferenceBytes);
  if (isJsonOutput()) {
    printDocument(json::object{{"configuration", name},
                               {"from", *from},
                               {"to", *to},
                               {"difference", changes}});
    return ResultCode::Ok;
  }
  print(name + ": version " + std::to_string(*from) + " to " +
        std::to_string(*to) + "\n");
  if (!changes.is_object() || changes.as_object().empty())
    print("no difference\n");
  else
    for (const auto &[part, value] : changes.as_object())
      printPart(part, value);
  return ResultCode::Ok;
}

} // namespace radishcross::cli
