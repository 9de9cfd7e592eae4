// The control node's part in graph jobs: the replicated state, and while this
// node leads, the scheduler on it and the answers to callers, workers and the
// operator.
//
// No socket or thread inside: the replica, the clocks and the way to the
// workers are given, and answers leave through callbacks. All on one thread.
//
// A node answers as leader only while it has heard from a majority within the
// election time-out, so what it says is never older than that. The catalog is
// read only after a proof of leadership.

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

// Callers who come while the group can't commit are told to come back after
// this long: about an election.
inline constexpr Duration kNotNowRetryAfter = Duration(1000);
// A job that fits on no known worker is refused for this long: workers may be
// added.
inline constexpr Duration kNoFitRetryAfter = Duration(5000);
// After taking over, a leader waits this long for the workers' reports before
// it calls a job hopeless.
inline constexpr Duration kSettleTime = Duration(4000);
// A worker reports to another node when it has no answer by then.
inline constexpr Duration kReportTimeout = Duration(1000);
// Bounds the memory of reports that wait for the log.
inline constexpr std::size_t kMaxWaitingReports = 4096;
// Seldom needed work, such as membership, is looked at this often.
inline constexpr Duration kUpkeepInterval = Duration(200);

using WorkerOrder = std::variant<StartOrder, StopOrder, LookOrder>;
// Carries an order to a worker. `done` is called once with the StartResult,
// StopResult or LookResult.
using SendOrder = std::function<void(const WorkerOrder& order,
                                     std::function<void(SchedulerEvent)> done)>;

struct GraphServiceOptions {
  NodeName name_;
  SchedulerOptions scheduler_;
  // Voters that the group wants: 2f + 1 to bear the loss of f.
  std::size_t voters_ = 3;
};

struct GraphClocks {
  std::function<Time()> monotonic_;
  std::function<Time()> wall_;
};

class GraphService final : public ReplicaOwner {
 public:
  using Responder = std::function<void(const GraphReply&)>;

  // `metrics` must outlive this object.
  GraphService(GraphServiceOptions options, GraphClocks clocks, SendOrder send,
               Metrics& metrics);
  GraphService(const GraphService&) = delete;
  GraphService& operator=(const GraphService&) = delete;

  // Before anything else; must outlive this object's use.
  void SetReplica(Replica* replica) { replica_ = replica; }

  // The responder is called exactly once, now or later.
  void Handle(const GraphCall& call, const Responder& respond);
  // Call every 10 to 50 ms.
  void Tick();
  // No caller's record is on its way into the log.
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
    Time since_;
  };
  struct Leadership {
    Term term_;
    Time since_;
    Scheduler scheduler_;
    std::map<NodeName, ControlNode> nodes_;
    bool changing_members_ = false;
    Time next_upkeep_;
    // Reports whose content is on its way into the log.
    std::vector<WaitingReport> reports_;
  };

  Time Now() const { return clocks_.monotonic_(); }
  void Count(const std::string& name) { metrics_.Count(name); }
  bool Leads() const;
  GraphReply Reply(GraphOutcome outcome, std::string text = "") const;
  GraphReply NotNow(std::string text, Duration retry_after) const;
  GraphReply NotLeader() const;

  void HandleSubmit(const GraphCall& call, const Responder& respond);
  void HandleRead(const GraphCall& call, const Responder& respond);
  void HandleCancel(const GraphCall& call, const Responder& respond);
  void HandleReport(const GraphCall& call, const Responder& respond);
  void HandleLeave(const GraphCall& call, const Responder& respond);
  // What the worker last said of itself is in the log, or no longer matters.
  bool IsReportKept(const PoolWorkerReport& report) const;
  void AnswerReports();
  void HandlePutCatalog(const GraphCall& call, const Responder& respond);
  void HandleReadCatalog(const Responder& respond);
  void HandleAnnounce(const GraphCall& call, const Responder& respond);

  // The queue and customer of a caller's request, or the refusal.
  struct Access {
    const QueueRow* queue_ = nullptr;
    CustomerId customer_;
    // What follows the queue's prefix.
    std::string rest_;
  };
  std::optional<GraphReply> CheckAccess(const CallerRequest& caller,
                                        Access& access) const;
  GraphReply QueueLength(const QueueName& queue) const;
  std::optional<GraphReply> RefuseSubmit(const GraphSpec& spec,
                                         const QueueRow& queue) const;

  // Proposes for a caller who is answered `reply` once it is committed.
  void ProposeFor(const GraphRecord& record, const Responder& respond,
                  std::function<GraphReply()> reply);
  void Feed(const SchedulerEvent& event);
  void Run(std::vector<SchedulerAction> actions);
  void ProposeForScheduler(GraphRecord record);
  void SendToWorker(const WorkerOrder& order);
  void MeasureRecord(const GraphRecord& record);
  void MeasureState();
  void PlanMembers();

  GraphServiceOptions options_;
  GraphClocks clocks_;
  SendOrder send_;
  Replica* replica_ = nullptr;
  GraphState state_;
  // Set exactly while this node leads.
  std::unique_ptr<Leadership> leadership_;
  std::size_t proposals_ = 0;
  Metrics& metrics_;
};

// Bounds on a caller's job; nothing when it is well formed.
std::optional<std::string> FindSpecMistake(const GraphSpec& spec);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_SERVICE_H_
