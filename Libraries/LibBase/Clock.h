#pragma once

#include <chrono>
#include <ctime>

namespace radishcross::base {

/// Unit of all durations in decision code.
using Duration = std::chrono::microseconds;

/// A monotonic point in time, in microseconds since an arbitrary start.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Source of the current time. Decision code does not use it: it is passed the
/// time as an argument.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

/// The monotonic clock of the system (CLOCK_MONOTONIC).
class SystemClock final : public Clock {
public:
  TimePoint now() const override {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
};

/// A monotonic clock that also advances while the system is suspended
/// (CLOCK_BOOTTIME), unlike SystemClock.
class BootClock final : public Clock {
public:
  TimePoint now() const override {
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(at.tv_sec) +
        std::chrono::nanoseconds(at.tv_nsec)));
  }
};

/// A clock that tests advance explicitly.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Current; }
  void advance(Duration step) { Current += step; }

private:
  TimePoint Current{};
};

} // namespace radishcross::base
