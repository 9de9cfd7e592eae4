// Which control process to ask, and whether to ask again.
//
// Pure. An entry knows the control processes' addresses from its settings and
// learns from their answers which one leads. A call is sent again only when it
// surely was not carried out, or when doing it twice does no harm; tries are
// bounded by number and by a deadline, with jittered pauses.

#ifndef FLAMINGOHOLLOW_LEADER_FINDER_H_
#define FLAMINGOHOLLOW_LEADER_FINDER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "flamingohollow/messages.h"
#include "util/clock.h"

namespace flamingohollow {

struct LeaderFinder {
  // From the settings; never empty.
  std::vector<std::string> controls_;
  // Where to ask next.
  std::string address_;
  // Index in controls_ of the one to try when address_ fails.
  std::size_t next_ = 0;
  // The last answer from address_ came from the leader.
  bool found_ = false;
  // When a leader last answered.
  Time heard_at_;
};

LeaderFinder MakeLeaderFinder(std::vector<std::string> controls,
                              std::uint64_t seed, Time now);

void OnLeaderAnswer(LeaderFinder& finder, const std::string& from, Time now);
// `from` does not lead and names `hint`, or nobody when empty.
void OnNotLeader(LeaderFinder& finder, const std::string& from,
                 const std::string& hint);
void OnNoAnswer(LeaderFinder& finder, const std::string& from);

struct CallOptions {
  // For the whole call: long enough to outlast an election.
  Duration timeout_ = Duration(5000);
  // For the whole call once no leader was heard for timeout_: callers are told
  // at once to come back.
  Duration lost_timeout_ = Duration(500);
  Duration attempt_timeout_ = Duration(1500);
  std::uint32_t max_attempts_ = 24;
  Duration first_pause_ = Duration(20);
  Duration max_pause_ = Duration(400);
};

// When a call that starts now is given up.
Time CallDeadline(const LeaderFinder& finder, const CallOptions& options,
                  Time now);

enum class AttemptOutcome : std::uint8_t {
  // The process surely did nothing.
  kNotDone,
  // It may have carried the call out.
  kUnknown,
};

// One call's tries so far.
struct CallProgress {
  Time deadline_;
  std::uint32_t attempts_ = 0;
  // Some attempt may have been carried out.
  bool maybe_done_ = false;
};

enum class CallDecision : std::uint8_t {
  kRetry,
  // Surely not carried out.
  kGiveUpNotDone,
  kGiveUpUnknown,
};

// Whether carrying the call out twice is the same as once: reads, and what
// control recognises by request id or by its effect.
bool IsIdempotent(CallKind kind);
// Whether the call changes nothing.
bool IsRead(CallKind kind);

// What to do after an attempt that brought no final answer.
CallDecision AfterAttempt(CallProgress& progress, const CallOptions& options,
                          CallKind kind, AttemptOutcome outcome, Time now);

// The pause before the next try; `random` is uniform over all values.
Duration RetryPause(const CallProgress& progress, const CallOptions& options,
                    std::uint64_t random);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_LEADER_FINDER_H_
