#pragma once

#include <LibCalls/CallBroker.h>

#include <array>
#include <boost/json/value.hpp>
#include <map>
#include <string>
#include <unordered_map>

namespace radishcross::node {

/// Counts the calls of each route over a sliding minute and passes them on to
/// the broker. The figures show which calls a planned change would affect.
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
  void storeAnswer(calls::CallHandle call, std::string &&answer,
                   base::TimePoint now) override;
  std::string storedAnswer(calls::CallHandle call) const override;
  void setOnResumed(const Resumed &resumed) override;

  /// Returns {"routes": [{"route", "service", "rank", "calls_per_second"}]}.
  boost::json::value usage(base::TimePoint now) const;

private:
  static constexpr size_t BucketCount = 6;
  static constexpr base::Duration BucketLength = std::chrono::seconds(10);

  struct RouteUsage {
    std::string Service;
    config::Rank CallRank = config::Rank::Background;
    std::array<uint64_t, BucketCount> Calls{};
    std::array<int64_t, BucketCount> BucketNumber{};
  };

  RouteUsage &usageOf(const config::ResolvedRoute &resolved,
                      const config::SnapshotPointer &snapshot);

  calls::CallBroker *Next;
  std::map<std::string, RouteUsage, std::less<>> Routes;
  /// The routes of the newest snapshot that were called, so that the name of a
  /// route is looked up once and not for each call.
  config::SnapshotPointer CachedSnapshot;
  std::unordered_map<const config::Route *, RouteUsage *> CachedUsage;
};

} // namespace radishcross::node
