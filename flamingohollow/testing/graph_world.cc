// The model of the workers and of the network to them.

#include "flamingohollow/testing/graph_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <type_traits>
#include <utility>

namespace flamingohollow::testing {
namespace {

constexpr Duration kTick(20);
constexpr Duration kReportEvery(1500);
constexpr Duration kCommandTimeout(1000);
constexpr Duration kSyncTime(8);
constexpr Duration kStopTime(300);
// The longest additional delay of a delayed command.
constexpr int kMaxLateMs = 9000;
// Interval of a task's checkpoints, and the time to restore one.
constexpr Duration kSaveEvery(2000);
constexpr Duration kRestoreTime(600);
constexpr double kRemoteFactor = 3;
// A task that has crashed this many workers may be started this often again.
constexpr int kCrashesBeforeLimit = 3;
constexpr int kStartsAfterLimit = 2;

// A checkpoint of the model holds the work done, in ms.
Checkpoint Save(Duration done) {
  return done > Duration(0) ? Checkpoint(std::to_string(done.ms()))
                            : Checkpoint();
}

Duration Restore(const Checkpoint& checkpoint) {
  const std::string& text = checkpoint.value();
  std::int64_t ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), ms);
  return Duration(ms);
}

FailureDomain DomainOfRack(int rack) {
  return FailureDomain(fmt::format("d{}", rack));
}

Duration Scale(Duration span, double times) {
  return Duration(
      std::llround(static_cast<double>(span.ms()) * std::max(times, 0.0)));
}

}  // namespace

GraphWorld::GraphWorld(const GraphWorldOptions& options)
    : options_(options), random_(options.seed_) {
  scheduler_ = MakeScheduler(options_.scheduler_, FencingToken(term_), state_,
                             now_, now_);
  for (int i = 0; i < options.racks_ * options.per_rack_; ++i) {
    FakeWorker worker;
    worker.report_ = MakeReport(fmt::format("w{}", i),
                                fmt::format("r{}", i / options.per_rack_));
    worker.report_.failure_domain_ = DomainOfRack(i / options.per_rack_);
    worker.clock_offset_ = Duration(1000 * i - 500'000);
    worker.counted_capacity_ = worker.report_.capacity_;
    worker.next_report_ = now_;
    workers_.push_back(std::move(worker));
  }
}

bool GraphWorld::Chance(int per_mille) {
  return static_cast<int>(random_() % 1000) < per_mille;
}

Duration GraphWorld::Delay() {
  return Duration(1 + static_cast<std::int64_t>(random_() % 10));
}

void GraphWorld::At(Time time, std::function<void()> task) {
  tasks_.emplace(time, std::move(task));
}

void GraphWorld::Submit(std::uint64_t number, std::vector<StepSpec> steps,
                        const JobOptions& options) {
  JobOptions now = options;
  now.accepted_ = now_;
  ProposeLater(MakeSubmit(number, std::move(steps), now));
}

void GraphWorld::Submit(const SubmitRecord& record, RealWork work) {
  work_[record.key_] = std::move(work);
  SubmitRecord now = record;
  now.accepted_ = now_;
  ProposeLater(now);
}

void GraphWorld::SetGuarantee(const std::string& customer,
                              std::int64_t accelerators) {
  testing::SetGuarantee(state_, customer, accelerators);
}

void GraphWorld::SlowDown(int worker, double times) {
  FakeWorker& slow = workers_[worker];
  for (auto& [attempt, run] : slow.runs_) {
    Advance(attempt, run);
    run.slowness_ *= times / slow.slowness_;
    if (run.progressing_) SetEnd(FindMembers(slow, attempt));
  }
  slow.slowness_ = times;
}

void GraphWorld::SetFailing(int worker, int per_mille) {
  workers_[worker].fails_ = per_mille;
}

void GraphWorld::Cancel(std::uint64_t number) {
  ProposeLater(CancelRecord{MakeKey(number), now_});
}

void GraphWorld::Evacuate(int rack, bool evacuate) {
  ProposeLater(EvacuationRecord{{DomainOfRack(rack), evacuate, 0, now_}});
}

int GraphWorld::running_on_rack(int rack) const {
  int running = 0;
  for (const FakeWorker& worker : workers_) {
    if (worker.report_.failure_domain_ != DomainOfRack(rack)) continue;
    running += static_cast<int>(worker.runs_.size());
  }
  return running;
}

void GraphWorld::Apply(const GraphRecord& record) {
  ApplyRecord(state_, record);
  Feed(RecordApplied{&record});
}

void GraphWorld::ProposeLater(const GraphRecord& record) {
  const std::uint64_t term = term_;
  At(now_ + kSyncTime, [this, record, term] {
    if (term == term_) Apply(record);
  });
}

void GraphWorld::Feed(const SchedulerEvent& event) {
  Perform(Step(scheduler_, state_, event, now_));
}

void GraphWorld::Perform(const std::vector<SchedulerAction>& actions) {
  for (const SchedulerAction& action : actions) {
    if (const auto* record = std::get_if<GraphRecord>(&action)) {
      ProposeLater(*record);
    } else if (const auto* start = std::get_if<StartCommand>(&action)) {
      const FakeWorker* target = FindWorker(start->target_.worker_);
      const bool evacuated =
          target != nullptr &&
          IsEvacuated(state_.evacuations_, target->report_.failure_domain_);
      if (evacuated) {
        violations_.insert("a start was sent to an evacuated domain");
      }
      StartResult result{start->target_.worker_,
                         start->target_.incarnation_,
                         start->attempt_,
                         CommandOutcome::kNoAnswer,
                         0,
                         ""};
      Deliver<StartCommand, StartResult>(
          *start, result,
          [this, command = *start](FakeWorker& w, StartResult& r) {
            CarryOut(w, command, r);
          });
    } else if (const auto* stop = std::get_if<StopCommand>(&action)) {
      ++stops_;
      StopResult result{stop->target_.worker_, stop->target_.incarnation_,
                        stop->attempt_, CommandOutcome::kNoAnswer, 0};
      Deliver<StopCommand, StopResult>(
          *stop, result, [this, command = *stop](FakeWorker& w, StopResult& r) {
            CarryOut(w, command, r);
          });
    } else if (const auto* poll = std::get_if<PollCommand>(&action)) {
      PollResult result;
      result.worker_ = poll->target_.worker_;
      result.incarnation_ = poll->target_.incarnation_;
      result.number_ = poll->number_;
      Deliver<PollCommand, PollResult>(
          *poll, result, [this, command = *poll](FakeWorker& w, PollResult& r) {
            CarryOut(w, command, r);
          });
    }
  }
}

template <class Command, class Result>
void GraphWorld::Deliver(const Command& command, Result result,
                         std::function<void(FakeWorker&, Result&)> carry_out) {
  const std::uint64_t term = term_;
  const auto answer = [this, term](const Result& r, Time at) {
    At(at, [this, term, r] {
      if (term == term_) Feed(r);
    });
  };
  const bool lost = Chance(options_.lost_);
  const bool late = Chance(options_.late_);
  const Time arrives =
      late ? now_ + Duration(1500 +
                             static_cast<std::int64_t>(random_() % kMaxLateMs))
           : now_ + Delay();
  if (lost || late) answer(result, now_ + kCommandTimeout);
  if (lost) return;
  At(arrives, [this, command, result, carry_out, answer, late]() mutable {
    FakeWorker* worker = FindWorker(command.target_.worker_);
    if (worker == nullptr && AnswersAt(command.target_.address_)) {
      result.outcome_ = CommandOutcome::kOtherWorker;
      if (!late) answer(result, now_ + Delay());
      return;
    }
    if (worker == nullptr || worker->disconnected_ || worker->down_) {
      const bool refuses =
          worker != nullptr && worker->left_ && !worker->disconnected_;
      if constexpr (std::is_same_v<Result, PollResult>) {
        result.refused_ = refuses;
      }
      if (!late) answer(result, now_ + (refuses ? Delay() : kCommandTimeout));
      return;
    }
    // A command that the process had received but not carried out is lost with
    // it; only a command in transit reaches the next incarnation.
    if (late && command.target_.incarnation_ != worker->report_.incarnation_)
      return;
    carry_out(*worker, result);
    if (late) return;
    const bool unheard = Chance(options_.answer_lost_);
    Result heard = result;
    if (unheard) heard.outcome_ = CommandOutcome::kNoAnswer;
    answer(heard, now_ + (unheard ? kCommandTimeout : Delay()));
  });
}

GraphWorld::FakeWorker* GraphWorld::FindWorker(const WorkerId& id) {
  for (FakeWorker& worker : workers_) {
    if (worker.report_.id_ == id) return &worker;
  }
  return nullptr;
}

bool GraphWorld::AnswersAt(const std::string& address) const {
  return std::any_of(workers_.begin(), workers_.end(),
                     [&address](const FakeWorker& worker) {
                       return worker.report_.address_ == address &&
                              !worker.disconnected_ && !worker.down_;
                     });
}

void GraphWorld::ReportAnother(int worker) {
  PoolWorkerReport report = workers_[worker].report_;
  report.id_ = WorkerId("another");
  report.incarnation_ = WorkerIncarnation(now_.ms());
  report.sequence_ = static_cast<std::uint64_t>(now_.ms());
  report.draining_ = false;
  Feed(report);
}

bool GraphWorld::AcceptToken(FakeWorker& worker, const CommandTarget& target,
                             CommandOutcome& outcome) {
  // Commands name the worker by its id, which it keeps when it restarts, so its
  // next incarnation carries them out.
  if (target.token_ < worker.token_) {
    outcome = CommandOutcome::kRefused;
    return false;
  }
  worker.token_ = target.token_;
  return true;
}

const StepSpec& GraphWorld::SpecOf(const TaskRef& task) const {
  return state_.jobs_.at(task.job_).spec_.steps_[task.step_.value()];
}

Duration GraphWorld::WorkOf(const TaskRef& task) const {
  const StepSpec& spec = SpecOf(task);
  const auto found = work_.find(task.job_);
  if (found == work_.end()) return spec.estimate_;
  const std::vector<Duration>& step = found->second[task.step_.value()];
  // The members of a gang end together, so the longest work counts.
  return spec.gang_ ? *std::max_element(step.begin(), step.end())
                    : step[task.index_.value()];
}

Time GraphWorld::EndOf(const FakeRun& run) {
  return run.counted_until_ + Scale(run.work_ - run.done_, run.slowness_);
}

void GraphWorld::Advance(const AttemptRef& attempt, FakeRun& run) const {
  if (!run.progressing_ || now_ < run.counted_until_) return;
  run.done_ = std::min(run.work_, run.done_ + Scale(now_ - run.counted_until_,
                                                    1 / run.slowness_));
  run.counted_until_ = now_;
  if (!SpecOf(attempt.task_).checkpoints_) return;
  while (run.done_ - run.saved_ >= kSaveEvery) {
    run.saved_ = run.saved_ + kSaveEvery;
  }
}

std::vector<GraphWorld::Member> GraphWorld::FindMembers(
    FakeWorker& worker, const AttemptRef& attempt) {
  if (!SpecOf(attempt.task_).gang_) {
    return {{&worker, attempt, &worker.runs_.at(attempt)}};
  }
  return FindGang(attempt);
}

std::vector<GraphWorld::Member> GraphWorld::FindGang(
    const AttemptRef& attempt) {
  std::vector<Member> members;
  for (FakeWorker& other : workers_) {
    for (auto& [member, run] : other.runs_) {
      if (IsSameStart(member, attempt))
        members.push_back({&other, member, &run});
    }
  }
  return members;
}

void GraphWorld::SetEnd(const std::vector<Member>& members) {
  Time end;
  for (const Member& member : members) end = std::max(end, EndOf(*member.run_));
  for (const Member& member : members) member.run_->ends_ = end;
}

// Starts the work of a single task at once, and that of a gang once all of its
// members have started.
void GraphWorld::BeginWork(FakeWorker& worker, const AttemptRef& attempt) {
  const StepSpec& spec = SpecOf(attempt.task_);
  const std::vector<Member> members = FindMembers(worker, attempt);
  if (spec.gang_ && members.size() < spec.tasks_) return;
  bool remote = false;
  for (const Member& member : members) {
    const Rack& rack = member.host_->report_.rack_;
    const bool apart =
        spec.same_rack_ && rack != members.front().host_->report_.rack_;
    remote = remote || apart || IsAwayFromData(spec, rack);
  }
  for (const auto& [host, member, run] : members) {
    run->slowness_ = host->slowness_ * (remote ? kRemoteFactor : 1);
    run->progressing_ = true;
    run->counted_until_ = now_;
    if (run->done_ > Duration(0)) run->counted_until_ = now_ + kRestoreTime;
  }
  SetEnd(members);
}

void GraphWorld::CheckStart(const FakeWorker& worker,
                            const StartCommand& command) {
  const TaskRef& task = command.attempt_.task_;
  ++starts_;
  for (const FakeWorker& other : workers_) {
    for (const auto& [attempt, run] : other.runs_) {
      if (attempt.task_ == task) violations_.insert("a task ran twice at once");
    }
  }
  if (deadly_.contains(task.job_) &&
      crashes_under_[task] >= kCrashesBeforeLimit &&
      ++starts_after_limit_[task] > kStartsAfterLimit) {
    violations_.insert("a deadly task was started again and again");
  }
  if (acknowledged_done_.contains(task)) {
    violations_.insert("a task started after its acknowledged end");
  }
  const Resources& capacity = worker.counted_capacity_;
  Resources used = command.attempt_.attempt_ == AttemptId()
                       ? Resources{}
                       : SpecOf(task).need_;
  for (const auto& [attempt, run] : worker.runs_) used = used + run.need_;
  if (!Fits(used, capacity)) violations_.insert("a worker was overcommitted");
}

// Extends the worker's lease and returns the end that the command asks for. A
// command that was meant for an earlier incarnation names a time on that one's
// clock, so a worker shortens each lease to the longest that it grants.
Time GraphWorld::ExtendLease(FakeWorker& worker, std::int64_t until_ms) const {
  const Time until = std::min(Time(until_ms) - worker.clock_offset_,
                              now_ + options_.scheduler_.lease_);
  worker.lease_until_ = std::max(worker.lease_until_, until);
  return until;
}

void GraphWorld::CarryOut(FakeWorker& worker, const StartCommand& command,
                          StartResult& result) {
  result.clock_ms_ = (now_ + worker.clock_offset_).ms();
  if (!AcceptToken(worker, command.target_, result.outcome_)) return;
  if (worker.lease_until_ <= now_) worker.expiry_seen_at_ = now_;
  const Time until = ExtendLease(worker, command.lease_until_ms_);
  if (worker.runs_.contains(command.attempt_)) {
    result.outcome_ = CommandOutcome::kDone;
    return;
  }
  const TaskRef& task = command.attempt_.task_;
  const bool old = command.attempt_.attempt_ <= worker.highest_attempts_[task];
  Resources used = SpecOf(task).need_;
  for (const auto& [attempt, run] : worker.runs_) used = used + run.need_;
  const bool late = until <= now_;
  const bool full = options_.guarded_ && !Fits(used, worker.report_.capacity_);
  if (old || late || full) {
    result.outcome_ = CommandOutcome::kRefused;
    return;
  }
  CheckStart(worker, command);
  FakeRun run;
  run.need_ = SpecOf(task).need_;
  run.work_ = WorkOf(task);
  run.done_ = std::min(Restore(command.checkpoint_), run.work_);
  run.saved_ = run.done_;
  run.began_ = now_;
  worker.runs_.emplace(command.attempt_, run);
  BeginWork(worker, command.attempt_);
  result.outcome_ = CommandOutcome::kDone;
  const auto deadly = deadly_.find(task.job_);
  if (deadly == deadly_.end()) return;
  if (deadly->second == Duration()) {
    CrashBy(worker);
    result.outcome_ = CommandOutcome::kNoAnswer;
    result.broke_off_ = command.new_connection_;
    return;
  }
  At(now_ + deadly->second, [this, &worker, attempt = command.attempt_] {
    if (worker.runs_.contains(attempt)) CrashBy(worker);
  });
}

void GraphWorld::CrashBy(FakeWorker& worker) {
  ++crashes_;
  LoseRuns(worker);
  worker.down_ = true;
  At(now_ + options_.down_, [this, &worker] {
    Restart(worker);
    if (!options_.renamed_) return;
    const std::string& id = worker.report_.id_.value();
    worker.report_.id_ = WorkerId(
        fmt::format("{}-{}", id.substr(0, id.find('-')), ++worker.lives_));
  });
}

void GraphWorld::CarryOut(FakeWorker& worker, const StopCommand& command,
                          StopResult& result) {
  result.clock_ms_ = (now_ + worker.clock_offset_).ms();
  if (!AcceptToken(worker, command.target_, result.outcome_)) return;
  AttemptId& highest = worker.highest_attempts_[command.attempt_.task_];
  highest = std::max(highest, command.attempt_.attempt_);
  result.outcome_ = CommandOutcome::kDone;
  if (!worker.runs_.contains(command.attempt_)) return;
  const WorkerId id = worker.report_.id_;
  const WorkerIncarnation incarnation = worker.report_.incarnation_;
  At(now_ + kStopTime, [this, id, incarnation, attempt = command.attempt_] {
    FakeWorker* target = FindWorker(id);
    if (target == nullptr || target->report_.incarnation_ != incarnation)
      return;
    EndRun(*target, attempt, AttemptEnd::kStopped);
  });
}

void GraphWorld::CarryOut(FakeWorker& worker, const PollCommand& command,
                          PollResult& result) {
  if (!AcceptToken(worker, command.target_, result.outcome_)) return;
  if (worker.lease_until_ <= now_) worker.expiry_seen_at_ = now_;
  ExtendLease(worker, command.lease_until_ms_);
  // The command may be for an earlier incarnation; the worker forgets its own
  // ends up to `last_end_` all the same.
  std::erase_if(worker.ends_, [this, &worker,
                               &command](const ReportedEnd& row) {
    if (row.number_ > command.last_end_) return false;
    // An end that is acknowledged only after the lease has expired does not
    // count, as the leader had to consider the task lost by then.
    const bool in_time = worker.expiry_seen_at_ < worker.ended_.at(row.number_);
    if (row.end_ == AttemptEnd::kDone && in_time) {
      acknowledged_done_.insert(row.attempt_.task_);
    }
    return true;
  });
  if (command.target_.incarnation_ != worker.report_.incarnation_) {
    // The answer names the incarnation, so the scheduler learns that a
    // later one answered.
    result.outcome_ = CommandOutcome::kOtherIncarnation;
    return;
  }
  result.outcome_ = CommandOutcome::kDone;
  result.clock_ms_ = (now_ + worker.clock_offset_).ms();
  result.ends_ = worker.ends_;
  result.more_ends_ = result.ends_.size() >= options_.listed_ends_;
  if (result.more_ends_) result.ends_.resize(options_.listed_ends_);
  for (auto& [attempt, run] : worker.runs_) {
    Advance(attempt, run);
    const std::int64_t percent =
        run.done_.ms() * 100 / std::max<std::int64_t>(1, run.work_.ms());
    result.running_.push_back({attempt, Save(run.saved_), percent});
  }
}

void GraphWorld::EndRun(FakeWorker& worker, const AttemptRef& attempt,
                        AttemptEnd end) {
  const auto found = worker.runs_.find(attempt);
  if (found == worker.runs_.end()) return;
  // `attempt` may refer to the key that is erased.
  const AttemptRef ended = found->first;
  FakeRun& run = found->second;
  Advance(ended, run);
  const bool saves = SpecOf(ended.task_).checkpoints_;
  if (end == AttemptEnd::kStopped && saves) run.saved_ = run.done_;
  if (end != AttemptEnd::kDone) {
    const std::int64_t cores = run.need_.millicores_ / 1000 +
                               run.need_.accelerators_ * kCoresPerAccelerator;
    wasted_work_ += (run.done_ - run.saved_).ms() * cores;
  }
  const Checkpoint checkpoint = Save(run.saved_);
  worker.runs_.erase(found);
  AttemptId& highest = worker.highest_attempts_[ended.task_];
  highest = std::max(highest, ended.attempt_);
  worker.ended_[worker.last_end_ + 1] = now_;
  worker.ends_.push_back({++worker.last_end_, ended, end, checkpoint});
}

// Ends all members of the gang as done once all of them have started.
void GraphWorld::EndGang(const AttemptRef& attempt) {
  const std::vector<Member> members = FindGang(attempt);
  // All members have the same end time, so the others are due, too.
  if (members.size() < SpecOf(attempt.task_).tasks_) return;
  const auto fails = [this](const Member& member) {
    return member.host_->fails_ > 0 && Chance(member.host_->fails_);
  };
  const auto failed = std::find_if(members.begin(), members.end(), fails);
  for (auto member = members.begin(); member != members.end(); ++member) {
    AttemptEnd end = AttemptEnd::kDone;
    if (failed != members.end()) end = AttemptEnd::kGangBroken;
    if (member == failed) end = AttemptEnd::kFailed;
    EndRun(*member->host_, member->attempt_, end);
  }
}

void GraphWorld::AdvanceWorkers() {
  for (FakeWorker& worker : workers_) {
    if (!worker.runs_.empty() && worker.lease_until_ <= now_) {
      while (!worker.runs_.empty()) {
        EndRun(worker, worker.runs_.begin()->first, AttemptEnd::kLeaseExpired);
      }
    }
    std::vector<AttemptRef> due;
    for (const auto& [attempt, run] : worker.runs_) {
      if (run.progressing_ && run.ends_ <= now_) due.push_back(attempt);
    }
    for (const AttemptRef& attempt : due) {
      if (SpecOf(attempt.task_).gang_) {
        EndGang(attempt);
      } else {
        EndRun(worker, attempt,
               Chance(options_.fails_ + worker.fails_) ? AttemptEnd::kFailed
                                                       : AttemptEnd::kDone);
      }
    }
    const bool silent = worker.disconnected_ || worker.down_;
    if (now_ < worker.next_report_ || silent) continue;
    worker.next_report_ = now_ + kReportEvery;
    ++worker.report_.sequence_;
    worker.report_.clock_ms_ = (now_ + worker.clock_offset_).ms();
    worker.report_.remaining_ = std::max(worker.leaves_at_ - now_, Duration(0));
    Feed(worker.report_);
  }
}

void GraphWorld::RunFor(Duration span) {
  const Time end = now_ + span;
  while (now_ < end) {
    now_ = now_ + Duration(1);
    while (!tasks_.empty() && tasks_.begin()->first <= now_) {
      const auto task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      task();
    }
    AdvanceWorkers();
    if (now_.ms() % kTick.ms() == 0) Feed(SchedulerTick{now_});
  }
}

void GraphWorld::ChangeLeader() {
  ++term_;
  scheduler_ = MakeScheduler(options_.scheduler_, FencingToken(term_), state_,
                             now_, now_);
}

void GraphWorld::LoseRuns(FakeWorker& worker) {
  for (const auto& [attempt, run] : worker.runs_) {
    ++crashes_under_[attempt.task_];
  }
  worker.runs_.clear();
}

bool GraphWorld::HasCrashedTwice(std::uint64_t number) const {
  return std::any_of(
      crashes_under_.begin(), crashes_under_.end(), [number](const auto& item) {
        return item.first.job_ == MakeKey(number) && item.second >= 2;
      });
}

void GraphWorld::Restart(FakeWorker& worker) {
  worker.down_ = false;
  worker.left_ = false;
  LoseRuns(worker);
  worker.highest_attempts_.clear();
  worker.ends_.clear();
  worker.ended_.clear();
  worker.last_end_ = 0;
  worker.token_ = FencingToken();
  worker.lease_until_ = Time();
  worker.report_.incarnation_ = WorkerIncarnation(now_.ms());
  worker.report_.sequence_ = 0;
  worker.report_.draining_ = false;
  worker.clock_offset_ = Duration(0) - Duration(now_.ms());
  worker.next_report_ = now_ + Duration(200);
}

void GraphWorld::Crash(int worker) { Restart(workers_[worker]); }

void GraphWorld::SetDeadly(std::uint64_t number, Duration delay) {
  deadly_[MakeKey(number)] = delay;
}

void GraphWorld::SetCapacity(int worker, const Resources& capacity) {
  FakeWorker& changed = workers_[worker];
  changed.report_.capacity_ = capacity;
  changed.counted_capacity_ =
      ElementwiseMax(changed.counted_capacity_, capacity);
  changed.resized_ = now_;
  At(now_ + kReportEvery * 2, [this, &changed] {
    const bool again = now_ - changed.resized_ < kReportEvery * 2;
    if (!again) changed.counted_capacity_ = changed.report_.capacity_;
  });
}

void GraphWorld::Disconnect(int id) { workers_[id].disconnected_ = true; }

void GraphWorld::Reconnect(int id) { workers_[id].disconnected_ = false; }

void GraphWorld::StartDraining(int worker, Duration remaining) {
  workers_[worker].report_.draining_ = true;
  workers_[worker].leaves_at_ = now_ + remaining;
  workers_[worker].next_report_ = now_;
}

void GraphWorld::Leave(int worker, Duration away) {
  FakeWorker& leaver = workers_[worker];
  if (leaver.down_) return;
  leaver.runs_.clear();
  leaver.down_ = true;
  leaver.left_ = true;
  At(now_ + away, [this, &leaver] { Restart(leaver); });
  if (!leaver.disconnected_) LeaveAgain(worker);
}

void GraphWorld::LeaveAgain(int worker) {
  Feed(WorkerLeft{workers_[worker].report_.id_});
}

void GraphWorld::EndFaults() {
  options_.lost_ = 0;
  options_.late_ = 0;
  options_.answer_lost_ = 0;
  options_.fails_ = 0;
  for (int rack = 0; rack < options_.racks_; ++rack) Evacuate(rack, false);
  for (FakeWorker& worker : workers_) {
    worker.disconnected_ = false;
    worker.fails_ = 0;
    if (worker.report_.draining_ && !worker.down_) Restart(worker);
  }
}

GraphJobState GraphWorld::JobState(std::uint64_t number) const {
  return state_.jobs_.at(MakeKey(number)).state_;
}

bool GraphWorld::AllEnded() const {
  return std::all_of(state_.jobs_.begin(), state_.jobs_.end(),
                     [](const auto& item) {
                       return item.second.state_ != GraphJobState::kActive;
                     });
}

int GraphWorld::held_polls() const {
  int held = 0;
  for (const auto& [id, worker] : scheduler_.fleet_) {
    if (worker.poll_in_flight_ && worker.poll_held_) ++held;
  }
  return held;
}

int GraphWorld::RunningTasks(std::uint64_t number) const {
  return RunningTasks(MakeKey(number));
}

int GraphWorld::RunningTasks(const GraphJobKey& job) const {
  int running = 0;
  for (const FakeWorker& worker : workers_) {
    for (const auto& [attempt, run] : worker.runs_) {
      if (attempt.task_.job_ == job) ++running;
    }
  }
  return running;
}

}  // namespace flamingohollow::testing
