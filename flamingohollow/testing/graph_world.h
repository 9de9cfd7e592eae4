// Simulates a leader's scheduler and its workers under a virtual clock:
// commands that are lost, delayed or unanswered, workers that crash, drain and
// are cut off, and changes of the leader. Checks invariants during the run.

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
  // Chances in a thousand, for each command.
  int lost_ = 0;
  int late_ = 0;
  int answer_lost_ = 0;
  // Chance in a thousand that an attempt fails.
  int fails_ = 0;
  // How long a worker is down that a deadly task has crashed, and whether it
  // returns under another id.
  Duration down_ = Duration(3000);
  bool renamed_ = true;
  // Whether workers refuse starts for which they lack capacity.
  bool guarded_ = true;
  // Workers list at most this many ends in one answer.
  std::size_t listed_ends_ = 500;
};

// Number of cores that an accelerator counts as in amounts of work.
inline constexpr std::int64_t kCoresPerAccelerator = 8;

// Actual run times of a job's tasks, by step and task; the caller's estimates
// may differ.
using RealWork = std::vector<std::vector<Duration>>;

class GraphWorld {
 public:
  explicit GraphWorld(const GraphWorldOptions& options);

  void Submit(std::uint64_t number, std::vector<StepSpec> steps,
              const JobOptions& options);
  void Submit(const SubmitRecord& record, RealWork work);
  void SetGuarantee(const std::string& customer, std::int64_t accelerators);
  // Makes the worker's tasks take `times` as long from now on.
  void SlowDown(int worker, double times);
  // Makes tasks on the worker fail with this chance in a thousand; a member of
  // a gang that fails breaks its gang.
  void SetFailing(int worker, int per_mille);
  // Delays commands that are sent from now on with this chance in a thousand.
  void SetLate(int per_mille) { options_.late_ = per_mille; }
  void Cancel(std::uint64_t number);
  // Orders the evacuation of a rack's failure domain, or takes it back. Each
  // rack is a failure domain.
  void Evacuate(int rack, bool evacuate);
  void RunFor(Duration span);
  // A new leader takes over; proposals that are not committed yet are lost.
  void ChangeLeader();
  void Crash(int worker);
  // Makes each task of the job crash its worker this long after its start.
  void SetDeadly(std::uint64_t number, Duration delay);
  // The worker's next report shows this capacity. A smaller one is exceeded
  // only by what starts two reports later.
  void SetCapacity(int worker, const Resources& capacity);
  // Another writer reports a worker of its own at the worker's address.
  void ReportAnother(int worker);
  // Drops all commands and reports of the worker until Reconnect.
  void Disconnect(int worker);
  void Reconnect(int worker);
  void StartDraining(int worker, Duration remaining);
  // The worker's process says that it leaves, and ends. Until the next one
  // starts under its id after `away`, connections are refused.
  void Leave(int worker, Duration away);
  // A delayed copy of a leave of the worker's id arrives.
  void LeaveAgain(int worker);
  // Reconnects all workers, restarts those that drain, and injects no more
  // faults.
  void EndFaults();

  bool drains(int worker) const { return workers_[worker].report_.draining_; }
  int workers() const { return static_cast<int>(workers_.size()); }
  const GraphState& state() const { return state_; }
  GraphJobState JobState(std::uint64_t number) const;
  bool AllEnded() const;
  // Whether some task of the job was on two workers when they crashed.
  bool HasCrashedTwice(std::uint64_t number) const;
  // Number of crashes of workers by deadly tasks.
  int crashes() const { return crashes_; }
  // The violated invariants, each once.
  const std::set<std::string>& violations() const { return violations_; }
  // Number of starts that workers carried out.
  std::uint64_t starts() const { return starts_; }
  // Number of stop commands sent.
  std::uint64_t stops() const { return stops_; }
  // Number of the job's attempts that are running.
  int RunningTasks(std::uint64_t number) const;
  int RunningTasks(const GraphJobKey& job) const;
  // Number of attempts that are running on the rack's workers.
  int running_on_rack(int rack) const;
  // Number of polls in flight that the workers may hold open.
  int held_polls() const;
  Time now() const { return now_; }
  // Work lost with attempts that ended before they were done, less what their
  // checkpoints hold, in core-milliseconds. An accelerator counts as 8 cores.
  std::int64_t wasted_work() const { return wasted_work_; }

 private:
  struct FakeRun {
    Resources need_;
    // Run time on a worker of normal speed near the data, and the part done.
    Duration work_;
    Duration done_;
    // The part of `done_` that the newest checkpoint holds.
    Duration saved_;
    // Factor by which the run time is longer here.
    double slowness_ = 1;
    // Whether the run makes progress; a gang does once all members have
    // started. `done_` holds the progress up to `counted_until_`.
    bool progressing_ = false;
    Time counted_until_;
    // When the run ends. A gang ends with its slowest member.
    Time ends_;
    // When the attempt started.
    Time began_;
  };
  struct FakeWorker {
    PoolWorkerReport report_;
    // The worker's clock is the world's time plus this.
    Duration clock_offset_;
    FencingToken token_;
    Time lease_until_;
    std::map<AttemptRef, FakeRun> runs_;
    std::map<TaskRef, AttemptId> highest_attempts_;
    std::vector<ReportedEnd> ends_;
    std::uint64_t last_end_ = 0;
    // When each end happened, by number.
    std::map<std::uint64_t, Time> ended_;
    // When a command last arrived after the lease had expired.
    Time expiry_seen_at_;
    bool disconnected_ = false;
    // Its process has crashed, and the next one has not started yet.
    bool down_ = false;
    // Its process has left: while it is down, connections are refused.
    bool left_ = false;
    // When it leaves, while it drains.
    Time leaves_at_;
    double slowness_ = 1;
    // Chance in a thousand that one of its tasks fails.
    int fails_ = 0;
    // The capacity that counts; see SetCapacity.
    Resources counted_capacity_;
    // When its capacity changed last.
    Time resized_;
    // How often it has restarted.
    int lives_ = 1;
    Time next_report_;
  };

  bool Chance(int per_mille);
  Duration Delay();
  void At(Time time, std::function<void()> task);
  void Perform(const std::vector<SchedulerAction>& actions);
  void Feed(const SchedulerEvent& event);
  void ProposeLater(const GraphRecord& record);
  void Apply(const GraphRecord& record);

  template <class Command, class Result>
  void Deliver(const Command& command, Result result,
               std::function<void(FakeWorker&, Result&)> carry_out);
  FakeWorker* FindWorker(const WorkerId& id);
  // Whether a process answers at the address.
  bool AnswersAt(const std::string& address) const;
  Time ExtendLease(FakeWorker& worker, std::int64_t until_ms) const;
  bool AcceptToken(FakeWorker& worker, const CommandTarget& target,
                   CommandOutcome& outcome);
  void CarryOut(FakeWorker& worker, const StartCommand& command,
                StartResult& result);
  void CarryOut(FakeWorker& worker, const StopCommand& command,
                StopResult& result);
  void CarryOut(FakeWorker& worker, const PollCommand& command,
                PollResult& result);
  void EndRun(FakeWorker& worker, const AttemptRef& attempt, AttemptEnd end);
  void BeginWork(FakeWorker& worker, const AttemptRef& attempt);
  // A run and its worker. FindMembers returns the started runs of the attempt's
  // gang, or just its own run if the step is not a gang.
  struct Member {
    FakeWorker* host_ = nullptr;
    AttemptRef attempt_;
    FakeRun* run_ = nullptr;
  };
  std::vector<Member> FindMembers(FakeWorker& worker,
                                  const AttemptRef& attempt);
  std::vector<Member> FindGang(const AttemptRef& attempt);
  static void SetEnd(const std::vector<Member>& members);
  // Updates the work done and saved up to now.
  void Advance(const AttemptRef& attempt, FakeRun& run) const;
  static Time EndOf(const FakeRun& run);
  Duration WorkOf(const TaskRef& task) const;
  void CheckStart(const FakeWorker& worker, const StartCommand& command);
  void AdvanceWorkers();
  void EndGang(const AttemptRef& attempt);
  void Restart(FakeWorker& worker);
  void LoseRuns(FakeWorker& worker);
  // Crashes the worker of a deadly task. Another process is there later.
  void CrashBy(FakeWorker& worker);
  const StepSpec& SpecOf(const TaskRef& task) const;

  GraphWorldOptions options_;
  std::mt19937_64 random_;
  Time now_{1'000'000};
  GraphState state_;
  Scheduler scheduler_;
  std::uint64_t term_ = 1;
  std::vector<FakeWorker> workers_;
  std::multimap<Time, std::function<void()>> tasks_;
  std::set<std::string> violations_;
  std::uint64_t starts_ = 0;
  std::uint64_t stops_ = 0;
  std::int64_t wasted_work_ = 0;
  std::map<GraphJobKey, RealWork> work_;
  // Tasks whose end `done` is in the log and was acknowledged to the worker.
  std::set<TaskRef> acknowledged_done_;
  // How long after its start a task of a deadly job crashes its worker.
  std::map<GraphJobKey, Duration> deadly_;
  int crashes_ = 0;
  // How often a task was on a worker that crashed, and how often a deadly one
  // has started after the third such crash.
  std::map<TaskRef, int> crashes_under_;
  std::map<TaskRef, int> starts_after_limit_;
};

}  // namespace flamingohollow::testing

#endif  // FLAMINGOHOLLOW_TESTING_GRAPH_WORLD_H_
