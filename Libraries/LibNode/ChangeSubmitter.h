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

/// Carries changes to the log and finds out what became of them: it appends
/// the pieces and wakes the resolvers, which decide.
class ChangeSubmitter {
public:
  ChangeSubmitter(log::PlatformClient &platform, const base::Clock &clock,
                  std::function<void()> readLogSoon);

  /// Brings \p record into the log; \p done is called once, at the latest
  /// after \p timeout, with Unknown when the fate of the record is still open.
  void submit(const log::Record &record, base::Duration timeout,
              std::function<void(admin::ChangeOutcome)> done);

  /// Resolves the changes whose records the fold has now reached.
  void foldAdvanced(const log::Fold &fold);

  /// Wakes the changes whose time has come.
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
