#pragma once

#include <LibCalls/CallPlanner.h>
#include <LibCalls/PlacePreview.h>
#include <LibConfig/Snapshot.h>

#include <vector>

namespace radishcross::calls {

/// What would become of a request.
struct RoutePreview {
  const config::Route *Matched = nullptr; ///< Null: none. Of the snapshot.
  std::vector<config::Destination> Destinations; ///< Of the route.
  RoutedCall Call;    ///< With its service, unless it is refused before.
  PlacePreview Place; ///< Empty without a service.
  CallStep Step;      ///< A Send, or the refusal.
};

} // namespace radishcross::calls
