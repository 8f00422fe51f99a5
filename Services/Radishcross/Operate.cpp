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

ResultCode drainAskedNode() {
  base::LastReason reason;
  auto answer = askNode(verb::post, "/v1/drain-self", "", reason);
  if (!answer)
    return printFailure(reason);
  if (answer->Code != ResultCode::Ok) {
    reason.fail(answer->Code, cell(answer->Document, "reason"));
    return printFailure(reason);
  }
  if (isForMachines())
    printDocument(answer->Document);
  else
    print("draining: " + cell(answer->Document, "node") + "\n");
  return ResultCode::Ok;
}

ResultCode liftOne(const std::string &fingerprint) {
  base::LastReason reason;
  auto answer = askNode(verb::delete_,
                        "/v1/quarantine/" + admin::percentEncode(fingerprint),
                        "", reason);
  if (!answer)
    return printFailure(reason);
  if (answer->Code != ResultCode::Ok) {
    reason.fail(answer->Code, cell(answer->Document, "reason"));
    return printFailure(reason);
  }
  if (isForMachines())
    printDocument(answer->Document);
  else
    print("lifted: " + fingerprint + "\n");
  return ResultCode::Ok;
}

} // namespace

ResultCode drain(const Arguments &arguments) {
  const auto &name = arguments.at(0);
  if (name == "self")
    return drainAskedNode();
  bool isDrained = !absl::GetFlag(FLAGS_undo);
  return sendChange(verb::post, "/v1/drain",
                    json::object{{"what", name}, {"on", isDrained}},
                    (isDrained ? "drains " : "serves again: ") + name);
}

ResultCode quarantine(const Arguments &) {
  auto fingerprint = absl::GetFlag(FLAGS_lift);
  if (!fingerprint.empty())
    return liftOne(fingerprint);
  base::LastReason reason;
  auto answer = getFromNode("/v1/quarantine", reason);
  if (!answer)
    return printFailure(reason);
  if (isForMachines()) {
    printDocument(answer->Document);
    return ResultCode::Ok;
  }
  admin::TextTable table({"FINGERPRINT", "SERVICE", "CRASHES", "SECONDS LEFT"});
  for (const auto &it : answer->Document.at("quarantine").as_array())
    table.add({cell(it, "fingerprint"), cell(it, "service"),
               cell(it, "crashes"), cell(it, "seconds_left")});
  print(table.text());
  return ResultCode::Ok;
}

} // namespace radishcross::cli
