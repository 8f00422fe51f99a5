#include "Change.h"
#include "Command.h"
#include "Flags.h"
#include "NodeApi.h"
#include "Output.h"

#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/TextTable.h>

#include <absl/flags/flag.h>
#include <boost/json/serialize.hpp>

namespace radishcross::cli {

namespace json = boost::json;
using base::ResultCode;
using boost::beast::http::verb;

namespace {

ResultCode preview(const json::object &body) {
  base::LastReason reason;
  auto answer = sendToNode(verb::post, "/v1/attachments/preview",
                           json::serialize(body), reason);
  if (!answer)
    return printFailure(reason);
  const auto &document = answer->Document;
  if (answer->Code != ResultCode::Ok) {
    reason.fail(answer->Code, memberText(document, "reason"));
    return printFailure(reason);
  }
  if (isJsonOutput()) {
    printDocument(document);
    return ResultCode::Ok;
  }
  const auto &changes = document.at("changes").as_array();
  print("would select " + memberText(document, "selected") + " of " +
        memberText(document, "nodes") + " nodes; " +
        std::to_string(changes.size()) + " would change\n");
  admin::TextTable table({"NODE", "DATA CENTRE", "FROM", "TO", "EFFECT"});
  for (const auto &it : changes)
    table.add({memberText(it, "node"), memberText(it, "data_centre"),
               memberText(it, "from"), memberText(it, "to"),
               memberText(it, "effect")});
  if (!changes.empty())
    print(table.text());
  return ResultCode::Ok;
}

} // namespace

ResultCode attach(const Arguments &arguments) {
  base::LastReason reason;
  auto configuration = absl::GetFlag(FLAGS_configuration);
  if (configuration.empty()) {
    reason.fail(ResultCode::UsageError,
                "radishcross attach needs --configuration NAME");
    return printFailure(reason);
  }
  const auto &name = arguments.at(0);
  json::object body{{"name", name},
                    {"configuration", configuration},
                    {"selector", absl::GetFlag(FLAGS_selector)}};
  auto version = absl::GetFlag(FLAGS_version_number);
  if (!version.empty()) {
    auto number = admin::parseNumber(version, "--version", reason);
    if (!number)
      return printFailure(reason);
    body["version"] = *number;
  }
  if (absl::GetFlag(FLAGS_dry_run))
    return preview(body);
  return sendChange(verb::post, "/v1/attachments", body,
                    name + " of " + configuration);
}

ResultCode detach(const Arguments &arguments) {
  const auto &name = arguments.at(0);
  return sendChange(verb::delete_,
                    "/v1/attachments/" + admin::percentEncode(name), {}, name);
}

} // namespace radishcross::cli
