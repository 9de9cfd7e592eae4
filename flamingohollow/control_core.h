// The logic of the control thread: the replicated state and the leader's work
// on it. Internal to the control process; control.h runs it.
//
// Contains no sockets, threads or clocks, so that tests can drive it step by
// step: messages arrive decoded, replies leave through callbacks, and the
// clocks and the replica are passed in.
//
// A read is answered only after this node has confirmed that it still leads, so
// callers never see table versions go backwards. Writes are proposed at once,
// because only a leader can commit them.
//
// Bounds: kMaxProposals callers' proposals, kMaxWaiters held cancellations,
// and those of control_exchanges.h.

#ifndef FLAMINGOHOLLOW_CONTROL_CORE_H_
#define FLAMINGOHOLLOW_CONTROL_CORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/control_entries.h"
#include "flamingohollow/control_exchanges.h"
#include "flamingohollow/control_json.h"
#include "flamingohollow/control_state.h"
#include "flamingohollow/job.h"
#include "flamingohollow/messages.h"
#include "flamingohollow/rate_limit.h"
#include "flamingohollow/replica.h"
#include "util/clock.h"

namespace flamingohollow {

// Maximum number of callers' proposals in flight; further callers are asked to
// retry after kRetryAfter.
inline constexpr std::size_t kMaxProposals = 1024;
// Maximum number of cancellations held until their job ends.
inline constexpr std::size_t kMaxWaiters = 1024;
// A held cancellation is answered with the job's current state after this long.
inline constexpr Duration kCancelWait = Duration(1000);
// Retry delay returned to callers that can't be served now.
inline constexpr Duration kRetryAfter = Duration(500);
// Retry delay returned to callers over a customer's queue limit.
inline constexpr Duration kQueueRetryAfter = Duration(2000);
// The leader confirms its leadership this often.
inline constexpr Duration kConfirmInterval = Duration(1000);
inline constexpr Duration kControllerInterval = Duration(100);
// A job list holds at most this many jobs, the newest ones.
inline constexpr std::size_t kMaxListedJobs = 1000;

struct ControlClocks {
  std::function<Time()> monotonic_;
  std::function<Time()> wall_;
};

class ControlCore final : public ReplicaOwner {
 public:
  using CallResponder = std::function<void(const CallReply&)>;

  ControlCore(const JobControllerOptions& options, ControlClocks clocks);
  ~ControlCore() override;
  ControlCore(const ControlCore&) = delete;
  ControlCore& operator=(const ControlCore&) = delete;

  // Must be called before anything else but the ReplicaOwner methods; the
  // replica must outlive all other calls.
  void SetReplica(Replica* replica) { replica_ = replica; }

  // Each responder is called exactly once, now or later.
  void HandleSync(const EntrySync& sync, SyncResponder respond);
  void HandleCall(const CallRequest& request, CallResponder respond);
  // Call every 10 to 50 ms.
  void Tick();
  // Answers the exchanges that are due. Call after a batch of events, so that
  // one answer carries the results of all of them.
  void Flush();

  // Refuses all later calls.
  void StartStopping() { stopping_ = true; }
  // No caller's proposal is in flight.
  bool Idle() const { return proposals_ == 0; }
  // Answers every held exchange and cancellation; call once, at shutdown.
  void AnswerPending();

  // ReplicaOwner.
  void ApplyCommitted(LogIndex index, std::string_view command) override;
  std::string EncodeSnapshot() override;
  bool RestoreSnapshot(std::string_view snapshot) override;
  void LeadershipGained(Term term) override;
  void LeadershipLost() override;

 private:
  struct Waiter {
    JobId job_;
    Time deadline_;
    CallResponder respond_;
  };

  // State that only a leader has; discarded when leadership is lost.
  struct Leadership {
    Term term_;
    Time gained_at_;
    JobControllerPtr controller_;
    Entries entries_;
    EntryExchanges exchanges_;
    std::vector<Waiter> waiters_;
    // When the pending confirmation was requested; empty if none is pending.
    std::optional<Time> confirm_started_at_;
    Time next_confirm_;
    Time next_controller_tick_;
    Time next_prune_;
    // Submission rate of each customer, summed over all entries.
    RateLimits rates_;
    // Controller proposals that the overloaded replica refused; retried on
    // Tick.
    std::deque<Command> deferred_;
  };

  // A table version and the log index that created it; used to find the version
  // that another voter holds.
  struct VersionAt {
    LogIndex index_;
    TableVersion version_;
  };

  Time Now() const { return clocks_.monotonic_(); }
  void Count(const std::string& name) { ++counters_[name]; }

  // control_core.cc
  LeaderView View() const;
  void Run(JobActions actions);
  void Drain();
  void RunAction(const JobAction& action);
  void ProposeForController(const Command& command);
  void AnswerWaiters(JobId job);
  void ExpireWaiters(Time now);
  void MaybeConfirmLeadership(Time now);
  void RememberResult(LogIndex index, const ApplyResult& result);
  TableVersion VersionOf(LogIndex match) const;

  // control_calls.cc
  void HandleInit(CallResponder respond);
  void HandleTableApply(CallRequest request, CallResponder respond);
  void ProposeChange(const TableChange& change, CallResponder respond);
  void HandleSubmit(const CallRequest& request, CallResponder respond);
  void ProposeWithinRate(const JobSpec& spec, CallResponder respond);
  void ProposeJob(const JobSpec& spec, CallResponder respond);
  CallReply AcceptedReply(const JobApplyResult& result) const;
  void HandleCancel(const CallRequest& request, CallResponder respond);
  void HandleVoters(const CallRequest& request, CallResponder respond);
  // The reply to an order for a failure domain that is not known; nullopt if it
  // is.
  std::optional<CallReply> CheckDomain(const FailureDomain& domain) const;
  void HandleEvacuate(const CallRequest& request, CallResponder respond);
  CallReply ReadEvacuations() const;
  // Proposes for a caller; `answer` makes the reply from the result.
  void ProposeForCaller(const Command& command, CallResponder respond,
                        std::function<CallReply(const ApplyResult&)> answer);
  // Calls `next` once this node has confirmed that it leads; otherwise responds
  // with NotLeaderReply.
  void WhenConfirmed(CallResponder respond,
                     std::function<void(CallResponder)> next);
  std::optional<CallReply> CheckSubmit(const CallRequest& request);
  std::optional<CallReply> CheckChange(const CallRequest& request);
  CallReply ReadTableStatus();
  CallReply ReadJob(const CallRequest& request);
  CallReply ReadJobs(const CallRequest& request);
  CallReply ReadStatus();
  CallReply Read(const CallRequest& request);
  std::vector<NodeVersion> EntryVersions() const;
  std::optional<JobView> FindJob(const CallRequest& request) const;

  JobControllerOptions options_;
  ControlClocks clocks_;
  Replica* replica_ = nullptr;
  ControlState state_;
  // Set exactly while this node leads.
  std::unique_ptr<Leadership> leadership_;
  // Results of the newest records applied while leading.
  std::map<LogIndex, ApplyResult> results_;
  std::deque<VersionAt> versions_;
  std::deque<JobAction> actions_;
  bool draining_ = false;
  bool stopping_ = false;
  std::size_t proposals_ = 0;
  // Accepted submissions in flight, by customer, for the queue limit.
  std::map<CustomerId, std::uint32_t> submitting_;
  std::map<std::string, std::uint64_t> counters_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CONTROL_CORE_H_
