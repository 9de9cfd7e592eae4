// Relays calls to the leader of the control group and returns its answers.
//
// Retries until the call's deadline: first the leader directly; if it does not
// answer, by way of another control node; while no leader is known, the known
// nodes in turn. Every call is idempotent, so retries are safe. At the deadline
// the reply says whether the call may have taken effect: kUnavailable only if
// no attempt can have reached a leader, kUnknown otherwise. A refusal of a
// later attempt becomes kUnknown if an earlier one may have taken effect.
// A call that would make the relay hold too much at once is refused as
// kUnavailable, and so has no effect.
//
// All state belongs to one event loop: calls and callbacks run on it.

#ifndef FLAMINGOHOLLOW_GRAPH_RELAY_H_
#define FLAMINGOHOLLOW_GRAPH_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/control_finder.h"
#include "flamingohollow/graph_messages.h"
#include "flamingohollow/rpc.h"
#include "util/clock.h"
#include "util/io_threads.h"

namespace flamingohollow {

// Timeout of one attempt: several round trips and log syncs.
inline constexpr Duration kRelayAttemptTimeout = Duration(600);
// Pause after an attempt without a usable answer.
inline constexpr Duration kRelayPause = Duration(60);
// Retry delay sent to callers if no leader answers: about that of an election.
inline constexpr Duration kNoLeaderRetryAfter = Duration(1000);

// Copies of a call under way: decoded, packed, and two on their way.
inline constexpr std::uint64_t kCallCopies = 4;
// Larger calls leave half of the memory to others.
inline constexpr std::uint64_t kSmallCallBytes = 65536;

// Returns the part of `memory` that all calls together may use if one of
// `bytes` is among them.
constexpr std::uint64_t CallMemory(std::uint64_t bytes, std::uint64_t memory) {
  return bytes > kSmallCallBytes ? memory / 2 : memory;
}

using GraphReplyCallback = std::function<void(const GraphReply&)>;

class GraphRelay {
 public:
  // Handles a call on this node; null unless this is a control node.
  using LocalHandler =
      std::function<void(const GraphCall& call, GraphReplyCallback done)>;

  // `rpc` and `threads` must outlive the relay; it lives on loop 0.
  // Calls under way hold at most `max_bytes`, or one of them more.
  GraphRelay(RpcNode& rpc, IoThreads& threads, std::vector<std::string> seeds,
             std::uint64_t max_bytes, LocalHandler local);

  // Gives up after `search_limit` if no leader can have received the call, and
  // after `limit` in any case. `call.age_` gives the call's arrival on this
  // node's clock; without it the call arrives now, and its caller waits for
  // `limit`. The leader gets it on its own clock.
  void Call(GraphCall call, Duration search_limit, Duration limit,
            GraphReplyCallback done);
  // Every call is answered by `end`, or by kRelayPause later, also those with a
  // later limit. For a process that stops: its connections end soon after.
  void EndBy(Time end);
  void SetSeeds(std::vector<std::string> seeds);
  const ControlFinder& finder() const { return finder_; }

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  // The leader's clock, as of its last reply.
  struct LeaderClock {
    Term term_;
    Time time_;
    Time heard_at_;
  };

  Time Capped(Time deadline) const;
  // The call's age by the clock of the leader that is known now.
  CallAge AgeOf(const Pending& pending) const;
  void CallLocally(const PendingPtr& pending, Duration limit);
  void Try(const PendingPtr& pending);
  void Send(const PendingPtr& pending, const std::string& address);
  void HandleAnswer(const PendingPtr& pending, const std::string& address,
                    bool ok, const std::string& body);
  void HandleReply(const PendingPtr& pending, const std::string& from,
                   const GraphReply& reply);
  void RetryLater(const PendingPtr& pending);
  void GiveUp(const PendingPtr& pending);
  // Answers the call; it must not have been answered before.
  void Answer(const PendingPtr& pending, const GraphReply& reply);

  RpcNode& rpc_;
  IoThreads& threads_;
  LocalHandler local_;
  ControlFinder finder_;
  LeaderClock clock_;
  // No call lasts longer; see EndBy.
  std::optional<Time> end_;
  const std::uint64_t max_bytes_;
  // What the calls under way hold.
  std::uint64_t held_bytes_ = 0;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_RELAY_H_
