// What the control thread does: the replicated state, and the leader's work on
// it. Internal to the control process; control.h runs it.
//
// No socket, thread or clock inside: messages come in decoded, answers leave
// through callbacks, the clocks and the replica are given. So tests drive it
// step by step.
//
// Every read that a caller sees waits until this node has proved that it still
// leads, so no two callers ever see versions go down. Writes are proposed at
// once: only a leader can commit them.
//
// Bounds: kMaxProposals of callers in flight, kMaxWaiters held cancellations,
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

// Callers' proposals in flight; beyond them callers are told to come back.
inline constexpr std::size_t kMaxProposals = 1024;
// Cancellations whose callers wait for the job's end.
inline constexpr std::size_t kMaxWaiters = 1024;
// A cancellation is answered with the job as it is after this long.
inline constexpr Duration kCancelWait = Duration(1000);
// Callers that can't be served now are told to come back after this long.
inline constexpr Duration kRetryAfter = Duration(500);
// Callers over a customer's queue limit are told to come back after this long.
inline constexpr Duration kQueueRetryAfter = Duration(2000);
// The leader proves this often that it still leads.
inline constexpr Duration kConfirmInterval = Duration(1000);
inline constexpr Duration kControllerInterval = Duration(100);
// A job list holds the newest this many.
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
  // Answers the exchanges that have news by now. Call after other events, so
  // that one answer carries what came of several.
  void Flush();

  // Takes no new calls from here on.
  void StartStopping() { stopping_ = true; }
  // No caller's proposal is in flight.
  bool Idle() const { return proposals_ == 0; }
  // Answers everything that is still held: call this once, at the end.
  void AnswerHeld();

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

  // What only the leader has; dropped whole when leadership is lost.
  struct Leadership {
    Term term_;
    JobControllerPtr controller_;
    Entries entries_;
    EntryExchanges exchanges_;
    std::vector<Waiter> waiters_;
    // A proof of leadership is being sought since then.
    std::optional<Time> confirming_since_;
    Time next_confirm_;
    Time next_controller_tick_;
    Time next_prune_;
    // Submissions of each customer, over all entries.
    RateLimits rates_;
    // Proposals of the controller that the replica had no room for.
    std::deque<Command> deferred_;
  };

  // A leader's change of version, for what other voters hold.
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
  void SeekProof(Time now);
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
  // Proposes for a caller; `answer` makes the reply from the result.
  void ProposeForCaller(const Command& command, CallResponder respond,
                        std::function<CallReply(const ApplyResult&)> answer);
  // Goes on with `next` once it is proved that this node leads; otherwise the
  // caller is sent elsewhere.
  void WhenConfirmed(CallResponder respond,
                     std::function<void(CallResponder)> next);
  std::optional<CallReply> RefuseSubmit(const CallRequest& request);
  std::optional<CallReply> RefuseChange(const CallRequest& request);
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
  // Results of records that were applied while leading, newest kept.
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
