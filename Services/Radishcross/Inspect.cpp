#include "Command.h"
#include "Flags.h"
#include "NodeApi.h"
#include "Output.h"

#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/TextTable.h>

#include <absl/flags/flag.h>

namespace radishcross::cli {

namespace json = boost::json;
using base::ResultCode;

namespace {

/// Appends a filter to the query of \p target unless its value is empty.
void addFilter(std::string &target, std::string_view key,
               const std::string &value) {
  if (value.empty())
    return;
  target += target.find('?') == std::string::npos ? '?' : '&';
  target += std::string(key) + "=" + admin::percentEncode(value);
}

std::string outcomeText(const json::value &entry) {
  return memberNumber(entry, "code") == 0
             ? "accepted"
             : "rejected: " + memberText(entry, "code") + " " +
                   memberText(entry, "name");
}

} // namespace

ResultCode audit(const Arguments &) {
  std::string target =
      "/v1/audit?limit=" + std::to_string(absl::GetFlag(FLAGS_limit));
  addFilter(target, "configuration", absl::GetFlag(FLAGS_configuration));
  addFilter(target, "actor", absl::GetFlag(FLAGS_actor));
  addFilter(target, "team", absl::GetFlag(FLAGS_team));
  addFilter(target, "kind", absl::GetFlag(FLAGS_kind));
  addFilter(target, "outcome", absl::GetFlag(FLAGS_outcome));
  addFilter(target, "since", absl::GetFlag(FLAGS_since));
  base::LastReason reason;
  auto answer = getFromNode(target, reason);
  if (!answer)
    return printFailure(reason);
  if (isJsonOutput()) {
    printDocument(answer->Document);
    return ResultCode::Ok;
  }
  admin::TextTable table({"OFFSET", "KIND", "CONFIGURATION", "VERSION", "BASE",
                          "TEAM", "ACTOR", "FROM", "OUTCOME"});
  for (const auto &it : answer->Document.at("entries").as_array())
    table.add({memberText(it, "offset"), memberText(it, "kind"),
               memberText(it, "configuration"), memberText(it, "version"),
               memberText(it, "base"), memberText(it, "team"),
               memberText(it, "actor"), memberText(it, "address"),
               outcomeText(it)});
  print(table.text());
  if (memberNumber(answer->Document, "left_out") > 0)
    print("(" + memberText(answer->Document, "left_out") +
          " older entries omitted; see --limit)\n");
  return ResultCode::Ok;
}

ResultCode members(const Arguments &) {
  base::LastReason reason;
  auto answer = getFromNode("/v1/members", reason);
  if (!answer)
    return printFailure(reason);
  if (isJsonOutput()) {
    printDocument(answer->Document);
    return ResultCode::Ok;
  }
  admin::TextTable table({"NODE", "DATA CENTRE", "REGION", "STATE", "OFFSET",
                          "TARGETS", "ADMINISTRATION"});
  for (const auto &it : answer->Document.at("members").as_array())
    table.add({memberText(it, "node"), memberText(it, "data_centre"),
               memberText(it, "region"), memberText(it, "state"),
               memberText(it, "offset"),
               std::to_string(it.at("targets").as_array().size()),
               memberText(it, "administration")});
  print(table.text());
  return ResultCode::Ok;
}

} // namespace radishcross::cli
