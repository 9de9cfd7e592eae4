// Time in milliseconds.
//
// `Duration` is a span, `Time` a point on one clock. Decision code takes `now`
// as an argument and never reads a clock; only the shells call the functions
// at the end of this file.

#ifndef UTIL_CLOCK_H_
#define UTIL_CLOCK_H_

#include <compare>
#include <cstdint>

namespace flamingohollow {

class Duration {
 public:
  constexpr Duration() = default;
  constexpr explicit Duration(std::int64_t ms) : ms_(ms) {}
  constexpr std::int64_t ms() const { return ms_; }

  friend constexpr auto operator<=>(Duration, Duration) = default;
  friend constexpr Duration operator+(Duration a, Duration b) {
    return Duration(a.ms_ + b.ms_);
  }
  friend constexpr Duration operator-(Duration a, Duration b) {
    return Duration(a.ms_ - b.ms_);
  }
  friend constexpr Duration operator*(Duration a, std::int64_t factor) {
    return Duration(a.ms_ * factor);
  }
  friend constexpr Duration operator/(Duration a, std::int64_t divisor) {
    return Duration(a.ms_ / divisor);
  }

 private:
  std::int64_t ms_ = 0;
};

class Time {
 public:
  constexpr Time() = default;
  constexpr explicit Time(std::int64_t ms) : ms_(ms) {}
  // Milliseconds since the clock's epoch.
  constexpr std::int64_t ms() const { return ms_; }

  friend constexpr auto operator<=>(Time, Time) = default;
  friend constexpr Time operator+(Time t, Duration d) {
    return Time(t.ms_ + d.ms());
  }
  friend constexpr Time operator-(Time t, Duration d) {
    return Time(t.ms_ - d.ms());
  }
  friend constexpr Duration operator-(Time a, Time b) {
    return Duration(a.ms_ - b.ms_);
  }

 private:
  std::int64_t ms_ = 0;
};

// The monotonic clock of this machine, which also counts the time that it is
// suspended: for leases and time-outs. Its epoch differs from machine to
// machine, so its points never leave the process.
Time MonotonicNow();

// Unix time: for records that people read. It may jump.
Time WallNow();

}  // namespace flamingohollow

#endif  // UTIL_CLOCK_H_
