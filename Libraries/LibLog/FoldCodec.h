#pragma once

#include <LibLog/FoldState.h>

#include <boost/json/value.hpp>

namespace radishcross::log {

/// Serialises the fold's state to JSON and restores it.
class FoldCodec {
public:
  /// Returns the state as one JSON document.
  static boost::json::value save(const FoldState &state);

  /// Fills the empty \p state from \p document. Fails with SnapshotMismatch; \p
  /// state must not be used after that.
  static bool load(const boost::json::value &document, FoldState &state,
                   base::LastReason &reason);

private:
  static boost::json::value
  saveConfiguration(const FoldState &state, const Configuration &configuration);
  static bool loadConfiguration(const boost::json::value &from,
                                FoldState &state, base::LastReason &reason);
  static bool loadVersion(const boost::json::value &from,
                          Configuration &configuration,
                          base::LastReason &reason);
  static bool loadAll(const boost::json::value &document, FoldState &state,
                      base::LastReason &reason);
};

} // namespace radishcross::log
