// Reads the machine's clocks.

#include "util/clock.h"

#include <chrono>

namespace flamingohollow {
namespace {

template <typename Clock>
Time Now() {
  const auto since_epoch = Clock::now().time_since_epoch();
  return Time(std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
                  .count());
}

}  // namespace

Time MonotonicNow() { return Now<std::chrono::steady_clock>(); }

Time WallNow() { return Now<std::chrono::system_clock>(); }

}  // namespace flamingohollow
