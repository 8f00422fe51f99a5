#pragma once

#include <LibCalls/CallBroker.h>
#include <LibCalls/RoutePreview.h>
#include <LibConfig/Snapshot.h>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>

namespace radishcross::admin {

/// A request that is asked about: no key, which the tenant's name replaces.
struct RouteQuestion {
  std::string Method = "GET";
  std::string Host;
  std::string Path;
  std::string CallerService;
  std::string Tenant;
  std::optional<config::Rank> CallRank; ///< Of the work that makes the request.
  base::Duration Remaining{};           ///< 0: only the route's deadline.
};

/// Returns {"request", "route", "tenant", "versions", "retries_left",
/// "candidates", and either "to" or "refused"} of a request. \p tenant: what is
/// known of it; null without one. Times are in milliseconds.
boost::json::object routeReport(const RouteQuestion &question,
                                const calls::RoutePreview &preview,
                                const config::Snapshot *held,
                                boost::json::value tenant);

/// Returns {"code", "name", "status", "stop", "retry_after_ms"} of a refusal.
boost::json::object refusalReport(const calls::CallStep &step);

/// Returns the text of a report for people.
std::string routeText(const boost::json::value &report);

} // namespace radishcross::admin
