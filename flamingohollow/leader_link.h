// An entry's calls to the leader.
//
// Runs on the entry's control thread: calls are made and callbacks run there.
// leader_finder.h holds the pure logic for finding the leader and deciding on
// retries; this class executes it over an RpcNode.

#ifndef FLAMINGOHOLLOW_LEADER_LINK_H_
#define FLAMINGOHOLLOW_LEADER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/leader_finder.h"
#include "flamingohollow/messages.h"
#include "flamingohollow/rpc.h"
#include "util/clock.h"

namespace flamingohollow {

// Runs a task on the entry's control thread, at once or after a pause.
using PostTask =
    std::function<void(Duration pause, std::function<void()> task)>;

enum class CallFailure : std::uint8_t {
  // No leader could be reached; the call is known not to have been executed.
  kNotExecuted,
  // The call may have been executed.
  kUnknown,
};

struct CallResult {
  // Set if the leader answered.
  std::optional<CallReply> reply_;
  // Meaningful only if reply_ is unset.
  CallFailure failure_ = CallFailure::kNotExecuted;
};

struct LinkCounts {
  std::uint64_t calls_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t not_executed_ = 0;
  std::uint64_t unknown_ = 0;
  std::uint64_t syncs_ = 0;
  std::uint64_t syncs_lost_ = 0;
};

struct LeaderLinkState;

class LeaderLink {
 public:
  using CallDone = std::function<void(CallResult)>;
  // Called with nullopt if the exchange was lost.
  using SyncDone = std::function<void(std::optional<ControlSync>)>;

  // `rpc` and `post` must outlive the calls.
  LeaderLink(std::vector<std::string> controls, const CallOptions& options,
             RpcNode& rpc, PostTask post, std::uint64_t seed);
  ~LeaderLink();
  LeaderLink(const LeaderLink&) = delete;
  LeaderLink& operator=(const LeaderLink&) = delete;

  void Call(CallRequest request, CallDone done);
  void Sync(const EntrySync& sync, SyncDone done);
  // All calls are answered by `end`, also those that come later.
  void EndBy(Time end);
  // True if the last answer came from the leader.
  bool found() const;
  const std::string& address() const;
  const LinkCounts& counts() const;

 private:
  // Shared with the calls in flight.
  std::shared_ptr<LeaderLinkState> state_;
};

// An exchange that is not answered within this time counts as lost. Control
// holds one for at most kMaxHold (control_exchanges.h).
inline constexpr Duration kSyncTimeout = Duration(1600);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_LEADER_LINK_H_
