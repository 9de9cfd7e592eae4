// Reads log lines and picks those that tell a request's story.

#include "flamingohollow/explain.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "util/json_fields.h"
#include "util/text.h"

namespace flamingohollow {
namespace {

std::string FieldOf(const LogLine& line, const std::string& name) {
  const auto found = line.fields_.find(name);
  return found == line.fields_.end() ? std::string() : found->second;
}

// One `name=value`, the value quoted or not; moves `text` behind it.
std::optional<std::pair<std::string, std::string>> TakeField(
    std::string_view& text) {
  while (text.starts_with(' ')) text.remove_prefix(1);
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos) return std::nullopt;
  std::string name(text.substr(0, equals));
  text.remove_prefix(equals + 1);
  std::string value;
  if (!text.starts_with('"')) {
    const std::size_t end = std::min(text.find(' '), text.size());
    value = std::string(text.substr(0, end));
    text.remove_prefix(end);
    return std::pair(std::move(name), std::move(value));
  }
  text.remove_prefix(1);
  while (!text.empty() && text.front() != '"') {
    if (text.front() == '\\' && text.size() > 1) text.remove_prefix(1);
    value += text.front();
    text.remove_prefix(1);
  }
  if (!text.empty()) text.remove_prefix(1);
  return std::pair(std::move(name), std::move(value));
}

bool Names(const LogLine& line, std::string_view id) {
  if (FieldOf(line, "job") == id) return true;
  if (FieldOf(line, "attempt").starts_with(id)) return true;
  return FieldOf(line, "path").ends_with(id);
}

std::string AttemptStory(const std::vector<LogLine>& lines) {
  std::map<std::string, int> ends;
  std::map<std::string, int> stops;
  std::uint64_t placed = 0;
  for (const LogLine& line : lines) {
    if (line.event_ == "place") {
      placed += ParseUnsigned(FieldOf(line, "tasks")).value_or(1);
    }
    if (line.event_ == "attempt_end") ++ends[FieldOf(line, "end")];
    if (line.event_ == "stop_attempt") ++stops[FieldOf(line, "why")];
  }
  if (placed == 0) return "no attempt was placed";
  std::string text = fmt::format("{} attempts", placed);
  for (const auto& [end, count] : ends) {
    text += fmt::format(", {} {}", count, end);
  }
  for (const auto& [why, count] : stops) {
    text += fmt::format("; {} stopped because of: {}", count, why);
  }
  return text;
}

// The last line of this event, or null.
const LogLine* FindLast(const std::vector<LogLine>& lines,
                        std::string_view event) {
  for (auto line = lines.rbegin(); line != lines.rend(); ++line) {
    if (line->event_ == event) return &*line;
  }
  return nullptr;
}

std::string FindCause(const std::vector<LogLine>& lines) {
  if (lines.empty()) return "no line names it";
  const LogLine* accepted = FindLast(lines, "accept");
  if (accepted == nullptr) {
    const LogLine* refused = FindLast(lines, "refuse");
    const LogLine* answer = FindLast(lines, "answer");
    if (refused != nullptr) {
      return "refused by the leader: " + FieldOf(*refused, "why");
    }
    if (answer != nullptr) {
      return fmt::format("answered {} by {}: {}", FieldOf(*answer, "status"),
                         answer->process_, FieldOf(*answer, "why"));
    }
    return "its acceptance is not in these logs; " + AttemptStory(lines);
  }
  std::string cause = fmt::format("accepted by {}", accepted->process_);
  if (FindLast(lines, "cancel") != nullptr) cause += ", cancelled";
  const LogLine* first = nullptr;
  for (const LogLine& line : lines) {
    if (line.event_ == "place") {
      first = &line;
      break;
    }
  }
  if (first != nullptr) {
    cause += fmt::format(", first placed after {} ms",
                         first->unix_ms_ - accepted->unix_ms_);
  }
  return cause + "; " + AttemptStory(lines);
}

// Events of the whole system that explain a delay or a loss.
bool ConcernsAll(const LogLine& line) {
  return line.event_ == "leader" || line.event_ == "leader_lost" ||
         line.event_ == "hand_over";
}

bool ConcernsWorker(const LogLine& line) {
  return line.event_ == "worker" || line.event_ == "worker_lost" ||
         line.event_ == "worker_avoided";
}

}  // namespace

std::optional<LogLine> ParseLogLine(std::string_view text) {
  const std::size_t start = text.find("ts=");
  if (start == std::string_view::npos) return std::nullopt;
  text.remove_prefix(start);
  LogLine line;
  line.text_ = std::string(text);
  while (auto field = TakeField(text)) {
    line.fields_.insert(std::move(*field));
  }
  const auto ts = ParseUnsigned(FieldOf(line, "ts"));
  line.process_ = FieldOf(line, "process");
  line.event_ = FieldOf(line, "event");
  if (!ts.has_value() || line.event_.empty()) return std::nullopt;
  line.unix_ms_ = static_cast<std::int64_t>(*ts);
  return line;
}

Story Explain(const std::vector<LogLine>& lines, std::string_view id) {
  Story story;
  std::vector<LogLine> own;
  std::set<std::string> workers;
  for (const LogLine& line : lines) {
    if (!Names(line, id)) continue;
    own.push_back(line);
    for (const char* name : {"worker", "workers"}) {
      for (std::string& worker : SplitText(FieldOf(line, name), ',')) {
        workers.insert(std::move(worker));
      }
    }
  }
  const auto earlier = [](const LogLine& a, const LogLine& b) {
    return a.unix_ms_ < b.unix_ms_;
  };
  std::stable_sort(own.begin(), own.end(), earlier);
  story.cause_ = FindCause(own);
  if (own.empty()) return story;
  const std::int64_t from = own.front().unix_ms_;
  const std::int64_t to = own.back().unix_ms_;
  for (const LogLine& line : lines) {
    if (line.unix_ms_ < from || line.unix_ms_ > to) continue;
    story.dropped_ +=
        ParseUnsigned(FieldOf(line, "dropped_before")).value_or(0);
    const bool worker =
        ConcernsWorker(line) && workers.contains(FieldOf(line, "worker"));
    if (worker || ConcernsAll(line)) own.push_back(line);
  }
  std::stable_sort(own.begin(), own.end(), earlier);
  story.lines_ = std::move(own);
  return story;
}

std::vector<DelayRow> SumDelays(const std::vector<LogLine>& lines) {
  // Jobs that were accepted, with their ends if there are any.
  std::map<std::string, std::pair<std::string, const LogLine*>> jobs;
  for (const LogLine& line : lines) {
    const bool ended = line.event_ == "job_end";
    if (!ended && line.event_ != "accept") continue;
    auto& [queue, end] = jobs[FieldOf(line, "job")];
    queue = FieldOf(line, "queue");
    if (ended) end = &line;
  }
  std::map<std::tuple<std::string, std::string, std::string>, DelayRow> rows;
  for (const auto& [id, job] : jobs) {
    const auto& [queue, end] = job;
    const std::string outcome =
        end == nullptr ? "open" : FieldOf(*end, "outcome");
    const std::string cause = end == nullptr ? "" : FieldOf(*end, "cause");
    DelayRow& row = rows[{queue, outcome, cause}];
    row.queue_ = queue;
    row.outcome_ = outcome;
    row.cause_ = cause;
    ++row.jobs_;
    if (end == nullptr) continue;
    row.preempted_ += ParseUnsigned(FieldOf(*end, "preempted")).value_or(0);
    // A job that was on time has a negative value, which doesn't parse.
    row.late_ms_ += static_cast<std::int64_t>(
        ParseUnsigned(FieldOf(*end, "late_ms")).value_or(0));
  }
  std::vector<DelayRow> sums;
  sums.reserve(rows.size());
  for (auto& [key, row] : rows) sums.push_back(std::move(row));
  return sums;
}

std::string PrintDelays(const std::vector<DelayRow>& rows) {
  std::string text =
      "queue            outcome    cause       jobs  preempted  late s\n";
  for (const DelayRow& row : rows) {
    constexpr double kMsPerSecond = 1000;
    text += fmt::format("{:16} {:10} {:10} {:5}  {:9}  {:6.1f}\n", row.queue_,
                        row.outcome_, row.cause_, row.jobs_, row.preempted_,
                        static_cast<double>(row.late_ms_) / kMsPerSecond);
  }
  return text;
}

std::string PrintStory(const Story& story) {
  std::string text = story.cause_ + '\n';
  if (story.dropped_ > 0) {
    text += fmt::format("{} lines were dropped meanwhile\n", story.dropped_);
  }
  const std::int64_t start =
      story.lines_.empty() ? 0 : story.lines_.front().unix_ms_;
  for (const LogLine& line : story.lines_) {
    text += fmt::format("{:+8} ms  {}\n", line.unix_ms_ - start, line.text_);
  }
  return text;
}

}  // namespace flamingohollow
