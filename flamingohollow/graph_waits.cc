// Finds and logs what jobs wait for.

#include "flamingohollow/graph_waits.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "util/event_log.h"

namespace flamingohollow {
namespace {

bool IsRunning(const Run& run) {
  return run.phase_ == RunPhase::kRunning && !run.end_proposed_;
}

JobWait WaitOf(const Run& run) {
  if (run.end_proposed_) return JobWait::kEnding;
  switch (run.phase_) {
    case RunPhase::kProposed:
      return JobWait::kOpening;
    case RunPhase::kStarting:
    case RunPhase::kRunning:
      return JobWait::kStarting;
    case RunPhase::kStopping:
    case RunPhase::kStopped:
      return JobWait::kStopping;
    case RunPhase::kRecovering:
      return JobWait::kRecovering;
  }
  return JobWait::kStarting;
}

JobWait WaitOf(UnitWait wait) {
  switch (wait) {
    case UnitWait::kNoWorker:
      return JobWait::kNoWorker;
    case UnitWait::kNoRoom:
      return JobWait::kNoRoom;
    case UnitWait::kRoomKept:
      return JobWait::kRoomKept;
  }
  return JobWait::kNotConsidered;
}

struct FoundRun {
  WorkerId worker_;
  AttemptRef attempt_;
  JobWait wait_;
};

// Returns a run of the job, if the fleet has one.
std::optional<FoundRun> FindRunOf(const GraphJobKey& job, const Fleet& fleet) {
  const AttemptRef first{{job, {}, {}, {}}, {}};
  for (const auto& [id, worker] : fleet) {
    const auto run = worker.runs_.lower_bound(first);
    if (run == worker.runs_.end() || run->first.task_.job_ != job) continue;
    return FoundRun{id, run->first, WaitOf(run->second)};
  }
  return std::nullopt;
}

}  // namespace

std::string_view JobWaitName(JobWait wait) {
  switch (wait) {
    case JobWait::kNoWorker:
      return "no worker accepts its tasks";
    case JobWait::kNoRoom:
      return "no room";
    case JobWait::kRoomKept:
      return "the room is kept for others";
    case JobWait::kNotConsidered:
      return "not considered";
    case JobWait::kOpening:
      return "its attempt is not in the log";
    case JobWait::kStarting:
      return "its start has no answer";
    case JobWait::kStopping:
      return "its stop is not confirmed";
    case JobWait::kRecovering:
      return "its worker has not told this leader";
    case JobWait::kEnding:
      return "its end is not in the log";
  }
  return "";
}

void UpdateIdleJobs(IdleJobs& idle, const GraphState& state, const Fleet& fleet,
                    Time now) {
  std::unordered_set<std::string_view> running;
  for (const auto& [id, worker] : fleet) {
    for (const auto& [attempt, run] : worker.runs_) {
      if (IsRunning(run)) running.insert(attempt.task_.job_.value());
    }
  }
  IdleJobs before = std::exchange(idle, {});
  for (const auto& [key, job] : state.jobs_) {
    if (job.state_ != GraphJobState::kActive || job.occurrences_.empty()) {
      continue;
    }
    if (running.contains(key.value())) continue;
    const auto known = before.find(key);
    idle.emplace_hint(idle.end(), key,
                      known == before.end() ? now : known->second);
  }
}

JobWait FindWait(const GraphJobKey& job, const Fleet& fleet,
                 const std::map<GraphJobKey, UnitWait>& waits) {
  if (const auto run = FindRunOf(job, fleet)) return run->wait_;
  const auto found = waits.find(job);
  return found == waits.end() ? JobWait::kNotConsidered : WaitOf(found->second);
}

void LogWaits(const IdleJobs& idle, const Fleet& fleet,
              const std::map<GraphJobKey, UnitWait>& waits, Duration since_pass,
              Time now) {
  std::vector<std::pair<Time, GraphJobKey>> longest;
  for (const auto& [key, since] : idle) {
    if (now - since >= kMinLoggedWait) longest.emplace_back(since, key);
  }
  if (longest.empty()) return;
  const std::size_t logged = std::min(longest.size(), kMaxLoggedWaits);
  std::partial_sort(longest.begin(),
                    longest.begin() + static_cast<std::ptrdiff_t>(logged),
                    longest.end());
  LogEvent("jobs_wait", {{"jobs", longest.size()},
                         {"longest_ms", (now - longest.front().first).ms()},
                         {"pass_ms", since_pass.ms()}});
  for (std::size_t i = 0; i < logged; ++i) {
    const auto& [since, key] = longest[i];
    const auto run = FindRunOf(key, fleet);
    LogDetail("job_waits",
              {{"job", key.value()},
               {"idle_ms", (now - since).ms()},
               {"why", JobWaitName(FindWait(key, fleet, waits))},
               {"worker", run.has_value() ? run->worker_.value() : ""},
               {"attempt", run.has_value() ? run->attempt_.attempt_.value()
                                           : AttemptId().value()}});
  }
}

}  // namespace flamingohollow
