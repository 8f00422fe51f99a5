#include "Change.h"

#include "ImpactText.h"
#include "NodeApi.h"
#include "Output.h"

#include <LibAdmin/RecordId.h>

#include <boost/json/serialize.hpp>
#include <cstdio>

namespace radishcross::cli {

namespace {

namespace json = boost::json;
using base::ResultCode;

std::string acceptedLine(const json::value &document, const std::string &what) {
  std::string out = "accepted: " + what;
  if (memberNumber(document, "version") != 0)
    out += ", version " + memberText(document, "version");
  return out + ", at offset " + memberText(document, "offset") + " (record " +
         memberText(document, "record") + ")\n";
}

void printRejection(const NodeResponse &answer, const std::string &what) {
  base::LastReason reason;
  reason.fail(answer.Code, memberText(answer.Document, "reason"));
  std::fprintf(stderr, "rejected: %s: %s\n", what.c_str(),
               reason.line().c_str());
  const auto *document = answer.Document.if_object();
  const auto *impact = document ? document->if_contains("impact") : nullptr;
  if (impact) {
    std::fputs(impactText(*impact).c_str(), stderr);
    std::fputs("to publish anyway, state the reason: --accept-impact TEXT\n",
               stderr);
  }
  const auto *winner = document ? document->if_contains("winner") : nullptr;
  if (!winner)
    return;
  std::fprintf(stderr, "won by: %s of team %s from %s, version %s, offset %s\n",
               memberText(*winner, "actor").c_str(),
               memberText(*winner, "team").c_str(),
               memberText(*winner, "address").c_str(),
               memberText(*winner, "version").c_str(),
               memberText(*winner, "offset").c_str());
  std::fprintf(stderr, "its change: %s\n",
               memberText(*winner, "difference").c_str());
}

void printUnknown(const std::string &record, const std::string &why) {
  std::fprintf(stderr,
               "unknown: %s\n"
               "query later: radishcross status --record %s\n",
               why.c_str(), record.c_str());
}

ResultCode printLostResponse(const std::string &record,
                             const base::LastReason &reason) {
  if (reason.code() != ResultCode::OutcomeUnknown)
    return printFailure(reason);
  if (isJsonOutput())
    printDocument(json::object{{"outcome", "unknown"}, {"record", record}});
  else
    printUnknown(record, "the node's response was lost: " + reason.text());
  return reason.code();
}

} // namespace

ResultCode sendChange(boost::beast::http::verb method,
                      const std::string &target, const json::object &body,
                      const std::string &what) {
  base::LastReason reason;
  std::string record = admin::newRecordId();
  std::string text;
  if (method != boost::beast::http::verb::delete_)
    text = json::serialize(body);
  auto answer =
      sendToNode(method, target + "?record=" + record, std::move(text), reason);
  if (!answer)
    return printLostResponse(record, reason);
  if (isJsonOutput())
    printDocument(answer->Document);
  else if (answer->Code == ResultCode::Ok)
    print(acceptedLine(answer->Document, what));
  else if (answer->Code == ResultCode::OutcomeUnknown)
    printUnknown(record, memberText(answer->Document, "reason"));
  else
    printRejection(*answer, what);
  return answer->Code;
}

} // namespace radishcross::cli
