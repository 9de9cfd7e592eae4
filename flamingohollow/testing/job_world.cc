// The simulation of the job controller's environment: see job_world.h.

#include "flamingohollow/testing/job_world.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingohollow {
namespace {

const FailureDomain kDomain("d");

constexpr int kControls = 3;
constexpr int kEntries = 3;
constexpr int kWorkers = 4;
constexpr Duration kTickInterval = Duration(100);
constexpr Duration kAnnounceInterval = Duration(500);
constexpr Duration kElectionTimeout = Duration(1500);
constexpr Duration kCommitDelay = Duration(5);

Node EntryNode(int index) { return {Role::kEntry, index}; }
Node ControlNode(int index) { return {Role::kControl, index}; }
Node WorkerNode(int index) { return {Role::kWorker, index}; }

bool IsNodeRunning(const World& world, Node node) {
  const NodeState& state = world.nodes_.at(node);
  return state.alive_ && state.frozen_until_ <= world.now_;
}

MessageDelivery PassHop(World& world, Hop hop, Node from, Node to) {
  MessageDelivery delivery =
      world.delivery_hook_ ? world.delivery_hook_(from, to) : MessageDelivery();
  if (hop == Hop::kNone || world.trigger_.hop_ != hop) return delivery;
  world.trigger_.hop_ = Hop::kNone;
  return world.trigger_.act_(from, to);
}

void Deliver(World& world, Node to, int incarnation,
             std::function<void()> run) {
  const NodeState& state = world.nodes_.at(to);
  if (!state.alive_ || state.incarnation_ != incarnation) return;
  if (state.frozen_until_ > world.now_) {
    At(world, state.frozen_until_ - world.now_,
       [&world, to, incarnation, run = std::move(run)] {
         Deliver(world, to, incarnation, run);
       });
    return;
  }
  run();
}

void Send(World& world, Hop hop, Node from, Node to,
          const std::function<void()>& run) {
  const MessageDelivery delivery = PassHop(world, hop, from, to);
  if (world.cut_.contains({from, to})) return;
  const int incarnation = world.nodes_.at(to).incarnation_;
  for (const Duration delay : delivery.delays_) {
    At(world, delay, [&world, to, incarnation, run] {
      Deliver(world, to, incarnation, run);
    });
  }
}

bool IsTarget(const World& world, JobId job) { return world.target_ == job; }

// --- workers

WorkerReport ReportOf(World& world, int index) {
  WorldWorker& worker = world.workers_[index];
  WorkerReport report;
  report.worker_ = WorkerId(fmt::format("w{}", index));
  report.incarnation_ = worker.table_.incarnation_;
  report.sequence_ = worker.table_.changes_ + 1;
  report.address_ = fmt::format("worker-{}", index);
  report.place_ = {Region("r"), kDomain, Rack("k")};
  report.accelerators_ = worker.table_.accelerators_;
  report.slots_ = worker.table_.slots_;
  report.state_ = worker.table_.state_;
  report.leases_ = ReportLeases(worker.table_);
  worker.reported_changes_ = worker.table_.changes_;
  return report;
}

void EndRun(World& world, WorldWorker& worker, const LeaseKey& key,
            bool finished) {
  const auto found = worker.running_.find(key);
  if (found == worker.running_.end()) return;
  Run& run = world.runs_[found->second];
  run.ended_at_ = world.now_;
  run.finished_ = finished;
  // A task that is stopped when its worker thaws has not run since the freeze.
  const NodeState& state = world.nodes_.at(WorkerNode(run.worker_));
  const bool thawing = world.now_ - state.frozen_until_ <= kTickInterval * 2 &&
                       run.began_at_ <= state.frozen_from_;
  if (!finished && thawing) run.ended_at_ = state.frozen_from_;
  worker.running_.erase(found);
}

// Whether the refused lease exceeds the accelerators left beside the active
// leases. Late prepares of a former leader don't count: they never start, and
// are stopped as soon as they are reported.
bool IsDoubleAllocation(const LeaseTable& table, const LeaseEvent& refused) {
  if (table.state_ != WorkerState::kReady) return false;
  const Term term = table.fences_.at(refused.key_.job_).term_;
  std::uint32_t used = refused.accelerators_.value();
  for (const auto& [key, lease] : table.leases_) {
    const bool is_late_prepare = lease.state_ == LeaseState::kPrepared &&
                                 table.fences_.at(key.job_).term_ < term;
    if (IsActive(lease.state_) && !is_late_prepare)
      used += lease.accelerators_.value();
  }
  return used > table.accelerators_.value();
}

void Handle(World& world, int index, const LeaseEvents& events) {
  WorldWorker& worker = world.workers_[index];
  for (const LeaseEvent& event : events) {
    if (event.kind_ == LeaseEventKind::kStarted) {
      worker.running_[event.key_] = world.runs_.size();
      world.runs_.push_back({event.key_, index, world.now_, {}, false});
      if (IsTarget(world, event.key_.job_)) {
        const Node node = WorkerNode(index);
        At(world, Duration(50),
           [&world, node] { PassHop(world, Hop::kRun, node, node); });
      }
    }
    if (event.kind_ == LeaseEventKind::kStopped) {
      EndRun(world, worker, event.key_, false);
    }
    if (event.kind_ == LeaseEventKind::kRefused &&
        IsDoubleAllocation(worker.table_, event)) {
      ++world.double_allocations_;
    }
  }
}

void HandleReport(World& world, int entry, const WorkerReport& report);

void TickWorker(World& world, int index) {
  WorldWorker& worker = world.workers_[index];
  const Node node = WorkerNode(index);
  Handle(world, index, ExpireLeases(worker.table_, world.now_));
  std::vector<LeaseKey> done;
  for (const auto& [key, run] : worker.running_) {
    if (world.now_ - world.runs_[run].began_at_ >= world.run_time_) {
      done.push_back(key);
    }
  }
  for (const LeaseKey& key : done) {
    FinishTask(worker.table_, key, !worker.fails_,
               fmt::format("{}/{}/{}", key.job_.value(), key.attempt_.value(),
                           key.task_.value()));
    EndRun(world, worker, key, !worker.fails_);
  }
  if (worker.answered_at_ + kAnnounceInterval * 2 < world.now_) {
    worker.entry_ = (worker.entry_ + 1) % kEntries;
    worker.answered_at_ = world.now_;
  }
  const bool changed = worker.reported_changes_ != worker.table_.changes_;
  if (!changed && world.now_ - worker.announced_at_ < kAnnounceInterval) return;
  worker.announced_at_ = world.now_;
  const int entry = worker.entry_;
  const Time sent_at = world.now_;
  Send(world, Hop::kNone, node, EntryNode(entry),
       [&world, index, entry, node, sent_at, report = ReportOf(world, index)] {
         HandleReport(world, entry, report);
         const WorldEntry& from = world.entries_[entry];
         const bool may_renew = world.now_ < from.authority_until_;
         const Duration renew = may_renew ? world.options_.lease_ : Duration(0);
         Send(world, Hop::kNone, EntryNode(entry), node,
              [&world, index, sent_at, renew, excluded = from.exclusions_] {
                WorldWorker& renewed = world.workers_[index];
                // An answer without a renewal does not count: the worker must
                // try another entry.
                if (renew > Duration(0)) renewed.answered_at_ = world.now_;
                Handle(world, index, ExpireLeases(renewed.table_, world.now_));
                RenewLeases(renewed.table_, sent_at, renew, excluded);
              });
       });
}

void CommandWorker(World& world, int entry, const WorkerCommand& command) {
  const int index = std::stoi(command.worker_.value().substr(1));
  Hop hop = Hop::kNone;
  if (IsTarget(world, command.job_)) {
    if (command.kind_ == WorkerCommandKind::kPrepare) hop = Hop::kPrepare;
    if (command.kind_ == WorkerCommandKind::kStart) hop = Hop::kStart;
  }
  const Node node = WorkerNode(index);
  if (world.workers_[index].drops_commands_) return;
  Send(world, hop, EntryNode(entry), node,
       [&world, entry, index, node, command] {
         Handle(world, index,
                ApplyWorkerCommand(world.workers_[index].table_, command,
                                   world.now_));
         Send(world, Hop::kNone, node, EntryNode(entry),
              [&world, entry, report = ReportOf(world, index)] {
                HandleReport(world, entry, report);
              });
       });
}

// --- the leader

void Handle(World& world, WorldLeader& leader, const JobActions& actions);

void StampTime(Command& command, Time now) {
  const auto set_time = [now](auto& record) {
    if constexpr (requires { record.at_; }) record.at_ = now;
  };
  std::visit(set_time, command);
}

void ApplyNext(World& world, WorldLeader& leader, const Command& command) {
  const LogIndex index(world.log_.size());
  const JobApplyResult result =
      ApplyJobCommand(leader.records_, index, command);
  Handle(world, leader,
         OnCommitted(*leader.controller_, command, result, world.now_));
}

void RecordTarget(World& world, const Command& command) {
  const auto* accepted = std::get_if<JobAccepted>(&command);
  if (accepted == nullptr || world.target_) return;
  if (accepted->spec_ != world.requests_.front().spec_) return;
  world.target_ = JobId(world.log_.size());
}

void AppendToLog(World& world, const Command& command) {
  world.log_.push_back(command);
  RecordTarget(world, command);
}

// Commits the oldest append if the leader of `term` is still the current one.
void CommitNext(World& world, Term term) {
  if (term != world.term_ || world.appends_.empty()) return;
  WorldLeader* leader = CurrentLeader(world);
  if (leader == nullptr ||
      !IsNodeRunning(world, ControlNode(leader->control_))) {
    return;
  }
  const Command command = world.appends_.front().command_;
  world.appends_.erase(world.appends_.begin());
  AppendToLog(world, command);
  ApplyNext(world, *leader, command);
}

Hop HopOf(const World& world, const Command& command) {
  if (const auto* accepted = std::get_if<JobAccepted>(&command)) {
    const bool target = accepted->spec_ == world.requests_.front().spec_;
    return target ? Hop::kRecord : Hop::kNone;
  }
  if (const auto* may_run = std::get_if<JobMayRun>(&command)) {
    return IsTarget(world, may_run->job_) ? Hop::kMayRun : Hop::kNone;
  }
  if (const auto* ended = std::get_if<JobEnded>(&command)) {
    return IsTarget(world, ended->job_) ? Hop::kAssemble : Hop::kNone;
  }
  return Hop::kNone;
}

void Propose(World& world, WorldLeader& leader, Command command) {
  StampTime(command, world.now_);
  const Hop hop = HopOf(world, command);
  const Term term = leader.term_;
  if (term != world.term_ || leader.dead_) return;
  const Node node = ControlNode(leader.control_);
  // Appended before the fault is injected, so the record may or may not reach a
  // successor.
  world.appends_.push_back({command, term});
  const MessageDelivery delivery = PassHop(world, hop, node, node);
  if (delivery.delays_.empty() && !world.appends_.empty()) {
    world.appends_.pop_back();
  }
  for (std::size_t i = 0; i < delivery.delays_.size(); ++i) {
    if (i > 0) world.appends_.push_back({command, term});
    At(world, delivery.delays_[i] + kCommitDelay,
       [&world, term] { CommitNext(world, term); });
  }
}

void Handle(World& world, WorldLeader& leader, const JobActions& actions) {
  for (const JobAction& action : actions) {
    if (const auto* propose = std::get_if<ProposeAction>(&action)) {
      Propose(world, leader, propose->command_);
    }
    if (const auto* send = std::get_if<SendAction>(&action)) {
      if (send->command_.kind_ == WorkerCommandKind::kPrepare &&
          IsEvacuated(leader.records_.evacuations_, kDomain)) {
        world.violations_.emplace_back("a prepare to an evacuated domain");
      }
      const int entry = leader.entry_of_[send->command_.worker_];
      leader.outbox_[entry].push_back(send->command_);
    }
    if (const auto* exclude = std::get_if<ExcludeFromRenewalAction>(&action)) {
      ++leader.exclusions_version_;
      if (exclude->excluded_) leader.exclusions_.insert(exclude->job_);
      if (!exclude->excluded_) leader.exclusions_.erase(exclude->job_);
    }
  }
}

}  // namespace

void Evacuate(World& world, bool evacuate) {
  WorldLeader* leader = CurrentLeader(world);
  if (leader == nullptr) return;
  Propose(world, *leader, EvacuationOrder{kDomain, evacuate, 0, world.now_});
}

namespace {

WorldLeader* LeaderAt(World& world, int control) {
  for (auto& leader : world.leaders_) {
    if (leader->control_ == control && !leader->dead_) return leader.get();
  }
  return nullptr;
}

void BecomeLeader(World& world, int control) {
  if (world.keeps_appends_) {
    for (const Append& append : world.appends_) {
      AppendToLog(world, append.command_);
    }
  }
  world.appends_.clear();
  world.term_ = Next(world.term_);
  std::erase_if(world.leaders_, [control](const auto& leader) {
    return leader->control_ == control;
  });
  auto leader = std::make_unique<WorldLeader>();
  leader->control_ = control;
  leader->term_ = world.term_;
  leader->confirmed_at_ = world.now_;
  leader->exclusions_version_ = world.term_.value() << 32;
  for (std::size_t i = 0; i < world.log_.size(); ++i) {
    ApplyJobCommand(leader->records_, LogIndex(i + 1), world.log_[i]);
  }
  JobControllerOptions options = world.options_;
  options.wall_at_start_ = world.now_;
  leader->controller_ = MakeJobController(
      options, &leader->records_, world.table_, world.term_, world.now_);
  world.leaders_.push_back(std::move(leader));
  ++world.elections_;
}

bool IsCutOff(const World& world, Node node) {
  const Node peer = ControlNode((node.index_ + 1) % kControls);
  return world.cut_.contains({node, peer}) || world.cut_.contains({peer, node});
}

void Elect(World& world) {
  WorldLeader* current = CurrentLeader(world);
  if (current != nullptr) {
    const Node node = ControlNode(current->control_);
    if (IsNodeRunning(world, node) && !IsCutOff(world, node)) {
      current->confirmed_at_ = world.now_;
      world.leaderless_since_.reset();
      return;
    }
  }
  if (!world.leaderless_since_) world.leaderless_since_ = world.now_;
  if (world.now_ - *world.leaderless_since_ < kElectionTimeout) return;
  const int last = world.leaders_.empty() ? -1 : LeaderNode(world).index_;
  for (int i = 1; i <= kControls; ++i) {
    const Node node = ControlNode((last + i + kControls) % kControls);
    if (!IsNodeRunning(world, node) || IsCutOff(world, node)) continue;
    BecomeLeader(world, node.index_);
    world.leaderless_since_.reset();
    return;
  }
}

// Removes former leaders. A running one keeps acting on its old state for five
// ticks before it steps down.
void StepDown(World& world) {
  std::erase_if(world.leaders_, [&world](const auto& leader) {
    if (leader->term_ == world.term_) return false;
    if (leader->dead_) return true;
    if (!IsNodeRunning(world, ControlNode(leader->control_))) return false;
    if (!leader->deposed_since_) leader->deposed_since_ = world.now_;
    return world.now_ - *leader->deposed_since_ > kTickInterval * 5;
  });
}

struct Reply {
  bool is_leader_ = false;
  Term term_;
  Duration authority_;
  std::uint64_t exclusions_version_ = 0;
  std::vector<JobId> exclusions_;
  std::vector<WorkerCommand> commands_;
};

Reply HandleSync(World& world, int control, int entry,
                 const std::vector<WorkerReport>& reports,
                 const std::vector<WorkerId>& alive) {
  Reply reply;
  WorldLeader* leader = LeaderAt(world, control);
  if (leader == nullptr) return reply;
  for (const WorkerReport& report : reports) {
    leader->entry_of_[report.worker_] = entry;
    Handle(world, *leader,
           OnWorkerReport(*leader->controller_, report, world.now_));
  }
  for (const WorkerId& worker : alive) leader->entry_of_[worker] = entry;
  Handle(world, *leader,
         OnWorkersAlive(*leader->controller_, alive, world.now_));
  reply.is_leader_ = true;
  reply.term_ = leader->term_;
  reply.authority_ =
      world.options_.entry_authority_ - (world.now_ - leader->confirmed_at_);
  reply.exclusions_version_ = leader->exclusions_version_;
  reply.exclusions_.assign(leader->exclusions_.begin(),
                           leader->exclusions_.end());
  reply.commands_ = std::move(leader->outbox_[entry]);
  leader->outbox_[entry].clear();
  return reply;
}

// --- entries

void HandleReply(World& world, int index, Time sent_at,
                 const std::vector<WorkerReport>& reports, const Reply& reply) {
  WorldEntry& entry = world.entries_[index];
  entry.asked_at_.reset();
  if (!reply.is_leader_) {
    entry.control_ = (entry.control_ + 1) % kControls;
    return;
  }
  if (reply.term_ < entry.term_) return;
  if (reply.term_ > entry.term_) entry.acknowledged_.clear();
  entry.term_ = reply.term_;
  entry.authority_until_ =
      std::max(entry.authority_until_, sent_at + reply.authority_);
  if (reply.exclusions_version_ >= entry.exclusions_version_) {
    entry.exclusions_version_ = reply.exclusions_version_;
    entry.exclusions_ = reply.exclusions_;
  }
  for (const WorkerReport& report : reports) {
    entry.acknowledged_[report.worker_] = report.sequence_;
  }
  for (const WorkerCommand& command : reply.commands_) {
    CommandWorker(world, index, command);
  }
}

Hop HopOf(const World& world, const std::vector<WorkerReport>& reports) {
  Hop hop = Hop::kNone;
  for (const WorkerReport& report : reports) {
    for (const LeaseReport& lease : report.leases_) {
      if (!IsTarget(world, lease.job_)) continue;
      if (lease.state_ == LeaseState::kFinished) return Hop::kPart;
      if (lease.state_ == LeaseState::kPrepared) hop = Hop::kGrant;
    }
  }
  return hop;
}

void SyncEntry(World& world, int index) {
  WorldEntry& entry = world.entries_[index];
  if (entry.asked_at_ && world.now_ - *entry.asked_at_ > Duration(500)) {
    entry.control_ = (entry.control_ + 1) % kControls;
  }
  std::vector<WorkerReport> reports;
  for (const auto& [id, report] : entry.reports_) {
    const auto found = entry.acknowledged_.find(id);
    const bool acknowledged =
        found != entry.acknowledged_.end() && found->second == report.sequence_;
    if (!acknowledged && entry.alive_.contains(id)) reports.push_back(report);
  }
  const std::vector<WorkerId> alive(entry.alive_.begin(), entry.alive_.end());
  entry.alive_.clear();
  const Time sent_at = world.now_;
  if (!entry.asked_at_) entry.asked_at_ = sent_at;
  const int control = entry.control_;
  Send(world, HopOf(world, reports), EntryNode(index), ControlNode(control),
       [&world, index, control, reports, alive, sent_at] {
         const Reply reply = HandleSync(world, control, index, reports, alive);
         Send(world, Hop::kNone, ControlNode(control), EntryNode(index),
              [&world, index, sent_at, reports, reply] {
                HandleReply(world, index, sent_at, reports, reply);
              });
       });
}

void HandleReport(World& world, int index, const WorkerReport& report) {
  WorldEntry& entry = world.entries_[index];
  const auto found = entry.reports_.find(report.worker_);
  const auto age = [](const WorkerReport& of) {
    return std::pair(of.incarnation_, of.sequence_);
  };
  if (found != entry.reports_.end() && age(found->second) > age(report)) return;
  const bool is_new =
      found == entry.reports_.end() || age(found->second) < age(report);
  const bool restarted = found != entry.reports_.end() &&
                         found->second.incarnation_ != report.incarnation_;
  if (restarted) entry.acknowledged_.erase(report.worker_);
  entry.reports_[report.worker_] = report;
  entry.alive_.insert(report.worker_);
  if (is_new) SyncEntry(world, index);
}

// --- callers

std::optional<JobView> HandleSubmit(World& world, int control,
                                    const JobSpec& spec, bool cancel) {
  WorldLeader* leader = LeaderAt(world, control);
  if (leader == nullptr) return std::nullopt;
  const auto found =
      leader->records_.by_request_.find({spec.customer_, spec.request_id_});
  if (found != leader->records_.by_request_.end()) {
    if (cancel) {
      Handle(world, *leader,
             OnCancel(*leader->controller_, found->second, world.now_));
    }
    return ViewJob(*leader->controller_, found->second);
  }
  Propose(world, *leader, JobAccepted{spec, Time()});
  return std::nullopt;
}

void HandleAnswer(World& world, std::size_t index, const JobView& view) {
  WorldRequest& request = world.requests_[index];
  const bool ended =
      request.last_view_ && IsTerminal(request.last_view_->outcome_);
  const bool changed =
      ended && (request.last_view_->outcome_ != view.outcome_ ||
                request.last_view_->parts_ != view.parts_);
  // The caller ignores late answers with earlier states.
  if (ended && !IsTerminal(view.outcome_)) return;
  if (changed) world.violations_.push_back("a terminal outcome changed");
  request.last_view_ = view;
}

// Sends the request. It is sent repeatedly; once the job is accepted, the same
// request id returns the job's current view.
void SendRequest(World& world, std::size_t index) {
  WorldRequest& request = world.requests_[index];
  request.entry_ = (request.entry_ + 1) % kEntries;
  const int entry = request.entry_;
  const JobSpec spec = request.spec_;
  const bool cancel = request.cancel_;
  const Node caller{Role::kCaller, 0};
  const auto hop = [index](Hop expected) {
    return index == 0 ? expected : Hop::kNone;
  };
  Send(world, hop(Hop::kSubmit), caller, EntryNode(entry), [=, &world] {
    PassHop(world, hop(Hop::kFilter), EntryNode(entry), EntryNode(entry));
    if (!IsNodeRunning(world, EntryNode(entry))) return;
    const int control = world.entries_[entry].control_;
    const Node to = ControlNode(control);
    Send(world, hop(Hop::kHandOver), EntryNode(entry), to, [=, &world] {
      const std::optional<JobView> view =
          HandleSubmit(world, control, spec, cancel);
      if (!view) return;
      Send(world, Hop::kNone, to, EntryNode(entry), [=, &world] {
        const bool ended = IsTerminal(view->outcome_);
        Send(world, ended ? hop(Hop::kAnswer) : Hop::kNone, EntryNode(entry),
             caller, [=, &world] { HandleAnswer(world, index, *view); });
      });
    });
  });
}

// --- the clock

void TickLeaders(World& world) {
  for (std::size_t i = 0; i < world.leaders_.size(); ++i) {
    WorldLeader& leader = *world.leaders_[i];
    if (leader.dead_) continue;
    if (!IsNodeRunning(world, ControlNode(leader.control_))) continue;
    Handle(world, leader, OnTick(*leader.controller_, world.now_));
  }
}

void Tick(World& world) {
  StepDown(world);
  Elect(world);
  TickLeaders(world);
  for (int i = 0; i < kEntries; ++i) {
    if (IsNodeRunning(world, EntryNode(i))) SyncEntry(world, i);
  }
  for (int i = 0; i < kWorkers; ++i) {
    if (IsNodeRunning(world, WorkerNode(i))) TickWorker(world, i);
  }
  for (std::size_t i = 0; i < world.requests_.size(); ++i) {
    const Duration since = world.now_ - world.requests_[i].asked_at_;
    if (since < kTickInterval * 3) continue;
    world.requests_[i].asked_at_ = world.now_;
    SendRequest(world, i);
  }
  At(world, kTickInterval, [&world] { Tick(world); });
}

void Restart(World& world, Node node) {
  NodeState& state = world.nodes_.at(node);
  state.alive_ = true;
  if (node.role_ == Role::kEntry) world.entries_[node.index_] = WorldEntry();
  if (node.role_ != Role::kWorker) return;
  WorldWorker& worker = world.workers_[node.index_];
  const LeaseTable old = std::move(worker.table_);
  worker.table_ = LeaseTable();
  worker.table_.incarnation_ = Next(old.incarnation_);
  worker.table_.accelerators_ = old.accelerators_;
  worker.table_.slots_ = old.slots_;
  worker.reported_changes_ = 0;
}

}  // namespace

World::World(std::uint64_t seed) {
  table_.version_ = TableVersion(1);
  Row row;
  row.customer_ = CustomerId("c");
  row.guaranteed_ = {{1, Accelerators(12), Adjacency::kRegion}};
  row.max_borrowed_ = 8;
  row.max_queued_ = 100;
  table_.rows_[row.customer_] = row;
  entries_.resize(kEntries);
  workers_.resize(kWorkers);
  for (int i = 0; i < kControls; ++i) nodes_[ControlNode(i)];
  for (int i = 0; i < kEntries; ++i) nodes_[EntryNode(i)];
  nodes_[{Role::kCaller, 0}];
  for (int i = 0; i < kWorkers; ++i) {
    nodes_[WorkerNode(i)];
    workers_[i].table_.incarnation_ = Incarnation(1);
    workers_[i].table_.accelerators_ = Accelerators(4);
    workers_[i].table_.slots_ = 4;
    workers_[i].entry_ = static_cast<int>((seed + i) % kEntries);
    workers_[i].answered_at_ = now_;
  }
  BecomeLeader(*this, 0);
  At(*this, Duration(0), [this] { Tick(*this); });
}

void At(World& world, Duration delay, std::function<void()> run) {
  world.events_.push({world.now_ + delay, ++world.order_, std::move(run)});
}

void RunFor(World& world, Duration duration) {
  const Time end = world.now_ + duration;
  while (!world.events_.empty() && world.events_.top().at_ <= end) {
    const World::Event event = world.events_.top();
    world.events_.pop();
    world.now_ = event.at_;
    event.run_();
  }
  world.now_ = end;
}

void AddRequest(World& world, const JobSpec& spec) {
  WorldRequest request;
  request.spec_ = spec;
  world.requests_.push_back(request);
}

void Kill(World& world, Node node, Duration down) {
  NodeState& state = world.nodes_.at(node);
  if (!state.alive_) return;
  state.alive_ = false;
  ++state.incarnation_;
  const int incarnation = state.incarnation_;
  if (node.role_ == Role::kWorker) {
    WorldWorker& worker = world.workers_[node.index_];
    while (!worker.running_.empty()) {
      EndRun(world, worker, LeaseKey(worker.running_.begin()->first), false);
    }
  }
  At(world, down, [&world, node, incarnation] {
    if (world.nodes_.at(node).incarnation_ == incarnation) Restart(world, node);
  });
  if (node.role_ != Role::kControl) return;
  if (WorldLeader* leader = LeaderAt(world, node.index_)) leader->dead_ = true;
}

void Freeze(World& world, Node node, Duration duration) {
  NodeState& state = world.nodes_.at(node);
  if (state.frozen_until_ <= world.now_) state.frozen_from_ = world.now_;
  state.frozen_until_ = std::max(state.frozen_until_, world.now_ + duration);
}

void Cut(World& world, Node node, bool from, bool to, Duration duration) {
  std::vector<std::pair<Node, Node>> links;
  for (const auto& [other, state] : world.nodes_) {
    if (other == node) continue;
    if (from) links.emplace_back(node, other);
    if (to) links.emplace_back(other, node);
  }
  world.cut_.insert(links.begin(), links.end());
  At(world, duration, [&world, links] {
    for (const auto& link : links) world.cut_.erase(link);
  });
}

void CutFromControl(World& world, Node entry, Duration duration) {
  for (int i = 0; i < kControls; ++i) {
    for (const auto& link :
         {std::pair(entry, ControlNode(i)), std::pair(ControlNode(i), entry)}) {
      world.cut_.insert(link);
      At(world, duration, [&world, link] { world.cut_.erase(link); });
    }
  }
}

Node LeaderNode(const World& world) {
  return ControlNode(world.leaders_.back()->control_);
}

WorldLeader* CurrentLeader(World& world) {
  for (auto& leader : world.leaders_) {
    if (leader->term_ == world.term_ && !leader->dead_) return leader.get();
  }
  return nullptr;
}

}  // namespace flamingohollow
