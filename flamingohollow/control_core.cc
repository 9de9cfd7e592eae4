// Applies records, executes the job controller's actions, and runs the leader's
// periodic work.

#include "flamingohollow/control_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <utility>

#include "flamingohollow/codec.h"
#include "util/log.h"

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

// Far more than the number of records that can be applied between a record and
// the callback of its proposal.
constexpr std::size_t kKeptResults = 4 * kMaxProposals;
constexpr std::size_t kKeptVersions = 256;
// A confirmation of leadership that takes longer is requested again.
constexpr Duration kConfirmTimeout = Duration(2000);
// Pruning scans the routes of all workers; kRouteLifetime is far longer.
constexpr Duration kPruneInterval = Duration(1000);

// Aborts if a committed record does not decode: a voter that skipped it would
// diverge from the other replicas.
Command DecodeCommitted(LogIndex index, std::string_view bytes) {
  return leaf::try_handle_all(
      [&] { return DecodeCommand(bytes); },
      [&]() -> Command {
        LogError("the committed record at index {} does not decode; aborting",
                 index.value());
        std::abort();
      });
}

}  // namespace

ControlCore::ControlCore(const JobControllerOptions& options,
                         ControlClocks clocks)
    : options_(options), clocks_(std::move(clocks)) {}

ControlCore::~ControlCore() = default;

LeaderView ControlCore::View() const {
  LeaderView view;
  view.term_ = leadership_->term_;
  view.table_ = &state_.table_;
  view.controller_ = leadership_->controller_.get();
  view.worker_lease_ = options_.lease_;
  return view;
}

// Messages.

void ControlCore::HandleSync(const EntrySync& sync, SyncResponder respond) {
  if (!leadership_) {
    const ReplicaStatus status = replica_->Status();
    ControlSync answer;
    if (!status.is_leader_) answer.leader_address_ = status.leader_address_;
    respond(answer);
    return;
  }
  const Time now = Now();
  Leadership& lead = *leadership_;
  lead.exchanges_.Open(sync, std::move(respond), View(), lead.entries_, now);
  for (const WorkerReport& report : sync.reports_) {
    if (!leadership_) return;
    Run(OnWorkerReport(*leadership_->controller_, report, now));
  }
  if (!leadership_) return;
  const std::vector<WorkerId> alive = leadership_->exchanges_.WorkersOf(sync);
  if (!alive.empty()) {
    Run(OnWorkersAlive(*leadership_->controller_, alive, now));
  }
}

void ControlCore::Flush() {
  if (!leadership_) return;
  leadership_->exchanges_.AnswerDue(View(), leadership_->entries_, Now());
}

void ControlCore::AnswerPending() { LeadershipLost(); }

void ControlCore::Tick() {
  const Time now = Now();
  replica_->Tick(now);
  if (!leadership_) return;
  MaybeConfirmLeadership(now);
  if (!leadership_) return;
  if (now >= leadership_->next_controller_tick_) {
    leadership_->next_controller_tick_ = now + kControllerInterval;
    for (const Command& command : std::exchange(leadership_->deferred_, {})) {
      ProposeForController(command);
      if (!leadership_) return;
    }
    Run(OnTick(*leadership_->controller_, now));
  }
  if (!leadership_) return;
  ExpireWaiters(now);
  DropExpired(leadership_->entries_, now);
  if (now < leadership_->next_prune_) return;
  leadership_->next_prune_ = now + kPruneInterval;
  leadership_->exchanges_.Prune(leadership_->entries_, now);
  RemoveStaleBuckets(leadership_->rates_, state_.table_);
}

// Confirms every kConfirmInterval that this node leads; see control_entries.h.
void ControlCore::MaybeConfirmLeadership(Time now) {
  Leadership& lead = *leadership_;
  const bool confirming = lead.confirm_started_at_.has_value() &&
                          now - *lead.confirm_started_at_ < kConfirmTimeout;
  if (confirming || now < lead.next_confirm_) return;
  lead.confirm_started_at_ = now;
  lead.next_confirm_ = now + kConfirmInterval;
  replica_->ConfirmLeadership(
      [this, now, term = lead.term_](bool ok, const std::string&) {
        if (!leadership_ || leadership_->term_ != term) return;
        leadership_->confirm_started_at_.reset();
        if (ok) ConfirmLeading(leadership_->entries_, now);
      });
}

// Records.

void ControlCore::ApplyCommitted(LogIndex index, std::string_view bytes) {
  const Command command = DecodeCommitted(index, bytes);
  if (versions_.empty()) {
    versions_.push_back({LogIndex(index.value() - 1), state_.table_.version_});
  }
  const TableVersion before = state_.table_.version_;
  const ApplyResult result = ApplyCommand(state_, index, command);
  if (state_.table_.version_ != before) {
    versions_.push_back({index, state_.table_.version_});
    if (versions_.size() > kKeptVersions) versions_.pop_front();
    Count("table_changes");
  }
  if (!leadership_) return;
  if (const auto* order = std::get_if<EvacuationOrder>(&command)) {
    LogInfo("failure domain {}: {}", order->domain_.value(),
            order->evacuate_ ? "evacuate" : "take back");
  }
  RememberResult(index, result);
  if (const auto* job = std::get_if<JobApplyResult>(&result)) {
    Run(OnCommitted(*leadership_->controller_, command, *job, Now()));
  } else if (state_.table_.version_ != before) {
    Run(OnTable(*leadership_->controller_, state_.table_, Now()));
  }
}

void ControlCore::RememberResult(LogIndex index, const ApplyResult& result) {
  results_[index] = result;
  if (results_.size() > kKeptResults) results_.erase(results_.begin());
}

std::string ControlCore::EncodeSnapshot() { return EncodeControlState(state_); }

bool ControlCore::RestoreSnapshot(std::string_view snapshot) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_ASSIGN(state_, DecodeControlState(snapshot));
        versions_.clear();
        return true;
      },
      [] { return false; });
}

// The table version held by a voter whose log is synced up to `match`.
TableVersion ControlCore::VersionOf(LogIndex match) const {
  TableVersion version;
  for (const VersionAt& change : versions_) {
    if (change.index_ <= match) version = change.version_;
  }
  return version;
}

// Leadership.

void ControlCore::LeadershipGained(Term term) {
  const Time now = Now();
  leadership_ = std::make_unique<Leadership>();
  Leadership& lead = *leadership_;
  lead.term_ = term;
  lead.gained_at_ = now;
  JobControllerOptions options = options_;
  options.wall_at_start_ = clocks_.wall_();
  lead.controller_ =
      MakeJobController(options, &state_.jobs_, state_.table_, term, now);
  EntriesOptions entries;
  entries.table_lease_ = options_.entry_authority_;
  lead.entries_ = MakeEntries(entries, term, now);
  lead.next_confirm_ = now;
  lead.next_controller_tick_ = now;
}

void ControlCore::LeadershipLost() {
  if (!leadership_) return;
  // Moved out first, because responders may call this object again.
  const std::unique_ptr<Leadership> lost = std::move(leadership_);
  results_.clear();
  actions_.clear();
  const ReplicaStatus status = replica_->Status();
  ControlSync answer;
  if (!status.is_leader_) answer.leader_address_ = status.leader_address_;
  lost->exchanges_.AnswerAll(answer);
  for (const Waiter& waiter : lost->waiters_) {
    waiter.respond_(NotLeaderReply(status));
  }
}

// Actions.

void ControlCore::Run(JobActions actions) {
  for (JobAction& action : actions) actions_.push_back(std::move(action));
  Drain();
}

// Executes actions in FIFO order. A proposal may commit synchronously and add
// actions; these are appended to the queue.
void ControlCore::Drain() {
  if (draining_) return;
  draining_ = true;
  while (leadership_ && !actions_.empty()) {
    const JobAction action = std::move(actions_.front());
    actions_.pop_front();
    RunAction(action);
  }
  draining_ = false;
}

void ControlCore::RunAction(const JobAction& action) {
  Leadership& lead = *leadership_;
  if (const auto* propose = std::get_if<ProposeAction>(&action)) {
    ProposeForController(propose->command_);
  } else if (const auto* send = std::get_if<SendAction>(&action)) {
    lead.exchanges_.QueueCommand(send->command_, Now());
  } else if (const auto* notify = std::get_if<NotifyAction>(&action)) {
    lead.exchanges_.JobChanged(notify->job_);
    AnswerWaiters(notify->job_);
  } else {
    const auto& exclude = std::get<ExcludeFromRenewalAction>(action);
    SetExcluded(lead.entries_, exclude.job_, exclude.excluded_);
  }
}

// Only kOverloaded is handled here: after any other failure leadership is lost,
// and the next leader's controller starts from the records. The number of
// deferred proposals is bounded by the number of jobs, because the controller
// waits for a job's record to commit before it proposes the next one.
void ControlCore::ProposeForController(const Command& command) {
  const Term term = leadership_->term_;
  replica_->Propose(Encode(command),
                    [this, command, term](const ProposeResult& result) {
                      if (result.outcome_ != ProposeOutcome::kOverloaded)
                        return;
                      if (!leadership_ || leadership_->term_ != term) return;
                      Count("proposals_deferred");
                      leadership_->deferred_.push_back(command);
                    });
}

void ControlCore::AnswerWaiters(JobId job) {
  auto& waiters = leadership_->waiters_;
  if (waiters.empty()) return;
  const auto view = ViewJob(*leadership_->controller_, job);
  if (!view || !IsTerminal(view->outcome_)) return;
  const auto ended = std::stable_partition(
      waiters.begin(), waiters.end(),
      [&](const Waiter& waiter) { return waiter.job_ != job; });
  std::vector<Waiter> answered(std::make_move_iterator(ended),
                               std::make_move_iterator(waiters.end()));
  waiters.erase(ended, waiters.end());
  for (const Waiter& waiter : answered) waiter.respond_(JobReply(*view));
}

void ControlCore::ExpireWaiters(Time now) {
  auto& waiters = leadership_->waiters_;
  while (!waiters.empty() && waiters.front().deadline_ <= now) {
    const Waiter waiter = std::move(waiters.front());
    waiters.erase(waiters.begin());
    const auto view = ViewJob(*leadership_->controller_, waiter.job_);
    waiter.respond_(view ? JobReply(*view)
                         : ErrorReply(CallError::kNotFound, "no such job"));
  }
}

}  // namespace flamingohollow
