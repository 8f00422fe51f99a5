#pragma once

#include <LibAdmin/RouteReport.h>
#include <LibBase/Metrics.h>
#include <LibConfig/Snapshot.h>
#include <LibFleet/Member.h>
#include <LibLog/Fold.h>
#include <LibLog/HeldVersions.h>

#include <boost/json/value.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::admin {

/// Result of appending a change to the log.
struct ChangeOutcome {
  enum class Kind : uint8_t { Accepted, Rejected, Unknown };
  Kind Result = Kind::Unknown;
  std::string RecordId;
  log::RecordOutcome Outcome; ///< Code and reason from the fold, when known.
};

/// Time since which a node has held a version.
struct HoldingSince {
  std::string Configuration;
  uint64_t Version = 0;
  int64_t SinceUnixMilliseconds = 0;
};

/// Interface of the node that the administration API uses; tests mock it.
class NodeControl {
public:
  virtual ~NodeControl() = default;

  virtual const fleet::NodeIdentity &identity() const = 0;
  virtual const log::Fold &fold() const = 0;
  virtual const log::HeldVersions &held() const = 0;
  virtual std::vector<HoldingSince> holdingSince() const = 0;
  virtual std::vector<fleet::Member> members() const = 0;
  virtual base::Metrics &metrics() = 0;

  /// Returns whether the node has recovered its configuration and serves.
  virtual bool ready() const = 0;

  /// Returns how long ago the external configuration held was last known to be
  /// the newest; nothing if there is none or a newer one was reported.
  virtual std::optional<base::Duration> externalAge() const = 0;

  /// Appends a record and passes its outcome to \p done after this node has
  /// applied it to the fold. An append whose response was lost is searched for
  /// in the log until \p timeout.
  virtual void change(log::Record record, base::Duration timeout,
                      std::function<void(ChangeOutcome)> done) = 0;

  /// Returns the calls per second by rank over the last minute for each route
  /// ("configuration/route") and the current use of each limit, as input of
  /// impact assessments.
  virtual boost::json::value usage() const = 0;

  /// Returns the allotments of the tenants, and what this node granted and
  /// refused of each.
  virtual boost::json::value allotments() const = 0;

  /// Returns where a request would go now, and why; see routeReport(). Nothing
  /// is counted, recorded or changed.
  virtual boost::json::value route(const RouteQuestion &question) const = 0;

  /// Returns the quarantined requests.
  /// liftQuarantine() releases one by its fingerprint; false if there is none.
  virtual boost::json::value quarantine() const = 0;
  virtual bool liftQuarantine(uint64_t fingerprint) = 0;

  /// Returns the decisions recorded in the last \p seconds in trace format.
  virtual std::string recording(uint32_t seconds) const = 0;

  /// Starts a graceful shutdown of this node.
  virtual void drainSelf() = 0;
};

} // namespace radishcross::admin
