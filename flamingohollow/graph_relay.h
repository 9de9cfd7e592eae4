// Brings calls to the leader of the control group and its answers back.
//
// Tries until the call's deadline: the leader directly; when that does not
// answer, through another control node; while no leader is known, the known
// nodes in turn. Every call is idempotent, so trying again does no harm. When
// the time is up the answer says whether anything may have been done: kNotNow
// only if no try can have reached a leader.
//
// All state belongs to one loop; call and be called back on it.

#ifndef FLAMINGOHOLLOW_GRAPH_RELAY_H_
#define FLAMINGOHOLLOW_GRAPH_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "flamingohollow/control_finder.h"
#include "flamingohollow/graph_messages.h"
#include "flamingohollow/rpc.h"
#include "util/clock.h"
#include "util/io_threads.h"

namespace flamingohollow {

// One try is given up after this long: several round trips and log syncs.
inline constexpr Duration kRelayAttemptTimeout = Duration(600);
// Before the next try after one that brought nothing.
inline constexpr Duration kRelayPause = Duration(60);
// Callers who find no leader are told to come back after this long: about an
// election.
inline constexpr Duration kNoLeaderRetryAfter = Duration(1000);

using GraphReplyCallback = std::function<void(const GraphReply&)>;

class GraphRelay {
 public:
  // Handles a call on this node itself, when this is a control node.
  using LocalHandler =
      std::function<void(const GraphCall& call, GraphReplyCallback done)>;

  // `rpc` and `threads` must outlive the relay; it lives on loop 0.
  GraphRelay(RpcNode& rpc, IoThreads& threads, std::vector<std::string> seeds,
             LocalHandler local);

  // `patience`: how long to look for a leader when none can have seen the call;
  // `limit`: how long in all.
  void Call(GraphCall call, Duration patience, Duration limit,
            GraphReplyCallback done);
  void SetSeeds(std::vector<std::string> seeds);
  const ControlFinder& finder() const { return finder_; }

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  void Try(const PendingPtr& pending);
  void Send(const PendingPtr& pending, const std::string& address);
  void TakeAnswer(const PendingPtr& pending, const std::string& address,
                  bool ok, const std::string& body);
  void TakeFinal(const PendingPtr& pending, const std::string& from,
                 const GraphReply& reply);
  void TryLater(const PendingPtr& pending);
  void GiveUp(const PendingPtr& pending);

  RpcNode& rpc_;
  IoThreads& threads_;
  LocalHandler local_;
  ControlFinder finder_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_RELAY_H_
