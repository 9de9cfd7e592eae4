// Follows leader hints, rotates through the configured addresses, and bounds
// retries.

#include "flamingohollow/leader_finder.h"

#include <algorithm>
#include <utility>

namespace flamingohollow {
namespace {

void UseNextAddress(LeaderFinder& finder) {
  finder.found_ = false;
  finder.address_ = finder.controls_[finder.next_];
  finder.next_ = (finder.next_ + 1) % finder.controls_.size();
}

}  // namespace

LeaderFinder MakeLeaderFinder(std::vector<std::string> controls,
                              std::uint64_t seed, Time now) {
  LeaderFinder finder;
  finder.controls_ = std::move(controls);
  finder.next_ = seed % finder.controls_.size();
  finder.leader_heard_at_ = now;
  UseNextAddress(finder);
  return finder;
}

void OnLeaderAnswer(LeaderFinder& finder, const std::string& from, Time now) {
  finder.address_ = from;
  finder.leader_heard_at_ = now;
  finder.found_ = true;
}

void OnNotLeader(LeaderFinder& finder, const std::string& from,
                 const std::string& hint) {
  // A late answer from an address that is no longer in use is ignored.
  if (from != finder.address_) return;
  if (hint.empty() || hint == from) {
    UseNextAddress(finder);
    return;
  }
  finder.found_ = false;
  finder.address_ = hint;
}

void OnNoAnswer(LeaderFinder& finder, const std::string& from) {
  if (from == finder.address_) UseNextAddress(finder);
}

Time CallDeadline(const LeaderFinder& finder, const CallOptions& options,
                  Time now) {
  const bool no_leader = now - finder.leader_heard_at_ >= options.timeout_;
  return now + (no_leader ? options.no_leader_timeout_ : options.timeout_);
}

bool IsRead(CallKind kind) {
  switch (kind) {
    case CallKind::kTableShow:
    case CallKind::kTableStatus:
    case CallKind::kJobShow:
    case CallKind::kJobList:
    case CallKind::kWorkers:
    case CallKind::kStatus:
    case CallKind::kTableHistory:
    case CallKind::kEvacuations:
      return true;
    case CallKind::kInit:
    case CallKind::kTableApply:
    case CallKind::kSubmit:
    case CallKind::kJobCancel:
    case CallKind::kVoterAdd:
    case CallKind::kVoterRemove:
    case CallKind::kEvacuate:
    case CallKind::kTakeBack:
      return false;
  }
  return false;
}

bool IsIdempotent(CallKind kind) {
  // Submissions and table changes carry a request id; a second cancel finds
  // the job cancelled; a second order for a failure domain changes nothing.
  // Forming a cluster and adding or removing a voter are not idempotent: a
  // repeated call is refused, and the refusal would hide that the first attempt
  // succeeded.
  return IsRead(kind) || kind == CallKind::kSubmit ||
         kind == CallKind::kTableApply || kind == CallKind::kJobCancel ||
         kind == CallKind::kEvacuate || kind == CallKind::kTakeBack;
}

CallDecision AfterAttempt(CallProgress& progress, const CallOptions& options,
                          CallKind kind, AttemptOutcome outcome, Time now) {
  ++progress.attempts_;
  if (outcome == AttemptOutcome::kUnknown && !IsRead(kind)) {
    progress.maybe_executed_ = true;
  }
  const bool within_limits =
      progress.attempts_ < options.max_attempts_ && now < progress.deadline_;
  const bool safe_to_repeat = !progress.maybe_executed_ || IsIdempotent(kind);
  if (within_limits && safe_to_repeat) return CallDecision::kRetry;
  return progress.maybe_executed_ ? CallDecision::kGiveUpUnknown
                                  : CallDecision::kGiveUpNotExecuted;
}

Duration RetryPause(const CallProgress& progress, const CallOptions& options,
                    std::uint64_t random) {
  constexpr std::uint32_t kMaxDoublings = 10;
  const std::uint32_t doublings =
      std::min(std::max(progress.attempts_, 1U) - 1, kMaxDoublings);
  const std::int64_t top =
      std::min(options.first_pause_.ms() << doublings, options.max_pause_.ms());
  // Uniform between half of `top` and `top`.
  const std::int64_t low = (top + 1) / 2;
  const auto span = static_cast<std::uint64_t>(top - low + 1);
  return Duration(low + static_cast<std::int64_t>(random % span));
}

}  // namespace flamingohollow
