#pragma once

#include <chrono>
#include <ctime>

namespace radishcross::base {

/// The unit of all times that decisions see.
using Duration = std::chrono::microseconds;

/// A monotonic time, in microseconds since an arbitrary start.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Source of the current time; decisions get the time as an argument instead.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

/// The machine's monotonic clock.
class SystemClock final : public Clock {
public:
  TimePoint now() const override {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
};

/// The machine's clock that also counts the time of a suspension, which the
/// monotonic one leaves out.
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

/// A clock that tests move by hand.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Current; }
  void advance(Duration step) { Current += step; }

private:
  TimePoint Current{};
};

} // namespace radishcross::base
