// The story of one job or request, from the log lines of all processes.
//
// Pure. Lines are those of util/event_log.h, from any number of processes and
// in any order; other lines are passed over. Beside the lines that name the id,
// the story holds what explains them: what happened to the workers that ran its
// attempts, changes of leader, and stretches with dropped lines.

#ifndef FLAMINGOHOLLOW_EXPLAIN_H_
#define FLAMINGOHOLLOW_EXPLAIN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingohollow {

struct LogLine {
  std::int64_t unix_ms_ = 0;
  std::string process_;
  std::string event_;
  std::map<std::string, std::string> fields_;
  std::string text_;
};

// Nothing when the text is no line of an event log. Text before `ts=` is
// passed over.
std::optional<LogLine> ParseLogLine(std::string_view text);

struct Story {
  // What ended or shaped the request, in a sentence; first to be read.
  std::string cause_;
  // In order of time.
  std::vector<LogLine> lines_;
  // Lines that processes dropped meanwhile: the story may have gaps.
  std::uint64_t dropped_ = 0;
};

Story Explain(const std::vector<LogLine>& lines, std::string_view id);

std::string PrintStory(const Story& story);

// Jobs of one queue with the same outcome and the same cause of delay.
struct DelayRow {
  std::string queue_;
  // `completed`, `failed`, `cancelled`, or `open` for a job without an end.
  std::string outcome_;
  std::string cause_;
  std::uint64_t jobs_ = 0;
  // Sums over the jobs.
  std::uint64_t preempted_ = 0;
  std::int64_t late_ms_ = 0;
};

// Counts what became of all jobs, ordered by queue, outcome and cause. Jobs
// that several leaders knew count once.
std::vector<DelayRow> SumDelays(const std::vector<LogLine>& lines);
std::string PrintDelays(const std::vector<DelayRow>& rows);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_EXPLAIN_H_
