#include "Command.h"
#include "Output.h"

#include <LibAdmin/CheckFile.h>
#include <LibAdmin/NodeSettings.h>
#include <LibConfig/VersionContentCodec.h>

namespace radishcross::cli {

using base::ResultCode;

ResultCode check(const Arguments &arguments) {
  base::LastReason reason;
  const auto &path = arguments.at(0);
  auto kind = admin::checkFile(path, reason);
  if (!kind) {
    base::LastReason named;
    named.fail(reason.code(), path + ": " + reason.text());
    return printFailure(named);
  }
  auto name = base::nameOf(admin::DocumentKindNames, *kind);
  if (isJsonOutput())
    printDocument(boost::json::object{{"file", path}, {"kind", name}});
  else
    print(path + ": valid " + std::string(name) + "\n");
  return ResultCode::Ok;
}

ResultCode schema(const Arguments &arguments) {
  const auto &name = arguments.at(0);
  if (name == "settings") {
    print(admin::nodeSettingsSchemaText());
    return ResultCode::Ok;
  }
  if (name == "version") {
    print(config::versionSchemaText());
    return ResultCode::Ok;
  }
  base::LastReason reason;
  reason.fail(ResultCode::UsageError,
              "found \"" + name + "\", expected settings or version");
  return printFailure(reason);
}

} // namespace radishcross::cli
