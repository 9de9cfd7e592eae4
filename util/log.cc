// Writes log lines whole, so that threads don't mix theirs.

#include "util/log.h"

#include <cstdio>

#include "util/clock.h"

namespace flamingohollow {

void WriteLogLine(std::string_view level, std::string_view text) {
  fmt::print(stderr, "{} {} {}\n", WallNow().ms(), level, text);
}

}  // namespace flamingohollow
