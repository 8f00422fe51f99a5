#include "Change.h"
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
using boost::beast::http::verb;

namespace {

ResultCode drainNode() {
  base::LastReason reason;
  auto answer = sendToNode(verb::post, "/v1/drain-self", "", reason);
  if (!answer)
    return printFailure(reason);
  if (answer->Code != ResultCode::Ok) {
    reason.fail(answer->Code, memberText(answer->Document, "reason"));
    return printFailure(reason);
  }
  if (isJsonOutput())
    printDocument(answer->Document);
  else
    print("draining: " + memberText(answer->Document, "node") + "\n");
  return ResultCode::Ok;
}

ResultCode liftQuarantine(const std::string &fingerprint) {
  base::LastReason reason;
  auto answer = sendToNode(
      verb::delete_, "/v1/quarantine/" + admin::percentEncode(fingerprint), "",
      reason);
  if (!answer)
    return printFailure(reason);
  if (answer->Code != ResultCode::Ok) {
    reason.fail(answer->Code, memberText(answer->Document, "reason"));
    return printFailure(reason);
  }
  if (isJsonOutput())
    printDocument(answer->Document);
  else
    print("lifted: " + fingerprint + "\n");
  return ResultCode::Ok;
}

} // namespace

ResultCode drain(const Arguments &arguments) {
  const auto &name = arguments.at(0);
  if (name == "self")
    return drainNode();
  bool isDrained = !absl::GetFlag(FLAGS_undo);
  return sendChange(verb::post, "/v1/drain",
                    json::object{{"what", name}, {"on", isDrained}},
                    (isDrained ? "drains " : "serves again: ") + name);
}

ResultCode allotments(const Arguments &) {
  base::LastReason reason;
  auto answer = getFromNode("/v1/allotments", reason);
  if (!answer)
    return printFailure(reason);
  if (isJsonOutput()) {
    printDocument(answer->Document);
    return ResultCode::Ok;
  }
  admin::TextTable table(
      {"TENANT", "RATE", "BURST", "GRANTED", "REFUSED", "HELD", "KEEPER"});
  for (const auto &it : answer->Document.at("allotments").as_array())
    table.add({memberText(it, "tenant"), memberText(it, "rate_per_second"),
               memberText(it, "burst"), memberText(it, "granted"),
               memberText(it, "refused"), memberText(it, "held"),
               memberText(it, "keeper")});
  print(table.text());
  return ResultCode::Ok;
}

ResultCode quarantine(const Arguments &) {
  auto fingerprint = absl::GetFlag(FLAGS_lift);
  if (!fingerprint.empty())
    return liftQuarantine(fingerprint);
  base::LastReason reason;
  auto answer = getFromNode("/v1/quarantine", reason);
  if (!answer)
    return printFailure(reason);
  if (isJsonOutput()) {
    printDocument(answer->Document);
    return ResultCode::Ok;
  }
  admin::TextTable table({"FINGERPRINT", "SERVICE", "CRASHES", "SECONDS LEFT"});
  for (const auto &it : answer->Document.at("quarantine").as_array())
    table.add({memberText(it, "fingerprint"), memberText(it, "service"),
               memberText(it, "crashes"), memberText(it, "seconds_left")});
  print(table.text());
  return ResultCode::Ok;
}

} // namespace radishcross::cli
