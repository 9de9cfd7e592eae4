// Tests of leader discovery and of the retry rules for calls.

#include "flamingohollow/leader_finder.h"

#include <doctest/doctest.h>

#include <set>

namespace flamingohollow {
namespace {

constexpr Time kNow = Time(1000);

CallProgress Started() {
  CallProgress progress;
  progress.deadline_ = kNow + Duration(5000);
  return progress;
}

TEST_CASE("hints are followed; without one all controls are tried") {
  LeaderFinder finder = MakeLeaderFinder({"a", "b", "c"}, 1, kNow);
  CHECK(finder.address_ == "b");
  OnNotLeader(finder, "b", "z");
  CHECK(finder.address_ == "z");
  // A late answer from an address that is no longer in use is ignored.
  OnNotLeader(finder, "b", "y");
  OnNoAnswer(finder, "b");
  CHECK(finder.address_ == "z");
  std::set<std::string> tried;
  for (int i = 0; i < 3; ++i) {
    OnNoAnswer(finder, finder.address_);
    tried.insert(finder.address_);
  }
  CHECK(tried == std::set<std::string>{"a", "b", "c"});
  CHECK_FALSE(finder.found_);
  OnLeaderAnswer(finder, "c", kNow);
  CHECK(finder.address_ == "c");
  CHECK(finder.found_);
}

TEST_CASE("calls time out early after a long time without a leader") {
  const CallOptions options;
  LeaderFinder finder = MakeLeaderFinder({"a"}, 0, kNow);
  CHECK(CallDeadline(finder, options, kNow) == kNow + options.timeout_);
  const Time later = kNow + options.timeout_;
  CHECK(CallDeadline(finder, options, later) ==
        later + options.no_leader_timeout_);
  OnLeaderAnswer(finder, "a", later);
  CHECK(CallDeadline(finder, options, later) == later + options.timeout_);
}

TEST_CASE("a call that may have been executed is retried only if idempotent") {
  const CallOptions options;
  const auto after_unknown = [&](CallKind kind) {
    CallProgress progress = Started();
    return AfterAttempt(progress, options, kind, AttemptOutcome::kUnknown,
                        kNow);
  };
  CHECK(after_unknown(CallKind::kSubmit) == CallDecision::kRetry);
  CHECK(after_unknown(CallKind::kTableApply) == CallDecision::kRetry);
  CHECK(after_unknown(CallKind::kJobCancel) == CallDecision::kRetry);
  CHECK(after_unknown(CallKind::kStatus) == CallDecision::kRetry);
  CHECK(after_unknown(CallKind::kInit) == CallDecision::kGiveUpUnknown);
  CHECK(after_unknown(CallKind::kVoterAdd) == CallDecision::kGiveUpUnknown);
  CHECK(after_unknown(CallKind::kVoterRemove) == CallDecision::kGiveUpUnknown);
  CallProgress progress = Started();
  CHECK(AfterAttempt(progress, options, CallKind::kInit,
                     AttemptOutcome::kNotExecuted,
                     kNow) == CallDecision::kRetry);
}

TEST_CASE("one unknown attempt makes the whole outcome unknown") {
  const CallOptions options;
  CallProgress progress = Started();
  AfterAttempt(progress, options, CallKind::kSubmit, AttemptOutcome::kUnknown,
               kNow);
  CHECK(AfterAttempt(progress, options, CallKind::kSubmit,
                     AttemptOutcome::kNotExecuted,
                     progress.deadline_) == CallDecision::kGiveUpUnknown);
  // A read changes nothing, so it is never unknown.
  progress = Started();
  CHECK(AfterAttempt(progress, options, CallKind::kJobShow,
                     AttemptOutcome::kUnknown,
                     progress.deadline_) == CallDecision::kGiveUpNotExecuted);
}

TEST_CASE("attempts are bounded and pauses grow to a limit") {
  const CallOptions options;
  CallProgress progress = Started();
  std::uint32_t tries = 0;
  Duration longest;
  while (AfterAttempt(progress, options, CallKind::kSubmit,
                      AttemptOutcome::kNotExecuted,
                      kNow) == CallDecision::kRetry) {
    ++tries;
    REQUIRE(tries < 1000);
    const Duration pause = RetryPause(progress, options, ~std::uint64_t{0});
    CHECK(pause > Duration(0));
    CHECK(pause <= options.max_pause_);
    longest = std::max(longest, pause);
  }
  CHECK(tries == options.max_attempts_ - 1);
  CHECK(longest > options.max_pause_ / 2);
}

}  // namespace
}  // namespace flamingohollow
