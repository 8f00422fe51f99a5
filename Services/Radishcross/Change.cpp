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
  if (numberOf(document, "version") != 0)
    out += ", version " + cell(document, "version");
  return out + ", at offset " + cell(document, "offset") + " (record " +
         cell(document, "record") + ")\n";
}

void printRejection(const NodeAnswer &answer, const std::string &what) {
  base::LastReason reason;
  reason.fail(answer.Code, cell(answer.Document, "reason"));
  std::fprintf(stderr, "rejected: %s: %s\n", what.c_str(),
               reason.line().c_str());
  const auto *document = answer.Document.if_object();
  const auto *impact = document ? document->if_contains("impact") : nullptr;
  if (impact) {
    std::fputs(impactText(*impact).c_str(), stderr);
    std::fputs("to go ahead, name the reason: --accept-impact TEXT\n", stderr);
  }
  const auto *winner = document ? document->if_contains("winner") : nullptr;
  if (!winner)
    return;
  std::fprintf(stderr, "won by: %s of team %s from %s, version %s, offset %s\n",
               cell(*winner, "actor").c_str(), cell(*winner, "team").c_str(),
               cell(*winner, "address").c_str(),
               cell(*winner, "version").c_str(),
               cell(*winner, "offset").c_str());
  std::fprintf(stderr, "its change: %s\n", cell(*winner, "difference").c_str());
}

void printUnknown(const std::string &record, const std::string &why) {
  std::fprintf(stderr,
               "unknown: %s\n"
               "ask later: radishcross status --record %s\n",
               why.c_str(), record.c_str());
}

ResultCode printLost(const std::string &record,
                     const base::LastReason &reason) {
  if (reason.code() != ResultCode::OutcomeUnknown)
    return printFailure(reason);
  if (isForMachines())
    printDocument(json::object{{"outcome", "unknown"}, {"record", record}});
  else
    printUnknown(record, "the node's answer was lost: " + reason.text());
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
      askNode(method, target + "?record=" + record, std::move(text), reason);
  if (!answer)
    return printLost(record, reason);
  if (isForMachines())
    printDocument(answer->Document);
  else if (answer->Code == ResultCode::Ok)
    print(acceptedLine(answer->Document, what));
  else if (answer->Code == ResultCode::OutcomeUnknown)
    printUnknown(record, cell(answer->Document, "reason"));
  else
    printRejection(*answer, what);
  return answer->Code;
}

} // namespace radishcross::cli
