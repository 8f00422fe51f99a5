#include "Command.h"
#include "Flags.h"
#include "NodeApi.h"
#include "Output.h"

#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/RouteReport.h>

#include <absl/flags/flag.h>

namespace radishcross::cli {

using base::ResultCode;

ResultCode route(const Arguments &arguments) {
  std::string target =
      "/v1/route?method=" + admin::percentEncode(arguments.at(0)) +
      "&path=" + admin::percentEncode(arguments.at(1));
  const std::pair<std::string_view, std::string> given[] = {
      {"host", absl::GetFlag(FLAGS_host)},
      {"caller", absl::GetFlag(FLAGS_caller)},
      {"tenant", absl::GetFlag(FLAGS_tenant)},
      {"rank", absl::GetFlag(FLAGS_rank)}};
  for (const auto &[name, value] : given)
    if (!value.empty())
      target += "&" + std::string(name) + "=" + admin::percentEncode(value);
  base::LastReason reason;
  auto answer = getFromNode(target, reason);
  if (!answer)
    return printFailure(reason);
  if (isJsonOutput())
    printDocument(answer->Document);
  else
    print(admin::routeText(answer->Document));
  return ResultCode::Ok;
}

} // namespace radishcross::cli
