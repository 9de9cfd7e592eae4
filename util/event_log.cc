// Bounds lines by the second and writes each in one piece.

#include "util/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <mutex>

#include "util/clock.h"

namespace flamingohollow {
namespace {

struct EventLog {
  std::mutex mutex_;
  bool on_ = false;
  std::string process_;
  // The second that `lines_` counts in.
  std::int64_t second_ = 0;
  std::uint32_t lines_ = 0;
  std::uint64_t dropped_ = 0;
  // Of these, not yet told in a line.
  std::uint64_t untold_ = 0;
};

EventLog& Log() {
  static EventLog log;
  return log;
}

void AppendValue(std::string& line, const std::string& value) {
  const bool plain =
      !value.empty() && value.find_first_of(" \"=\n\\") == std::string::npos;
  if (plain) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '\n') {
      line += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') line += '\\';
    line += c;
  }
  line += '"';
}

// A line is shorter than a pipe's atomic write, so it goes whole or not at all.
bool WriteWhole(const std::string& line) {
  return write(STDOUT_FILENO, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

}  // namespace

void StartEventLog(std::string_view process) {
  EventLog& log = Log();
  const std::lock_guard<std::mutex> lock(log.mutex_);
  log.on_ = true;
  log.process_ = std::string(process);
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

namespace {

void WriteEvent(std::string_view event, std::initializer_list<LogField> fields,
                std::uint32_t limit) {
  EventLog& log = Log();
  const std::lock_guard<std::mutex> lock(log.mutex_);
  if (!log.on_) return;
  const Time now = WallNow();
  if (now.ms() / 1000 != log.second_) {
    log.second_ = now.ms() / 1000;
    log.lines_ = 0;
  }
  if (log.lines_ >= limit) {
    ++log.dropped_;
    ++log.untold_;
    return;
  }
  ++log.lines_;
  std::string line =
      fmt::format("ts={} process={} event={}", now.ms(), log.process_, event);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.name_;
    line += '=';
    AppendValue(line, field.value_);
  }
  if (log.untold_ > 0) line += fmt::format(" dropped_before={}", log.untold_);
  line += '\n';
  if (WriteWhole(line)) {
    log.untold_ = 0;
    return;
  }
  ++log.dropped_;
  ++log.untold_;
}

}  // namespace

void LogEvent(std::string_view event, std::initializer_list<LogField> fields) {
  WriteEvent(event, fields, kMaxLogLinesPerSecond);
}

void LogDetail(std::string_view event, std::initializer_list<LogField> fields) {
  WriteEvent(event, fields, kMaxDetailLinesPerSecond);
}

std::uint64_t DroppedLogLines() {
  EventLog& log = Log();
  const std::lock_guard<std::mutex> lock(log.mutex_);
  return log.dropped_;
}

}  // namespace flamingohollow
