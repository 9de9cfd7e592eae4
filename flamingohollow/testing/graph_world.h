// A leader's scheduler and its workers under a virtual clock, with orders that
// are lost, late or unanswered, workers that crash, drain and are cut off, and
// leaders that change. Checks after each step what must always hold.

#ifndef FLAMINGOHOLLOW_TESTING_GRAPH_WORLD_H_
#define FLAMINGOHOLLOW_TESTING_GRAPH_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "flamingohollow/graph_scheduler.h"
#include "flamingohollow/graph_state.h"
#include "flamingohollow/testing/graph_fixture.h"

namespace flamingohollow::testing {

struct GraphWorldOptions {
  std::uint64_t seed_ = 1;
  int racks_ = 2;
  int per_rack_ = 3;
  SchedulerOptions scheduler_ = {};
  // Chances in a thousand, for each order.
  int lost_ = 0;
  int late_ = 0;
  int answer_lost_ = 0;
  // Chances in a thousand that a task's run fails.
  int fails_ = 0;
};

// What an accelerator counts for where work is weighed.
inline constexpr std::int64_t kCoresPerAccelerator = 8;

// What a job's tasks really take, by step and task, whatever the caller
// declared.
using RealWork = std::vector<std::vector<Duration>>;

class GraphWorld {
 public:
  explicit GraphWorld(const GraphWorldOptions& options);

  void Submit(std::uint64_t number, std::vector<StepSpec> steps,
              const JobOptions& options);
  void Submit(const SubmitRecord& record, RealWork work);
  void SetGuarantee(const std::string& customer, std::int64_t accelerators);
  // From now on its tasks take this many times as long.
  void SlowDown(int worker, double times);
  void Cancel(std::uint64_t number);
  void RunFor(Duration span);
  // What was proposed and not committed yet is lost; a new leader takes over.
  void ChangeLeader();
  void Crash(int worker);
  // No order or report passes until Heal.
  void Cut(int worker);
  void Heal(int worker);
  void StartDraining(int worker, Duration remaining);
  // No further trouble.
  void Calm();

  int workers() const { return static_cast<int>(workers_.size()); }
  const GraphState& state() const { return state_; }
  GraphJobState JobState(std::uint64_t number) const;
  bool AllEnded() const;
  // Each broken rule, once.
  const std::set<std::string>& broken() const { return broken_; }
  // Starts that workers carried out.
  std::uint64_t starts() const { return starts_; }
  // Attempts of the job that run now.
  int RunningTasks(std::uint64_t number) const;
  Time now() const { return now_; }
  // Work that ran and is neither saved nor done, in core-milliseconds; an
  // accelerator counts as 8 cores.
  std::int64_t wasted() const { return wasted_; }

 private:
  struct FakeRun {
    Resources need_;
    // What it takes on a sound worker near its data, and what is done of it.
    Duration work_;
    Duration done_;
    // Of `done_`, what the newest checkpoint holds.
    Duration saved_;
    // Takes so many times as long here.
    double slowness_ = 1;
    // Working, for a gang once all members are there, since `since_`.
    bool working_ = false;
    Time since_;
    // A gang ends once its slowest member is through.
    Time ends_;
    // When it began, for the resources that it holds.
    Time began_;
  };
  struct FakeWorker {
    PoolWorkerReport report_;
    // The worker's clock is the world's time plus this.
    Duration clock_offset_;
    FencingToken token_;
    Time lease_until_;
    std::map<AttemptRef, FakeRun> runs_;
    std::map<TaskRef, AttemptId> highest_;
    std::vector<EndRow> ends_;
    std::uint64_t last_end_ = 0;
    // When each end happened, by number.
    std::map<std::uint64_t, Time> ended_;
    // When a call last found the lease run out.
    Time lapsed_;
    bool cut_ = false;
    // When it leaves, while it drains.
    Time leaves_;
    double slowness_ = 1;
    Time next_report_;
  };

  bool Chance(int per_mille);
  Duration Delay();
  void At(Time time, std::function<void()> task);
  void Perform(const std::vector<SchedulerAction>& actions);
  void Feed(const SchedulerEvent& event);
  void ProposeLater(const GraphRecord& record);
  void Apply(const GraphRecord& record);

  template <class Order, class Result>
  void Deliver(const Order& order, Result result,
               std::function<void(FakeWorker&, Result&)> carry_out);
  FakeWorker* FindFake(const WorkerId& id);
  bool TakesToken(FakeWorker& worker, const OrderTarget& target,
                  OrderOutcome& outcome);
  void CarryOut(FakeWorker& worker, const StartOrder& order,
                StartResult& result);
  void CarryOut(FakeWorker& worker, const StopOrder& order, StopResult& result);
  void CarryOut(FakeWorker& worker, const LookOrder& order, LookResult& result);
  void EndRun(FakeWorker& worker, const AttemptRef& attempt, AttemptEnd end);
  void BeginWork(FakeWorker& worker, const AttemptRef& attempt);
  // The runs of the attempt's gang that are there, or its own.
  struct Member {
    FakeWorker* host_ = nullptr;
    AttemptRef attempt_;
    FakeRun* run_ = nullptr;
  };
  std::vector<Member> FindMembers(FakeWorker& worker,
                                  const AttemptRef& attempt);
  std::vector<Member> FindGang(const AttemptRef& attempt);
  static void SetEnd(const std::vector<Member>& members);
  // Brings the work done up to now.
  void Advance(const AttemptRef& attempt, FakeRun& run) const;
  static Time EndOf(const FakeRun& run);
  Duration WorkOf(const TaskRef& task) const;
  void CheckStart(const FakeWorker& worker, const StartOrder& order);
  void StepWorkers();
  void EndGang(const AttemptRef& attempt);
  void Restart(FakeWorker& worker);
  const StepSpec& SpecOf(const TaskRef& task) const;

  GraphWorldOptions options_;
  std::mt19937_64 random_;
  Time now_{1'000'000};
  GraphState state_;
  Scheduler scheduler_;
  std::uint64_t term_ = 1;
  std::vector<FakeWorker> workers_;
  std::multimap<Time, std::function<void()>> tasks_;
  std::set<std::string> broken_;
  std::uint64_t starts_ = 0;
  std::int64_t wasted_ = 0;
  std::map<GraphJobKey, RealWork> work_;
  // Tasks whose end `done` is in the log and noted by its worker.
  std::set<TaskRef> noted_done_;
};

}  // namespace flamingohollow::testing

#endif  // FLAMINGOHOLLOW_TESTING_GRAPH_WORLD_H_
