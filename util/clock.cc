// Reads the machine's clocks.

#include "util/clock.h"

#include <time.h>

#include <chrono>
#include <cstdint>

namespace flamingohollow {

// Counts the time that the machine is suspended, which the steady clock does
// not: leases go on meanwhile.
Time MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1'000'000);
}

Time WallNow() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return Time(std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
                  .count());
}

}  // namespace flamingohollow
