// Log lines on standard error, one for each change of state.
//
// Everything that happens often is a counter (see flamingohollow/metrics.h),
// never a line.

#ifndef UTIL_LOG_H_
#define UTIL_LOG_H_

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace flamingohollow {

// Writes "<unix ms> <level> <text>" as one line.
void WriteLogLine(std::string_view level, std::string_view text);

template <typename... Args>
void LogInfo(fmt::format_string<Args...> format, Args&&... args) {
  WriteLogLine("info", fmt::format(format, std::forward<Args>(args)...));
}

template <typename... Args>
void LogError(fmt::format_string<Args...> format, Args&&... args) {
  WriteLogLine("error", fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace flamingohollow

#endif  // UTIL_LOG_H_
