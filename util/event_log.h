// Structured log lines on standard output: one for each decision that touches a
// request or changes what the process believes.
//
//   LogEvent("attempt_end", {{"attempt", id}, {"end", "failed"}});
//
// prints `ts=UNIX_MS event=attempt_end attempt=... end=failed`. Values with
// blanks or quotes are quoted. Never blocks: when the reader of standard output
// does not keep up, or more than kMaxLogLinesPerSecond are written, lines are
// dropped and counted, and the count is printed as soon as there is room.

#ifndef UTIL_EVENT_LOG_H_
#define UTIL_EVENT_LOG_H_

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace flamingohollow {

// Bounds the bytes and the processor time that a busy process spends on lines.
inline constexpr std::uint32_t kMaxLogLinesPerSecond = 500;
// Of these, lines of detail; the rest is kept for what decides a request.
inline constexpr std::uint32_t kMaxDetailLinesPerSecond = 350;

struct LogField {
  template <class Value>
  LogField(std::string_view name, const Value& value)
      : name_(name), value_(fmt::format("{}", value)) {}

  std::string_view name_;
  std::string value_;
};

// Thread-safe.
void LogEvent(std::string_view event, std::initializer_list<LogField> fields);
// For events that come once for each task; the first to be dropped.
void LogDetail(std::string_view event, std::initializer_list<LogField> fields);

// Lines dropped since the start.
std::uint64_t DroppedLogLines();

// Makes standard output non-blocking and names the process in every line. Call
// once, before other threads start.
void StartEventLog(std::string_view process);

}  // namespace flamingohollow

#endif  // UTIL_EVENT_LOG_H_
