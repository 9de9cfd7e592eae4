// What the jobs wait for of which nothing runs, for the log.
//
// A job waits for an answer or a record if it has an open attempt, and
// otherwise for what a recent placement pass says. The number of lines is
// bounded: one for each of the longest waits, and one that counts all.

#ifndef FLAMINGOHOLLOW_GRAPH_WAITS_H_
#define FLAMINGOHOLLOW_GRAPH_WAITS_H_

#include <cstdint>
#include <map>
#include <string_view>

#include "flamingohollow/fleet.h"
#include "flamingohollow/graph_placement.h"
#include "flamingohollow/graph_state.h"
#include "util/clock.h"

namespace flamingohollow {

// Waits shorter than this are not logged.
inline constexpr Duration kMinLoggedWait = Duration(2000);
// The waits are logged this often, at most so many jobs at a time.
inline constexpr Duration kWaitsInterval = Duration(2000);
inline constexpr std::size_t kMaxLoggedWaits = 10;

enum class JobWait : std::uint8_t {
  // Nothing of the job is open.
  kNoWorker,
  kNoRoom,
  kRoomKept,
  // The pass didn't consider it: it is suspected of crashing workers, or comes
  // after as many units as a pass considers.
  kNotConsidered,
  // An attempt is open that doesn't run yet, or no more.
  kOpening,
  kStarting,
  kStopping,
  kRecovering,
  kEnding,
};

std::string_view JobWaitName(JobWait wait);

// Looks at all jobs and runs; O(jobs + runs).
void UpdateIdleJobs(IdleJobs& idle, const GraphState& state, const Fleet& fleet,
                    Time now);

// Returns what the job waits for, of which nothing runs. `waits` is what the
// last placement pass said.
JobWait FindWait(const GraphJobKey& job, const Fleet& fleet,
                 const std::map<GraphJobKey, UnitWait>& waits);

// Logs the waits of the jobs in `idle` that have lasted for kMinLoggedWait.
// `since_pass` is how long ago the last placement pass began.
void LogWaits(const IdleJobs& idle, const Fleet& fleet,
              const std::map<GraphJobKey, UnitWait>& waits, Duration since_pass,
              Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_WAITS_H_
