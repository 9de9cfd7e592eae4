// Answers calls as the leader, and carries out the scheduler's actions.

#include "flamingohollow/graph_service.h"

#include <algorithm>
#include <utility>

#include "util/event_log.h"
#include "util/pack.h"

namespace flamingohollow {
namespace {

bool IsJobKey(std::string_view text) {
  constexpr std::size_t kJobKeyLength = 16;
  return text.size() == kJobKeyLength &&
         text.find_first_not_of("0123456789abcdefABCDEF") ==
             std::string_view::npos;
}

// Whether a copy of the call that comes late may undo what came after it. The
// other calls change nothing or carry what orders them: a catalog its version,
// the report of a listed worker its incarnation and sequence number.
bool MayBeOvertaken(const GraphState& state, const GraphCall& call) {
  switch (call.kind_) {
    case GraphCallKind::kSubmit:
    case GraphCallKind::kCancel:
    case GraphCallKind::kLeave:
    case GraphCallKind::kEvacuate:
    case GraphCallKind::kAnnounce:
      return true;
    case GraphCallKind::kReport:
      return !state.workers_.contains(call.report_.id_);
    case GraphCallKind::kRead:
    case GraphCallKind::kPutCatalog:
    case GraphCallKind::kReadCatalog:
    case GraphCallKind::kReadEvacuations:
      return false;
  }
  return false;
}

std::string_view CallKindName(GraphCallKind kind) {
  switch (kind) {
    case GraphCallKind::kSubmit:
      return "submit";
    case GraphCallKind::kCancel:
      return "cancel";
    case GraphCallKind::kLeave:
      return "leave";
    case GraphCallKind::kEvacuate:
      return "evacuate";
    case GraphCallKind::kAnnounce:
      return "announce";
    case GraphCallKind::kReport:
      return "report";
    default:
      return "other";
  }
}

// What the call is about, for log lines.
std::string SubjectOf(const GraphCall& call) {
  switch (call.kind_) {
    case GraphCallKind::kLeave:
      return call.worker_.value();
    case GraphCallKind::kReport:
      return call.report_.id_.value();
    case GraphCallKind::kEvacuate:
      return call.evacuation_.domain_.value();
    case GraphCallKind::kAnnounce:
      return call.node_.name_.value();
    default:
      return call.caller_.path_;
  }
}

// Depth-first search. `state` is 0 for unvisited steps, 1 for those on the
// current path and 2 for finished ones.
bool HasCycle(const GraphSpec& spec, std::size_t step,
              std::vector<std::uint8_t>& state) {
  if (state[step] == 2) return false;
  if (state[step] == 1) return true;
  state[step] = 1;
  for (const std::uint32_t before : spec.steps_[step].after_) {
    if (HasCycle(spec, before, state)) return true;
  }
  state[step] = 2;
  return false;
}

}  // namespace

std::optional<std::string> FindSpecMistake(const GraphSpec& spec) {
  if (spec.steps_.empty()) return "the job has no steps";
  if (spec.steps_.size() > kMaxStepsPerJob) return "the job has too many steps";
  std::uint64_t tasks = 0;
  for (const StepSpec& step : spec.steps_) {
    tasks += step.tasks_;
    if (step.tasks_ == 0) return "a step has no tasks";
    for (const std::uint32_t before : step.after_) {
      if (before >= spec.steps_.size())
        return "a step depends on an unknown step";
    }
  }
  if (tasks > kMaxTasksPerJob) return "the job has too many tasks";
  std::vector<std::uint8_t> state(spec.steps_.size());
  for (std::size_t i = 0; i < spec.steps_.size(); ++i) {
    if (HasCycle(spec, i, state))
      return "the steps depend on each other in a cycle";
  }
  return std::nullopt;
}

GraphService::GraphService(GraphServiceOptions options, GraphClocks clocks,
                           SendCommand send, Metrics& metrics)
    : options_(std::move(options)),
      clocks_(std::move(clocks)),
      send_(std::move(send)),
      metrics_(metrics) {}

bool GraphService::Leads() const {
  return leadership_ != nullptr && replica_->HasQuorum(Now());
}

GraphReply GraphService::Reply(GraphOutcome outcome, std::string text) const {
  GraphReply reply;
  reply.outcome_ = outcome;
  reply.text_ = std::move(text);
  reply.catalog_version_ = state_.catalog_.version_;
  if (leadership_ != nullptr) {
    reply.term_ = leadership_->term_;
    reply.leader_time_ = Now();
  }
  return reply;
}

GraphReply GraphService::Unavailable(std::string text,
                                     Duration retry_after) const {
  GraphReply reply = Reply(GraphOutcome::kUnavailable, std::move(text));
  reply.retry_after_ = retry_after;
  return reply;
}

GraphReply GraphService::NotLeader() const {
  const ReplicaStatus status = replica_->Status();
  GraphReply reply = Reply(GraphOutcome::kNotLeader);
  // A leader without a quorum would name itself, so it names no leader.
  if (!status.is_leader_) reply.leader_address_ = status.leader_address_;
  for (const VoterStatus& voter : status.voters_) {
    reply.control_addresses_.push_back(voter.address_);
  }
  return reply;
}

std::optional<GraphReply> GraphService::RefuseLate(const GraphCall& call) {
  if (!call.age_.has_value() || !MayBeOvertaken(state_, call)) {
    return std::nullopt;
  }
  const CallAge& age = *call.age_;
  if (age.term_ != leadership_->term_) {
    return Unavailable("the call's age is not known", kUnavailableRetryAfter);
  }
  const Duration waited = Now() - age.arrived_;
  if (waited <= age.patience_) return std::nullopt;
  Count("late_calls_total");
  LogEvent("late_call", {{"kind", CallKindName(call.kind_)},
                         {"subject", SubjectOf(call)},
                         {"age_ms", waited.ms()},
                         {"limit_ms", age.patience_.ms()}});
  return Unavailable("the call came too late", kUnavailableRetryAfter);
}

void GraphService::Handle(const GraphCall& call, const Responder& respond) {
  if (!Leads()) return respond(NotLeader());
  if (auto refusal = RefuseLate(call)) return respond(*refusal);
  switch (call.kind_) {
    case GraphCallKind::kSubmit:
      return HandleSubmit(call, respond);
    case GraphCallKind::kRead:
      return HandleRead(call, respond);
    case GraphCallKind::kCancel:
      return HandleCancel(call, respond);
    case GraphCallKind::kReport:
      return HandleReport(call, respond);
    case GraphCallKind::kLeave:
      return HandleLeave(call, respond);
    case GraphCallKind::kPutCatalog:
      return HandlePutCatalog(call, respond);
    case GraphCallKind::kReadCatalog:
      return HandleReadCatalog(respond);
    case GraphCallKind::kAnnounce:
      return HandleAnnounce(call, respond);
    case GraphCallKind::kEvacuate:
      return HandleEvacuate(call, respond);
    case GraphCallKind::kReadEvacuations:
      return HandleReadEvacuations(respond);
  }
  respond(Reply(GraphOutcome::kInvalid, "unknown call"));
}

// Calls of callers.

std::optional<GraphReply> GraphService::CheckAccess(const CallerRequest& caller,
                                                    Access& access) const {
  if (state_.catalog_.version_ == CatalogVersion()) {
    return Unavailable("no catalog yet", kUnavailableRetryAfter);
  }
  access.queue_ = FindQueue(state_.catalog_, caller.host_, caller.path_);
  if (access.queue_ == nullptr) {
    return Reply(GraphOutcome::kNoQueue, "no such queue");
  }
  access.rest_ = caller.path_.substr(access.queue_->path_prefix_.size());
  const CustomerRow* customer = FindCustomerByKey(state_.catalog_, caller.key_);
  if (customer != nullptr) access.customer_ = customer->name_;
  if (customer == nullptr && !access.queue_->public_) {
    return Reply(GraphOutcome::kBadKey, "unknown key");
  }
  return std::nullopt;
}

const GraphJob* GraphService::FindVisibleJob(const Access& access) const {
  const GraphJob* job = FindJob(state_, GraphJobKey(access.rest_));
  if (job == nullptr) return nullptr;
  const bool same_customer = job->customer_ == access.customer_;
  // The place of a job that an earlier version accepted is not known.
  if (job->place_ == QueuePlace()) return same_customer ? job : nullptr;
  if (job->place_ != PlaceOf(*access.queue_)) return nullptr;
  const bool may_see =
      access.queue_->public_ || job->customer_ == CustomerId() || same_customer;
  return may_see ? job : nullptr;
}

std::optional<GraphReply> GraphService::RefuseSubmit(
    const GraphSpec& spec, const QueueRow& queue) const {
  const bool settled = Now() - leadership_->gained_at_ > kSettleTime;
  if (settled &&
      !CouldEverRun(spec, queue.pool_, leadership_->scheduler_.fleet_)) {
    GraphReply reply =
        Reply(GraphOutcome::kRefused, "the job fits on no known workers");
    reply.retry_after_ = kNoFitRetryAfter;
    return reply;
  }
  return std::nullopt;
}

void GraphService::HandleSubmit(const GraphCall& call,
                                const Responder& respond) {
  Access access;
  if (auto refusal = CheckAccess(call.caller_, access)) {
    return respond(*refusal);
  }
  if (!call.spec_.has_value() || !IsJobKey(access.rest_)) {
    return respond(Reply(GraphOutcome::kInvalid, "the job can't be read"));
  }
  const GraphJobKey key(access.rest_);
  // A submission that the caller repeats after an unclear answer is one job.
  if (FindJob(state_, key) != nullptr) {
    return respond(Reply(GraphOutcome::kOk, "accepted"));
  }
  if (auto mistake = FindSpecMistake(*call.spec_)) {
    return respond(Reply(GraphOutcome::kInvalid, *mistake));
  }
  if (auto refusal = RefuseSubmit(*call.spec_, *access.queue_)) {
    Count("jobs_refused_total");
    LogEvent("refuse", {{"job", key.value()}, {"why", refusal->text_}});
    return respond(*refusal);
  }
  const QueueRow& queue = *access.queue_;
  const SubmitRecord record{
      .key_ = key,
      .queue_ = queue.name_,
      .customer_ = access.customer_,
      .terms_ = {queue.pool_, queue.priority_, queue.max_attempts_,
                 queue.slack_, queue.objective_},
      .spec_ = *call.spec_,
      .accepted_ = clocks_.wall_(),
      .place_ = PlaceOf(queue)};
  ProposeFor(record, respond, [this, key, queue] {
    Count("jobs_accepted_total");
    LogEvent("accept", {{"job", key.value()},
                        {"queue", queue.name_.value()},
                        {"priority", queue.priority_},
                        {"catalog", state_.catalog_.version_.value()}});
    return Reply(GraphOutcome::kOk, "accepted");
  });
}

void GraphService::HandleRead(const GraphCall& call, const Responder& respond) {
  Access access;
  if (auto refusal = CheckAccess(call.caller_, access)) {
    return respond(*refusal);
  }
  if (access.rest_.empty()) return respond(QueueLength(access.queue_->name_));
  const GraphJob* job = FindVisibleJob(access);
  if (job == nullptr) {
    return respond(Reply(GraphOutcome::kNoJob, "no such job"));
  }
  respond(Reply(GraphOutcome::kOk,
                IsWaiting(*job) ? "pending" : std::string(JobStateName(*job))));
}

void GraphService::HandleCancel(const GraphCall& call,
                                const Responder& respond) {
  Access access;
  if (auto refusal = CheckAccess(call.caller_, access)) {
    return respond(*refusal);
  }
  const GraphJob* job = FindVisibleJob(access);
  if (job == nullptr) {
    return respond(Reply(GraphOutcome::kNoJob, "no such job"));
  }
  const GraphJobKey key = job->key_;
  if (job->state_ != GraphJobState::kActive) {
    return respond(Reply(GraphOutcome::kOk, "ended"));
  }
  ProposeFor(CancelRecord{key, clocks_.wall_()}, respond, [this, key] {
    Count("jobs_cancelled_total");
    LogEvent("cancel", {{"job", key.value()}});
    return Reply(GraphOutcome::kOk, "cancelled");
  });
}

bool GraphService::IsWaiting(const GraphJob& job) const {
  return job.state_ == GraphJobState::kActive &&
         !HasBegun(leadership_->scheduler_, job);
}

GraphReply GraphService::QueueLength(const QueueName& queue) const {
  std::uint64_t waiting = 0;
  for (const auto& [key, job] : state_.jobs_) {
    if (job.queue_ == queue && IsWaiting(job)) ++waiting;
  }
  GraphReply reply = Reply(GraphOutcome::kOk);
  reply.count_ = waiting;
  return reply;
}

// Calls of workers.

void GraphService::HandleReport(const GraphCall& call,
                                const Responder& respond) {
  // The worker at its address would be taken for gone.
  if (!MayReport(state_, call.report_)) {
    LogEvent("report_of_unknown_pool", {{"worker", call.report_.id_.value()},
                                        {"pool", call.report_.pool_.value()}});
    return respond(
        Reply(GraphOutcome::kInvalid, "no pool " + call.report_.pool_.value()));
  }
  // It would outrank all reports of the worker and of its next processes.
  const Time started(call.report_.incarnation_.value());
  if (started > clocks_.wall_() + kMaxClockError) {
    LogEvent("report_invalid",
             {{"worker", call.report_.id_.value()}, {"life", started.ms()}});
    return respond(
        Reply(GraphOutcome::kInvalid, "the worker started in the future"));
  }
  Feed(call.report_);
  Feed(WorkerCold{call.report_.id_, call.report_.incarnation_,
                  call.report_.sequence_, call.cold_left_});
  if (leadership_ == nullptr) return respond(NotLeader());
  if (IsReportSettled(call.report_)) return respond(Reply(GraphOutcome::kOk));
  if (leadership_->reports_.size() >= kMaxWaitingReports) {
    return respond(
        Unavailable("too many reports at once", kUnavailableRetryAfter));
  }
  leadership_->reports_.push_back({call.report_, respond, Now()});
}

bool GraphService::IsReportSettled(const PoolWorkerReport& report) const {
  const Fleet& fleet = leadership_->scheduler_.fleet_;
  const auto found = fleet.find(report.id_);
  if (found == fleet.end() ||
      found->second.report_.incarnation_ != report.incarnation_) {
    return true;
  }
  return !found->second.reported_ || IsListed(state_, found->second.report_);
}

void GraphService::AnswerReports() {
  std::vector<WaitingReport> waiting = std::move(leadership_->reports_);
  leadership_->reports_.clear();
  for (WaitingReport& report : waiting) {
    if (IsReportSettled(report.report_)) {
      report.respond_(Reply(GraphOutcome::kOk));
    } else if (Now() - report.received_at_ > kReportTimeout) {
      report.respond_(Unavailable("the report is not in the log yet",
                                  kUnavailableRetryAfter));
    } else {
      leadership_->reports_.push_back(std::move(report));
    }
  }
}

void GraphService::HandleLeave(const GraphCall& call,
                               const Responder& respond) {
  Feed(WorkerLeft{call.worker_});
  respond(Reply(GraphOutcome::kOk));
}

// Calls of the operator.

void GraphService::HandlePutCatalog(const GraphCall& call,
                                    const Responder& respond) {
  if (auto mistake = FindCatalogMistake(call.catalog_)) {
    Count("catalogs_invalid_total");
    LogEvent("catalog_invalid",
             {{"version", call.catalog_.version_.value()}, {"why", *mistake}});
    return respond(Reply(GraphOutcome::kInvalid, *mistake));
  }
  if (call.catalog_.version_ <= state_.catalog_.version_) {
    return respond(Reply(GraphOutcome::kOk, "a newer version is in force"));
  }
  const CatalogVersion version = call.catalog_.version_;
  ProposeFor(CatalogRecord{call.catalog_}, respond, [this, version] {
    Count("catalogs_accepted_total");
    LogEvent("catalog", {{"version", version.value()}});
    return Reply(GraphOutcome::kOk);
  });
}

void GraphService::HandleReadCatalog(const Responder& respond) {
  replica_->ConfirmLeadership([this, respond](bool ok, const std::string&) {
    if (!ok) return respond(NotLeader());
    if (state_.catalog_.version_ == CatalogVersion()) {
      return respond(Unavailable("no catalog yet", kUnavailableRetryAfter));
    }
    respond(Reply(GraphOutcome::kOk, state_.catalog_.text_));
  });
}

bool GraphService::IsKnownDomain(const FailureDomain& domain) const {
  const auto& configured = options_.failure_domains_;
  return std::find(configured.begin(), configured.end(), domain) !=
             configured.end() ||
         std::any_of(state_.workers_.begin(), state_.workers_.end(),
                     [&domain](const auto& item) {
                       return item.second.failure_domain_ == domain;
                     });
}

// Orders that change nothing are committed too: a leader that has been replaced
// unawares must not acknowledge what its successor no longer holds.
void GraphService::HandleEvacuate(const GraphCall& call,
                                  const Responder& respond) {
  EvacuationOrder order = call.evacuation_;
  if (!IsKnownDomain(order.domain_)) {
    return respond(Reply(GraphOutcome::kNoDomain,
                         "no failure domain " + order.domain_.value()));
  }
  order.ordered_ = clocks_.wall_();
  ProposeFor(EvacuationRecord{order}, respond, [this, order] {
    Count("evacuation_orders_total");
    LogEvent("evacuation",
             {{"domain", order.domain_.value()},
              {"order", order.evacuate_ ? "evacuate" : "take back"},
              {"number", order.number_},
              {"in_force", IsEvacuated(state_.evacuations_, order.domain_)}});
    return Reply(GraphOutcome::kOk);
  });
}

void GraphService::HandleReadEvacuations(const Responder& respond) {
  replica_->ConfirmLeadership([this, respond](bool ok, const std::string&) {
    if (!ok) return respond(NotLeader());
    std::string text;
    for (const auto& [domain, evacuation] : state_.evacuations_) {
      if (evacuation.in_force_) text += domain.value() + '\n';
    }
    respond(Reply(GraphOutcome::kOk, text));
  });
}

// Other nodes and membership.

void GraphService::HandleAnnounce(const GraphCall& call,
                                  const Responder& respond) {
  const NodeAnnouncement& node = call.node_;
  if (!node.control_address_.empty()) {
    ControlNode& known = leadership_->nodes_[node.name_];
    known.address_ = node.control_address_;
    known.last_heard_ = Now();
    known.leaving_ = node.leaving_;
    if (node.leaving_) PlanMembers();
  }
  GraphReply reply = Reply(GraphOutcome::kOk);
  for (const VoterStatus& voter : replica_->Status().voters_) {
    reply.control_addresses_.push_back(voter.address_);
  }
  // Its removal may not be committed yet: until then it is needed.
  if (node.leaving_ && leadership_->changing_members_) {
    reply.control_addresses_.push_back(node.control_address_);
  }
  respond(reply);
}

void GraphService::PlanMembers() {
  if (leadership_->changing_members_) return;
  const ReplicaStatus status = replica_->Status();
  std::vector<PlannedMember> members;
  for (const VoterStatus& voter : status.voters_) {
    members.push_back({.name_ = voter.name_,
                       .learner_ = voter.learner_,
                       .holds_log_ = voter.holds_log_,
                       .unheard_ = !voter.heard_,
                       .answered_ = voter.answered_});
  }
  const auto change = PlanMembership(members, leadership_->nodes_,
                                     options_.name_, options_.voters_, Now());
  if (!change.has_value()) return;
  leadership_->changing_members_ = true;
  const NodeName name =
      change->add_.value_or(change->remove_.value_or(NodeName()));
  const std::string_view what = change->add_.has_value() ? "add" : "remove";
  const auto done = [this, name, what](bool ok, const std::string& reason) {
    LogEvent("voter", {{"change", what},
                       {"node", name.value()},
                       {"ok", ok},
                       {"reason", reason}});
    if (leadership_ != nullptr) leadership_->changing_members_ = false;
  };
  if (change->add_.has_value()) {
    ControlNode& node = leadership_->nodes_.at(name);
    node.last_tried_ = Now();
    return replica_->AddVoter(name, node.address_, done);
  }
  replica_->RemoveVoter(name, done);
}

// Proposals and committed records.

void GraphService::ProposeFor(const GraphRecord& record,
                              const Responder& respond,
                              std::function<GraphReply()> reply) {
  ++proposals_;
  replica_->Propose(Pack(record), [this, respond, reply = std::move(reply),
                                   start = Now()](const ProposeResult& result) {
    --proposals_;
    metrics_.Observe("commit_ms", static_cast<double>((Now() - start).ms()),
                     Now());
    switch (result.outcome_) {
      case ProposeOutcome::kCommitted:
        return respond(reply());
      case ProposeOutcome::kNotLeader:
        return respond(NotLeader());
      case ProposeOutcome::kOverloaded:
        return respond(
            Unavailable("changes can't be stored now", kUnavailableRetryAfter));
      case ProposeOutcome::kUnknown:
        return respond(
            Reply(GraphOutcome::kUnknown,
                  "leadership was lost before the change was committed"));
    }
  });
}

void GraphService::ProposeForScheduler(GraphRecord record) {
  std::string command = Pack(record);
  const Term term = leadership_->term_;
  replica_->Propose(
      std::move(command),
      [this, term, record = std::move(record)](const ProposeResult& result) {
        if (result.outcome_ == ProposeOutcome::kCommitted) return;
        if (leadership_ == nullptr) return;
        if (leadership_->term_ != term) return;
        Feed(RecordLost{record});
      });
}

void GraphService::ApplyCommitted(LogIndex /*index*/,
                                  std::string_view command) {
  const auto record = Unpack<GraphRecord>(command);
  if (!record.has_value()) {
    Count("records_unreadable_total");
    LogEvent("record_unreadable", {{"bytes", command.size()}});
    return;
  }
  ApplyRecord(state_, *record);
  if (leadership_ != nullptr) MeasureRecord(*record);
  Feed(RecordApplied{&*record});
  const bool listed = std::holds_alternative<WorkerRecord>(*record);
  if (listed && leadership_ != nullptr) AnswerReports();
}

// Counts only on the leader, so that a sum over the nodes counts records once.
void GraphService::MeasureRecord(const GraphRecord& record) {
  Count("log_records_total");
  if (const auto* open = std::get_if<OpenRecord>(&record)) {
    metrics_.Count("attempts_opened_total", {},
                   static_cast<double>(open->attempts_.size()));
  }
  if (std::holds_alternative<WorkerRecord>(record)) {
    metrics_.Count("worker_crashes_total", {},
                   static_cast<double>(state_.new_crashes_.size()));
  }
  if (std::holds_alternative<WorkerRecord>(record) ||
      std::holds_alternative<GiveUpRecord>(record)) {
    metrics_.Count("tasks_given_up_total", {},
                   static_cast<double>(state_.new_given_up_.size()));
  }
  if (const auto* ends = std::get_if<EndRecord>(&record)) {
    for (const EndedAttempt& ended : ends->attempts_) {
      metrics_.Count("attempts_ended_total",
                     {{"end", std::string(AttemptEndName(ended.end_))}});
    }
  }
}

void GraphService::MeasureState() {
  std::size_t waiting = 0;
  std::size_t running = 0;
  for (const auto& [key, job] : state_.jobs_) {
    if (job.state_ != GraphJobState::kActive) continue;
    ++(IsWaiting(job) ? waiting : running);
  }
  std::size_t usable = 0;
  std::size_t runs = 0;
  std::size_t speed_known = 0;
  for (const auto& [id, worker] : leadership_->scheduler_.fleet_) {
    runs += worker.runs_.size();
    if (IsSpeedKnown(worker.speed_, Now())) ++speed_known;
    if (AcceptsTasks(worker, options_.scheduler_.placement_.report_interval_,
                     Now())) {
      ++usable;
    }
  }
  metrics_.SetGauge("jobs_waiting", static_cast<double>(waiting));
  metrics_.SetGauge("jobs_running", static_cast<double>(running));
  metrics_.SetGauge("workers_usable", static_cast<double>(usable));
  metrics_.SetGauge("attempts_open", static_cast<double>(runs));
  metrics_.SetGauge("workers_speed_known", static_cast<double>(speed_known));
  metrics_.SetGauge("worker_speed_ratio", leadership_->scheduler_.speed_ratio_);
  const auto& evacuations = state_.evacuations_;
  metrics_.SetGauge(
      "failure_domains_evacuated",
      static_cast<double>(std::count_if(
          evacuations.begin(), evacuations.end(),
          [](const auto& item) { return item.second.in_force_; })));
  metrics_.SetGauge("catalog_version",
                    static_cast<double>(state_.catalog_.version_.value()));
  metrics_.SetCount("log_lines_dropped_total",
                    static_cast<double>(DroppedLogLines()));
}

std::string GraphService::EncodeSnapshot() { return EncodeState(state_); }

bool GraphService::RestoreSnapshot(std::string_view snapshot) {
  auto state = DecodeState(snapshot);
  if (!state.has_value()) return false;
  state_ = std::move(*state);
  return true;
}

void GraphService::LeadershipGained(Term term) {
  LogEvent("leader", {{"term", term.value()},
                      {"catalog", state_.catalog_.version_.value()},
                      {"jobs", state_.jobs_.size()}});
  Count("leaderships_total");
  leadership_ = std::make_unique<Leadership>();
  leadership_->term_ = term;
  leadership_->gained_at_ = Now();
  leadership_->scheduler_ =
      MakeScheduler(options_.scheduler_, FencingToken(term.value()), state_,
                    Now(), clocks_.wall_());
}

void GraphService::LeadershipLost() {
  LogEvent("leader_lost", {{"term", leadership_->term_.value()}});
  const std::unique_ptr<Leadership> ended = std::move(leadership_);
  for (const WaitingReport& report : ended->reports_) {
    report.respond_(NotLeader());
  }
}

// The scheduler.

void GraphService::Feed(const SchedulerEvent& event) {
  if (leadership_ == nullptr) return;
  Run(Step(leadership_->scheduler_, state_, event, Now()));
}

void GraphService::Run(std::vector<SchedulerAction> actions) {
  for (SchedulerAction& action : actions) {
    if (leadership_ == nullptr) return;
    if (auto* record = std::get_if<GraphRecord>(&action)) {
      ProposeForScheduler(std::move(*record));
    } else if (auto* start = std::get_if<StartCommand>(&action)) {
      SendToWorker(*start);
    } else if (auto* stop = std::get_if<StopCommand>(&action)) {
      SendToWorker(*stop);
    } else if (auto* poll = std::get_if<PollCommand>(&action)) {
      SendToWorker(*poll);
    }
  }
}

void GraphService::SendToWorker(const GraphCommand& command) {
  const Term term = leadership_->term_;
  send_(command, [this, term](const SchedulerEvent& event) {
    // Without a quorum the leader steps down at its next step, so nothing is
    // lost with the answer.
    if (Leads() && leadership_->term_ == term) Feed(event);
  });
}

void GraphService::Tick() {
  // A leader that can't reach a majority sends no commands: there may be
  // another leader by now.
  if (!Leads()) return;
  const Time start = Now();
  Feed(SchedulerTick{clocks_.wall_(), leadership_->tick_cost_});
  if (leadership_ == nullptr) return;
  leadership_->tick_cost_ = Now() - start;
  metrics_.Observe("scheduler_tick_ms",
                   static_cast<double>(leadership_->tick_cost_.ms()), Now());
  if (Now() < leadership_->next_upkeep_) return;
  leadership_->next_upkeep_ = Now() + kUpkeepInterval;
  AnswerReports();
  PlanMembers();
  MeasureState();
}

}  // namespace flamingohollow
