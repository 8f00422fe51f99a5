#pragma once

#include <LibBase/Metrics.h>
#include <LibConfig/Snapshot.h>
#include <LibFleet/Member.h>
#include <LibLog/Fold.h>
#include <LibLog/HeldVersions.h>

#include <boost/json/value.hpp>
#include <functional>
#include <string>
#include <vector>

namespace radishcross::admin {

/// How a change to the log ended.
struct ChangeOutcome {
  enum class Kind : uint8_t { Accepted, Rejected, Unknown };
  Kind Result = Kind::Unknown;
  std::string RecordId;
  log::RecordOutcome Outcome; ///< Code and reason of the fold, when known.
};

/// When a node came to hold a version.
struct HoldingSince {
  std::string Configuration;
  uint64_t Version = 0;
  int64_t SinceUnixMilliseconds = 0;
};

/// What the administration API asks of its node; tests put a mock here.
class NodeControl {
public:
  virtual ~NodeControl() = default;

  virtual const fleet::NodeIdentity &identity() const = 0;
  virtual const log::Fold &fold() const = 0;
  virtual const log::HeldVersions &held() const = 0;
  virtual std::vector<HoldingSince> holdingSince() const = 0;
  virtual std::vector<fleet::Member> members() const = 0;
  virtual base::Metrics &metrics() = 0;

  /// Tells whether the node has recovered and serves.
  virtual bool ready() const = 0;

  /// Appends a record and reports its fate after this node has folded it; an
  /// append whose answer was lost is looked for in the log until \p timeout.
  virtual void change(log::Record record, base::Duration timeout,
                      std::function<void(ChangeOutcome)> done) = 0;

  /// Returns the calls per second by rank over the last minute for each route
  /// ("configuration/route") and what is in use of each limit, for impact.
  virtual boost::json::value usage() const = 0;

  /// Returns the requests in quarantine; lifts one by its fingerprint.
  virtual boost::json::value quarantine() const = 0;
  virtual bool liftQuarantine(uint64_t fingerprint) = 0;

  /// Returns the recorded decisions of the last \p seconds as a trace text.
  virtual std::string recording(uint32_t seconds) const = 0;

  /// Starts this node's graceful shutdown.
  virtual void drainSelf() = 0;
};

} // namespace radishcross::admin
