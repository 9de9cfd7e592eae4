// An entry's calls to the leader.
//
// Runs on the entry's control thread: calls are made there and answers come
// there. Finding the leader and deciding on retries are pure
// (leader_finder.h); this part carries them out over an RpcNode.

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
  // No leader could be reached; the call was surely not carried out.
  kNotDone,
  // It may have been carried out.
  kUnknown,
};

struct CallResult {
  // Set when the leader gave an answer.
  std::optional<CallReply> reply_;
  CallFailure failure_ = CallFailure::kNotDone;
};

struct LinkCounts {
  std::uint64_t calls_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t not_done_ = 0;
  std::uint64_t unknown_ = 0;
  std::uint64_t syncs_ = 0;
  std::uint64_t syncs_lost_ = 0;
};

struct LeaderLinkState;

class LeaderLink {
 public:
  using CallDone = std::function<void(CallResult)>;
  // Nothing when the exchange was lost.
  using SyncDone = std::function<void(std::optional<ControlSync>)>;

  // `rpc` and `post` must outlive the calls.
  LeaderLink(std::vector<std::string> controls, const CallOptions& options,
             RpcNode& rpc, PostTask post, std::uint64_t seed);
  ~LeaderLink();
  LeaderLink(const LeaderLink&) = delete;
  LeaderLink& operator=(const LeaderLink&) = delete;

  void Call(CallRequest request, CallDone done);
  void Sync(const EntrySync& sync, SyncDone done);
  // The last answer came from the leader.
  bool found() const;
  const std::string& address() const;
  const LinkCounts& counts() const;

 private:
  // Shared with the calls under way.
  std::shared_ptr<LeaderLinkState> state_;
};

// An exchange that is not answered within this is lost. Control holds one for
// at most kMaxHold (control_exchanges.h).
inline constexpr Duration kSyncTimeout = Duration(1600);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_LEADER_LINK_H_
