#pragma once

#include <LibAdmin/NodeControl.h>
#include <LibBase/Clock.h>
#include <LibLog/PlatformClient.h>

#include <functional>
#include <map>
#include <string>

namespace radishcross::node {

/// Carries changes to the log and finds out what became of them: an append
/// whose answer was lost is looked for in the fold by its record id.
class ChangeFlow {
public:
  ChangeFlow(log::PlatformClient &platform, const base::Clock &clock,
             std::function<void()> readLogSoon);

  /// Appends \p record; \p done is called once, at the latest after
  /// \p patience, with Unknown when the fate of the record is still open.
  void change(const log::Record &record, base::Duration patience,
              std::function<void(admin::ChangeOutcome)> done);

  /// Resolves the changes whose records the fold has now reached.
  void foldAdvanced(const log::Fold &fold);

  /// Ends the changes that have waited for their patience.
  void tick();

private:
  struct Pending {
    base::TimePoint GivesUpAt{};
    std::function<void(admin::ChangeOutcome)> Done;
  };

  void appendEnded(const std::string &recordId,
                   const log::AppendAnswer &answer);
  void finish(const std::string &recordId, admin::ChangeOutcome outcome);

  log::PlatformClient *Platform;
  const base::Clock *Time;
  std::function<void()> ReadLogSoon;
  std::map<std::string, Pending, std::less<>> Waiting;
};

} // namespace radishcross::node
