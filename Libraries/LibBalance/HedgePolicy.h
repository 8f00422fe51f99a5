#pragma once

#include <LibBalance/AnswerTimes.h>
#include <LibBalance/ExtraWorkLimit.h>
#include <LibBalance/HedgeSettings.h>
#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>

#include <array>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::balance {

/// Why no second attempt starts beside a slow first one.
enum class HedgeRefusal : uint8_t {
  None,
  FewAnswers,  ///< Too few answers of the route are known.
  Nested,      ///< The call is made by a target while it runs another.
  Rollout,     ///< The first attempt is at a new version of a service.
  NoTime,      ///< Too little is left until the deadline.
  Attempts,    ///< The call has had its attempts, or is within a retry.
  RetryBudget, ///< Too little is left of the service's retry budget.
  Limit,       ///< The share of extra work is spent.
  Load,        ///< Too few of the service's targets have room.
  Refusals,    ///< Many calls of the service were refused lately.
  AllSlow,     ///< Many calls of the service are slow now.
  NoRoom,      ///< No other target has room.
  NotSooner,   ///< No target with room is expected to answer sooner.
};

constexpr base::EnumName<HedgeRefusal> HedgeRefusalNames[] = {
    {HedgeRefusal::None, ""},
    {HedgeRefusal::FewAnswers, "few-answers"},
    {HedgeRefusal::Nested, "nested"},
    {HedgeRefusal::Rollout, "roll-out"},
    {HedgeRefusal::NoTime, "no-time"},
    {HedgeRefusal::Attempts, "attempts-used"},
    {HedgeRefusal::RetryBudget, "no-budget"},
    {HedgeRefusal::Limit, "limit"},
    {HedgeRefusal::Load, "load"},
    {HedgeRefusal::Refusals, "refusals"},
    {HedgeRefusal::AllSlow, "all-slow"},
    {HedgeRefusal::NoRoom, "no-room"},
    {HedgeRefusal::NotSooner, "not-sooner"},
};

/// What became of second attempts, by service.
struct HedgeCounts {
  uint64_t Started = 0;
  uint64_t Won = 0;       ///< Answered before the first attempt.
  uint64_t Lost = 0;      ///< The first attempt was answered before.
  uint64_t Abandoned = 0; ///< The call ended without an answer of either.
  /// Calls by the reason against a hedge when they could first have had one.
  std::array<uint64_t, std::size(HedgeRefusalNames)> NotStarted{};
};

/// Decides at a caller's node when a second attempt may start beside a slow
/// first one, within the operator's share of extra work. The delay is a
/// quantile of the recent answer times of the route (J. Dean, L. A. Barroso,
/// "The Tail at Scale", 2013, hedged requests).
class HedgePolicy {
public:
  /// Shortest delay: the timers of a node are not finer.
  static constexpr base::Duration MinimumDelay = std::chrono::milliseconds(20);
  /// Late calls of the last one to two parts that count as slowness of the
  /// whole service: the number, and the multiple of the usual share.
  static constexpr base::Duration RecentPart = std::chrono::seconds(1);
  static constexpr int64_t MinimumLate = 3;
  static constexpr int64_t LateFactor = 3;
  /// Refusals of full targets in that time that count as overload of the whole
  /// service: the number, and the share of the calls.
  static constexpr int64_t MinimumRefused = 3;
  static constexpr int64_t RefusedPermille = 50;
  static constexpr size_t MaximumRoutes = 256;

  explicit HedgePolicy(HedgeSettings settings = {});

  const HedgeSettings &settings() const { return Settings; }
  bool isOn() const;
  bool isOn(std::string_view service) const;

  /// Counts a first attempt. \p headroomPermille: see
  /// SpareTargets::headroomPermille.
  void started(const std::string &service, int64_t headroomPermille,
               base::TimePoint now);

  /// Returns the delay for a first attempt at a target with the relative time
  /// \p timePermille, or nothing if it is not known. Counts the attempt as one
  /// that may become late.
  std::optional<base::Duration> delay(const std::string &service,
                                      const std::string &route,
                                      int64_t timePermille,
                                      base::TimePoint now);

  /// Counts a first attempt that has reached its delay, once.
  void late(const std::string &service, base::TimePoint now);

  /// Records the answer to a first attempt, or that it was \p abandoned, after
  /// \p time at a target with the relative time \p timePermille.
  void answered(const std::string &service, const std::string &route,
                base::Duration time, int64_t timePermille, bool abandoned,
                base::TimePoint now);

  /// Records that a full target, or its node, refused a call.
  void refused(const std::string &service, base::TimePoint now);

  /// Returns why the service may get no extra work now, or None.
  HedgeRefusal mayStart(const std::string &service, int64_t headroomPermille,
                        base::TimePoint now) const;

  /// Returns the time by which an attempt at a target is as likely answered as
  /// not, or nothing if too few answers of the route are known. \p elapsed:
  /// that it has been in flight already.
  std::optional<base::Duration>
  expected(const std::string &service, const std::string &route,
           int64_t timePermille, base::Duration elapsed, base::TimePoint now);

  /// Counts a second attempt that starts, and takes it from the share.
  void spend(const std::string &service, base::TimePoint now);

  HedgeCounts &counts(const std::string &service);

  /// Returns the counts of each service that is hedged.
  std::map<std::string, HedgeCounts> countsByService() const;

private:
  struct RecentCount {
    int64_t Number = -1; ///< Of the part, counted from the clock's start.
    int64_t Started = 0; ///< First attempts.
    int64_t Watched = 0; ///< Of them, those that have a delay.
    int64_t Late = 0;
    int64_t Refused = 0;
  };
  struct ServiceState {
    ExtraWorkLimit Limit;
    std::array<RecentCount, 2> Recent{}; ///< By number, in turn.
    HedgeCounts Counts;
  };

  static RecentCount &recentAt(ServiceState &service, base::TimePoint now);
  static RecentCount recentOf(const ServiceState &service, base::TimePoint now);
  AnswerTimes *timesOf(const std::string &service, const std::string &route);

  HedgeSettings Settings;
  std::map<std::string, ServiceState, std::less<>> Services;
  std::map<std::string, AnswerTimes, std::less<>> Routes;
};

} // namespace radishcross::balance
