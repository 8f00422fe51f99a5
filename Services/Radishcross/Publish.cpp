#include "Change.h"
#include "Command.h"
#include "Flags.h"
#include "Output.h"

#include <LibAdmin/ApiRequest.h>
#include <LibConfig/VersionContentCodec.h>
#include <LibSchema/StrictJson.h>

#include <absl/flags/flag.h>

namespace radishcross::cli {

namespace {

namespace json = boost::json;
using base::ResultCode;

bool addBase(json::object &body, base::LastReason &reason) {
  auto text = absl::GetFlag(FLAGS_base);
  if (text.empty())
    return true;
  auto number = admin::parseNumber(text, "--base", reason);
  if (number)
    body["base"] = *number;
  return number.has_value();
}

bool addAttachment(json::object &body, base::LastReason &reason) {
  auto name = absl::GetFlag(FLAGS_attach);
  auto selector = absl::GetFlag(FLAGS_selector);
  bool skipsAttachment = absl::GetFlag(FLAGS_no_attach);
  if ((skipsAttachment && !name.empty()) ||
      (name.empty() && !selector.empty())) {
    reason.fail(ResultCode::UsageError,
                "expected --attach NAME with --selector TEXT, or --no-attach");
    return false;
  }
  if (skipsAttachment)
    body["attach"] = nullptr;
  else if (!name.empty())
    body["attach"] = json::object{{"name", name}, {"selector", selector}};
  return true;
}

} // namespace

ResultCode publish(const Arguments &arguments) {
  base::LastReason reason;
  auto name = absl::GetFlag(FLAGS_configuration);
  if (name.empty()) {
    reason.fail(ResultCode::UsageError,
                "radishcross publish needs --configuration NAME");
    return printFailure(reason);
  }
  auto content = schema::readStrictJson(arguments.at(0), {}, reason);
  if (!content || !config::decodeVersionContent(*content, reason))
    return printFailure(reason);
  json::object body{{"content", std::move(*content)}};
  if (!addBase(body, reason) || !addAttachment(body, reason))
    return printFailure(reason);
  auto impact = absl::GetFlag(FLAGS_accept_impact);
  if (!impact.empty())
    body["accepted_impact"] = impact;
  return sendChange(boost::beast::http::verb::post,
                    "/v1/configurations/" + admin::percentEncode(name) +
                        "/versions",
                    body, name);
}

} // namespace radishcross::cli
