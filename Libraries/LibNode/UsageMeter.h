#pragma once

#include <LibCalls/CallBroker.h>

#include <array>
#include <boost/json/value.hpp>
#include <map>
#include <string>
#include <unordered_map>

namespace radishcross::node {

/// Counts the calls of each route over a sliding minute, on the way to the
/// broker. The figures answer what a planned change would harm.
class UsageMeter final : public calls::CallBroker {
public:
  explicit UsageMeter(calls::CallBroker &broker);

  calls::CallHandle begin(const calls::CallRequest &request,
                          config::SnapshotPointer snapshot,
                          base::TimePoint now) override;
  calls::CallStep step(calls::CallHandle call) const override;
  calls::CallStep attemptEnded(calls::CallHandle call,
                               const calls::AttemptResult &result,
                               base::TimePoint now) override;
  std::optional<calls::CallStep> hedge(calls::CallHandle call,
                                       base::TimePoint now) override;
  void end(calls::CallHandle call, base::TimePoint now) override;
  void keepAnswer(calls::CallHandle call, std::string &&answer,
                  base::TimePoint now) override;
  std::string keptAnswer(calls::CallHandle call) const override;
  void whenResumed(const Resumed &resumed) override;

  /// Returns {"routes": [{"route", "service", "rank", "calls_per_second"}]}.
  boost::json::value usage(base::TimePoint now) const;

private:
  static constexpr size_t SliceCount = 6;
  static constexpr base::Duration SliceLength = std::chrono::seconds(10);

  struct RouteUse {
    std::string Service;
    config::Rank CallRank = config::Rank::Background;
    std::array<uint64_t, SliceCount> Calls{};
    std::array<int64_t, SliceCount> Slice{};
  };

  RouteUse &useOf(const config::ResolvedRoute &hit,
                  const config::SnapshotPointer &snapshot);

  calls::CallBroker *Next;
  std::map<std::string, RouteUse, std::less<>> Routes;
  /// The routes of the newest snapshot that were called, so that a name is
  /// looked for once and not for each call.
  config::SnapshotPointer Newest;
  std::unordered_map<const config::Route *, RouteUse *> Known;
};

} // namespace radishcross::node
