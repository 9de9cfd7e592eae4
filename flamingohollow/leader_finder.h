// Selects the control process to ask and decides on retries.
//
// Pure. An entry knows the control processes' addresses from its settings and
// learns from their answers which one leads. A call is retried only if it is
// known not to have been executed or if it is idempotent. Attempts are bounded
// by number and by a deadline, with jittered pauses.

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
  // The address to ask next.
  std::string address_;
  // Index in controls_ of the address to use if address_ fails.
  std::size_t next_ = 0;
  // The last answer from address_ came from the leader.
  bool found_ = false;
  // When a leader last answered.
  Time leader_heard_at_;
};

LeaderFinder MakeLeaderFinder(std::vector<std::string> controls,
                              std::uint64_t seed, Time now);

void OnLeaderAnswer(LeaderFinder& finder, const std::string& from, Time now);
// `from` does not lead. `hint` is the leader's address that it returned, empty
// if it knows none.
void OnNotLeader(LeaderFinder& finder, const std::string& from,
                 const std::string& hint);
void OnNoAnswer(LeaderFinder& finder, const std::string& from);

struct CallOptions {
  // Total time for a call, retries included; longer than an election.
  Duration timeout_ = Duration(5000);
  // Total time for a call if no leader has answered for timeout_: short, so
  // that callers are soon asked to retry later.
  Duration no_leader_timeout_ = Duration(500);
  Duration attempt_timeout_ = Duration(1500);
  std::uint32_t max_attempts_ = 24;
  Duration first_pause_ = Duration(20);
  Duration max_pause_ = Duration(400);
};

// The deadline of a call that starts now.
Time CallDeadline(const LeaderFinder& finder, const CallOptions& options,
                  Time now);

enum class AttemptOutcome : std::uint8_t {
  // Known not to have been executed.
  kNotExecuted,
  // May have been executed.
  kUnknown,
};

// The state of one call across its attempts.
struct CallProgress {
  Time deadline_;
  std::uint32_t attempts_ = 0;
  // Some attempt may have been executed.
  bool maybe_executed_ = false;
};

enum class CallDecision : std::uint8_t {
  kRetry,
  // Known not to have been executed; stop.
  kGiveUpNotExecuted,
  kGiveUpUnknown,
};

// True if executing the call twice has the same effect as once. This holds for
// reads, and for calls that control deduplicates by request id or by their
// effect.
bool IsIdempotent(CallKind kind);
// True if the call changes no state.
bool IsRead(CallKind kind);

// Decides what to do after an attempt without a final answer.
CallDecision AfterAttempt(CallProgress& progress, const CallOptions& options,
                          CallKind kind, AttemptOutcome outcome, Time now);

// The pause before the next attempt; `random` is uniform over all values.
Duration RetryPause(const CallProgress& progress, const CallOptions& options,
                    std::uint64_t random);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_LEADER_FINDER_H_
