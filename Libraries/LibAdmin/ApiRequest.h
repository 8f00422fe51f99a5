#pragma once

#include <LibAdmin/NodeSettings.h>
#include <LibBase/LastReason.h>

#include <boost/json/object.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::admin {

/// One request to the administration API after it was routed and allowed.
struct ApiRequest {
  std::vector<std::string> Captures; ///< What stood for each "*" of the route.
  std::map<std::string, std::string, std::less<>> Query;
  std::string Body;
  std::string Authorization; ///< The header, to ask other nodes with.
  std::string PeerHost;      ///< The IP number that the request came from.
  const Token *Credential = nullptr; ///< Null where the route needs no token.
};

/// A request's path and query, percent-decoded.
struct ApiTarget {
  std::vector<std::string> Segments;
  std::map<std::string, std::string, std::less<>> Query;
};

/// Splits "/v1/status?configuration=badges". Fails with UsageError.
std::optional<ApiTarget> parseTarget(std::string_view target,
                                     base::LastReason &reason);

/// Returns text encoded for use in a path segment or a query's value.
std::string percentEncode(std::string_view text);

/// Returns a query's value, or an empty text.
std::string queryText(const ApiRequest &request, std::string_view key);

/// Returns a query's number, or \p fallback when it is missing. Fails with
/// UsageError when it is no number up to \p maximum.
std::optional<uint64_t> queryNumber(const ApiRequest &request,
                                    std::string_view key, uint64_t fallback,
                                    uint64_t maximum, base::LastReason &reason);

/// Parses a whole number. Fails with UsageError; \p name is for the reason.
std::optional<uint64_t> parseNumber(std::string_view text,
                                    std::string_view name,
                                    base::LastReason &reason);

/// Parses the body as one strict JSON object whose keys are all in \p known.
std::optional<boost::json::object>
parseBody(const ApiRequest &request, const std::vector<std::string_view> &known,
          base::LastReason &reason);

} // namespace radishcross::admin
