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

/// A request to the administration API after routing and authorisation.
struct ApiRequest {
  std::vector<std::string> Captures; ///< Segments matched by "*", in order.
  std::map<std::string, std::string, std::less<>> Query;
  std::string Body;
  std::string Authorization; ///< The header, forwarded to other nodes.
  std::string PeerHost;      ///< IP address of the client.
  const Token *Credential =
      nullptr; ///< Null where the route requires no token.
};

/// A request's path and query, percent-decoded.
struct ApiTarget {
  std::vector<std::string> Segments;
  std::map<std::string, std::string, std::less<>> Query;
};

/// Splits "/v1/status?configuration=badges". Fails with UsageError.
std::optional<ApiTarget> parseTarget(std::string_view target,
                                     base::LastReason &reason);

/// Percent-encodes text for a path segment or a query value.
std::string percentEncode(std::string_view text);

/// Returns the value of a query parameter, or an empty string.
std::string queryText(const ApiRequest &request, std::string_view key);

/// Returns a numeric query parameter, or \p fallback when it is missing. Fails
/// with UsageError when it is not a whole number or exceeds \p maximum.
std::optional<uint64_t> queryNumber(const ApiRequest &request,
                                    std::string_view key, uint64_t fallback,
                                    uint64_t maximum, base::LastReason &reason);

/// Parses an unsigned whole number. Fails with UsageError; \p name is the
/// parameter's name in the reason.
std::optional<uint64_t> parseNumber(std::string_view text,
                                    std::string_view name,
                                    base::LastReason &reason);

/// Parses the body as a strict JSON object. Fails with UnknownKey on a key that
/// is not in \p known.
std::optional<boost::json::object>
parseBody(const ApiRequest &request, const std::vector<std::string_view> &known,
          base::LastReason &reason);

} // namespace radishcross::admin
