#include "Command.h"
#include "Flags.h"
#include "ImpactText.h"
#include "NodeApi.h"
#include "Output.h"

#include <LibAdmin/ApiRequest.h>
#include <LibSchema/StrictJson.h>

#include <absl/flags/flag.h>
#include <absl/strings/str_format.h>
#include <boost/json/serialize.hpp>

namespace radishcross::cli {

namespace {

namespace json = boost::json;
using base::ResultCode;

const json::array &arrayAt(const json::value &from, std::string_view key) {
  static const json::array none;
  const auto *root = from.if_object();
  const auto *value = root ? root->if_contains(key) : nullptr;
  return value && value->is_array() ? value->as_array() : none;
}

void addRoutes(std::string &out, const json::value &impact,
               std::string_view key, std::string_view what) {
  for (const auto &it : arrayAt(impact, key))
    out += std::string(what) + memberText(it, "route") + " (" +
           memberText(it, "rank") +
           absl::StrFormat(", %.2f calls a second)\n",
                           it.at("calls_per_s").to_number<double>());
}

} // namespace

std::string impactText(const json::value &impact) {
  std::string out = "asked " + memberText(impact, "nodes") + " nodes, " +
                    memberText(impact, "answered") + " answered\n";
  addRoutes(out, impact, "lost_routes", "loses its route: ");
  addRoutes(out, impact, "demoted_routes", "drops in rank: ");
  for (const auto &it : arrayAt(impact, "without_targets"))
    out += "has no target: " + std::string(it.as_string()) + "\n";
  for (const auto &it : arrayAt(impact, "tightened_limits"))
    out += "limit below current use: " + memberText(it, "limit") + " of " +
           memberText(it, "service") + ", " + memberText(it, "in_use") +
           " in use, " + memberText(it, "proposed") + " proposed\n";
  auto waits = memberText(impact, "waits_for");
  if (!waits.empty())
    out += "proxies would not apply it: " + waits + "\n";
  return out;
}

ResultCode impact(const Arguments &arguments) {
  base::LastReason reason;
  auto name = absl::GetFlag(FLAGS_configuration);
  if (name.empty()) {
    reason.fail(ResultCode::UsageError,
                "radishcross impact needs --configuration NAME");
    return printFailure(reason);
  }
  auto content = schema::readStrictJson(arguments.at(0), {}, reason);
  if (!content)
    return printFailure(reason);
  json::object body{{"content", std::move(*content)}};
  auto answer =
      sendToNode(boost::beast::http::verb::post,
                 "/v1/configurations/" + admin::percentEncode(name) + "/impact",
                 json::serialize(body), reason);
  if (!answer)
    return printFailure(reason);
  const auto &document = answer->Document;
  if (answer->Code != ResultCode::Ok) {
    reason.fail(answer->Code, memberText(document, "reason"));
    return printFailure(reason);
  }
  if (isJsonOutput())
    printDocument(document);
  else
    print(impactText(document) + (memberText(document, "harmless") == "true"
                                      ? "harmless\n"
                                      : "harmful\n"));
  return ResultCode::Ok;
}

} // namespace radishcross::cli
