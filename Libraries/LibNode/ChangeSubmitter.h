#pragma once

#include <LibAdmin/NodeControl.h>
#include <LibBase/Clock.h>
#include <LibLog/ChangeResolver.h>
#include <LibLog/PlatformClient.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace radishcross::node {

/// Submits changes to the log and reports their outcomes. It appends the pieces
/// of each change and feeds its log::ChangeResolver, which makes all decisions.
class ChangeSubmitter {
public:
  ChangeSubmitter(log::PlatformClient &platform, const base::Clock &clock,
                  std::function<void()> readLogSoon);

  /// Appends \p record to the log. \p done is called exactly once, at the
  /// latest after \p timeout, with Unknown if it is still open by then whether
  /// the record was accepted.
  void submit(const log::Record &record, base::Duration timeout,
              std::function<void(admin::ChangeOutcome)> done);

  /// Resolves the changes whose records \p fold has now applied.
  void foldAdvanced(const log::Fold &fold);

  /// Wakes the changes whose waiting time has elapsed.
  void tick();

private:
  struct Pending {
    log::ChangeResolver Resolver;
    std::vector<std::string> Pieces;
    bool IsAppending = false;
    std::function<void(admin::ChangeOutcome)> Done;
  };
  using Changes = std::map<std::string, Pending, std::less<>>;

  void performStep(const std::string &recordId);
  void append(const std::string &recordId, Pending &change);
  void finish(Changes::iterator change);
  std::vector<std::string> pendingIds() const;

  log::PlatformClient *Platform;
  const base::Clock *Time;
  std::function<void()> ReadLogSoon;
  Changes PendingChanges;
};

} // namespace radishcross::node
