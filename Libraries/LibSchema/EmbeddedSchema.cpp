#include <LibSchema/EmbeddedSchema.h>

namespace radishcross::schema {

std::optional<boost::json::value>
EmbeddedSchema::parse(std::string_view body, const DocumentLimits &limits,
                      base::LastReason &reason) const {
  auto document = parseStrictJson(body, limits, reason);
  if (!document)
    return std::nullopt;
  if (!Compiled)
    return reason.fail(base::ResultCode::Internal,
                       "an embedded schema cannot be compiled: " +
                           CompileError.text());
  if (!Compiled->check(*document, reason))
    return std::nullopt;
  return document;
}

} // namespace radishcross::schema
