// A control node's service for graph jobs. It holds the replicated state; while
// the node is the leader, it also runs the scheduler and answers callers,
// workers and the operator.
//
// It uses no sockets or threads: the replica, the clocks and the function that
// sends commands to workers are passed in, and answers go to callbacks. All
// calls must be made on one thread.
//
// A node answers as leader only while it has heard from a majority within the
// election timeout, so its answers are never more stale than that. The catalog
// is read only after leadership has been confirmed.

#ifndef FLAMINGOHOLLOW_GRAPH_SERVICE_H_
#define FLAMINGOHOLLOW_GRAPH_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "flamingohollow/graph_messages.h"
#include "flamingohollow/graph_scheduler.h"
#include "flamingohollow/graph_state.h"
#include "flamingohollow/membership_plan.h"
#include "flamingohollow/metrics.h"
#include "flamingohollow/replica.h"
#include "util/clock.h"

namespace flamingohollow {

// Retry delay sent to callers while the group can't commit: about the duration
// of an election.
inline constexpr Duration kUnavailableRetryAfter = Duration(1000);
// Retry delay sent with the refusal of a job that fits on no known worker, as
// workers may be added.
inline constexpr Duration kNoFitRetryAfter = Duration(5000);
// A new leader waits this long for the workers' reports before it refuses jobs
// that fit on no known worker.
inline constexpr Duration kSettleTime = Duration(4000);
// A report that is not committed within this time is answered kUnavailable,
// because a worker without an answer would report to another node.
inline constexpr Duration kReportTimeout = Duration(1000);
// How far the clocks of workers and control nodes may differ.
inline constexpr Duration kMaxClockError = Duration(60'000);
// Limits the memory used by reports that wait to be committed.
inline constexpr std::size_t kMaxWaitingReports = 4096;
// Interval of upkeep: membership changes, gauges, and answers to reports.
inline constexpr Duration kUpkeepInterval = Duration(200);

using GraphCommand = std::variant<StartCommand, StopCommand, PollCommand>;
// Sends a command to a worker. `done` is called once with the StartResult,
// StopResult or PollResult.
using SendCommand = std::function<void(
    const GraphCommand& command, std::function<void(SchedulerEvent)> done)>;

struct GraphServiceOptions {
  NodeName name_;
  SchedulerOptions scheduler_;
  // Target number of voters: 2f + 1 to tolerate the loss of f.
  std::size_t voters_ = 3;
  // The failure domains of the deployment. Domains of known workers count too.
  std::vector<FailureDomain> failure_domains_;
};

struct GraphClocks {
  std::function<Time()> monotonic_;
  std::function<Time()> wall_;
};

class GraphService final : public ReplicaOwner {
 public:
  using Responder = std::function<void(const GraphReply&)>;

  // `metrics` must outlive this object.
  GraphService(GraphServiceOptions options, GraphClocks clocks,
               SendCommand send, Metrics& metrics);
  GraphService(const GraphService&) = delete;
  GraphService& operator=(const GraphService&) = delete;

  // Must be called first. `replica` must outlive the use of this object.
  void SetReplica(Replica* replica) { replica_ = replica; }

  // Calls the responder exactly once, possibly after this returns.
  void Handle(const GraphCall& call, const Responder& respond);
  // Must be called every 10 to 50 ms.
  void Tick();
  // Whether no record proposed for a caller is pending.
  bool Idle() const { return proposals_ == 0; }

  const GraphState& state() const { return state_; }

  // ReplicaOwner.
  void ApplyCommitted(LogIndex index, std::string_view command) override;
  std::string EncodeSnapshot() override;
  bool RestoreSnapshot(std::string_view snapshot) override;
  void LeadershipGained(Term term) override;
  void LeadershipLost() override;

 private:
  struct WaitingReport {
    PoolWorkerReport report_;
    Responder respond_;
    Time received_at_;
  };
  struct Leadership {
    Term term_;
    Time gained_at_;
    Scheduler scheduler_;
    std::map<NodeName, ControlNode> nodes_;
    bool changing_members_ = false;
    // How long the last tick of the scheduler took, with its actions.
    Duration tick_cost_;
    Time next_upkeep_;
    // Reports that are to be answered once their content is committed.
    std::vector<WaitingReport> reports_;
  };

  Time Now() const { return clocks_.monotonic_(); }
  void Count(const std::string& name) { metrics_.Count(name); }
  bool Leads() const;
  GraphReply Reply(GraphOutcome outcome, std::string text = "") const;
  GraphReply Unavailable(std::string text, Duration retry_after) const;
  GraphReply NotLeader() const;
  // Refuses a call that may have been overtaken by another one.
  std::optional<GraphReply> RefuseLate(const GraphCall& call);

  void HandleSubmit(const GraphCall& call, const Responder& respond);
  void HandleRead(const GraphCall& call, const Responder& respond);
  void HandleCancel(const GraphCall& call, const Responder& respond);
  void HandleReport(const GraphCall& call, const Responder& respond);
  void HandleLeave(const GraphCall& call, const Responder& respond);
  // Whether the worker's newest report is in the log, or the report no longer
  // matters.
  bool IsReportSettled(const PoolWorkerReport& report) const;
  void AnswerReports();
  void HandlePutCatalog(const GraphCall& call, const Responder& respond);
  void HandleReadCatalog(const Responder& respond);
  bool IsKnownDomain(const FailureDomain& domain) const;
  void HandleEvacuate(const GraphCall& call, const Responder& respond);
  void HandleReadEvacuations(const Responder& respond);
  void HandleAnnounce(const GraphCall& call, const Responder& respond);

  // The queue and customer of a caller's request. CheckAccess returns a reply
  // if it refuses the request.
  struct Access {
    const QueueRow* queue_ = nullptr;
    CustomerId customer_;
    // The part of the path after the queue's prefix.
    std::string rest_;
  };
  std::optional<GraphReply> CheckAccess(const CallerRequest& caller,
                                        Access& access) const;
  // The job that the request names, if its caller may see and cancel it; else
  // null.
  const GraphJob* FindVisibleJob(const Access& access) const;
  // Whether the job is active and no worker has begun a task of it, as far as
  // this leader knows.
  bool IsWaiting(const GraphJob& job) const;
  GraphReply QueueLength(const QueueName& queue) const;
  std::optional<GraphReply> RefuseSubmit(const GraphSpec& spec,
                                         const QueueRow& queue) const;

  // Proposes the record and sends the caller `reply` once it is committed.
  void ProposeFor(const GraphRecord& record, const Responder& respond,
                  std::function<GraphReply()> reply);
  void Feed(const SchedulerEvent& event);
  void Run(std::vector<SchedulerAction> actions);
  void ProposeForScheduler(GraphRecord record);
  void SendToWorker(const GraphCommand& command);
  void MeasureRecord(const GraphRecord& record);
  void MeasureState();
  void PlanMembers();

  GraphServiceOptions options_;
  GraphClocks clocks_;
  SendCommand send_;
  Replica* replica_ = nullptr;
  GraphState state_;
  // Null unless this node is the leader.
  std::unique_ptr<Leadership> leadership_;
  std::size_t proposals_ = 0;
  Metrics& metrics_;
};

// Describes the first mistake in a caller's job; empty if it is well formed.
std::optional<std::string> FindSpecMistake(const GraphSpec& spec);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_SERVICE_H_
