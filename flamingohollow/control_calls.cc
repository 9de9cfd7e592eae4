// Handles the requests of callers and operators.
//
// Answers based on the current state, including refusals, are given only after
// this node has confirmed that it leads: a partitioned former leader must not
// refuse a customer whose table row it has not received yet.

#include <algorithm>
#include <optional>
#include <utility>

#include "flamingohollow/codec.h"
#include "flamingohollow/control_core.h"
#include "flamingohollow/placement.h"
#include "flamingohollow/table_json.h"

namespace flamingohollow {
namespace {

CallReply TooBusyReply() {
  return ErrorReply(CallError::kUnavailable, "too many requests in flight",
                    kRetryAfter);
}

// The reply for a replica operation that only succeeds or fails.
CallReply DoneReply(bool ok, const std::string& reason) {
  if (ok) return OkReply({{"outcome", "done"}});
  return ErrorReply(CallError::kConflict, reason);
}

bool MayAccess(const CallRequest& request, const CustomerId& customer) {
  return request.on_behalf_of_.value().empty() ||
         request.on_behalf_of_ == customer;
}

}  // namespace

void ControlCore::HandleCall(const CallRequest& request,
                             CallResponder respond) {
  Count("calls");
  if (stopping_) {
    respond(NotLeaderReply(replica_->Status()));
    return;
  }
  if (request.kind_ == CallKind::kInit) {
    HandleInit(std::move(respond));
    return;
  }
  if (!leadership_) {
    respond(NotLeaderReply(replica_->Status()));
    return;
  }
  switch (request.kind_) {
    case CallKind::kTableApply:
      return HandleTableApply(request, std::move(respond));
    case CallKind::kSubmit:
      return HandleSubmit(request, std::move(respond));
    case CallKind::kJobCancel:
      return HandleCancel(request, std::move(respond));
    case CallKind::kVoterAdd:
    case CallKind::kVoterRemove:
      return HandleVoters(request, std::move(respond));
    case CallKind::kEvacuate:
    case CallKind::kTakeBack:
      return HandleEvacuate(request, std::move(respond));
    default:
      return WhenConfirmed(std::move(respond),
                           [this, request](const CallResponder& answer) {
                             answer(Read(request));
                           });
  }
}

// Helpers for answering.

void ControlCore::WhenConfirmed(CallResponder respond,
                                std::function<void(CallResponder)> next) {
  replica_->ConfirmLeadership(
      [this, respond = std::move(respond), next = std::move(next)](
          bool ok, const std::string&) {
        if (ok && leadership_) return next(respond);
        respond(NotLeaderReply(replica_->Status()));
      });
}

void ControlCore::ProposeForCaller(
    const Command& command, CallResponder respond,
    std::function<CallReply(const ApplyResult&)> answer) {
  if (proposals_ >= kMaxProposals) {
    Count("calls_refused_busy");
    respond(TooBusyReply());
    return;
  }
  ++proposals_;
  replica_->Propose(Encode(command), [this, respond = std::move(respond),
                                      answer = std::move(answer)](
                                         const ProposeResult& result) {
    --proposals_;
    const auto applied = results_.find(result.index_);
    switch (result.outcome_) {
      case ProposeOutcome::kCommitted:
        if (applied == results_.end()) break;
        return respond(answer(applied->second));
      case ProposeOutcome::kNotLeader:
        return respond(NotLeaderReply(replica_->Status()));
      case ProposeOutcome::kOverloaded:
        Count("calls_refused_busy");
        return respond(TooBusyReply());
      case ProposeOutcome::kUnknown:
        break;
    }
    Count("outcomes_unknown");
    respond(ErrorReply(CallError::kOutcomeUnknown,
                       "leadership was lost before the outcome was known; "
                       "ask again with the same request id",
                       kRetryAfter));
  });
}

// Cluster formation and membership.

void ControlCore::HandleInit(CallResponder respond) {
  replica_->Init(
      [respond = std::move(respond)](bool ok, const std::string& reason) {
        respond(DoneReply(ok, reason));
      });
}

void ControlCore::HandleVoters(const CallRequest& request,
                               CallResponder respond) {
  auto done = [respond = std::move(respond)](bool ok,
                                             const std::string& reason) {
    respond(DoneReply(ok, reason));
  };
  if (request.kind_ == CallKind::kVoterAdd) {
    replica_->AddVoter(request.voter_, request.address_, std::move(done));
  } else {
    replica_->RemoveVoter(request.voter_, std::move(done));
  }
}

// The table.

// The reply to a dry run or an invalid change; nullopt if the change is to be
// proposed.
std::optional<CallReply> ControlCore::CheckChange(const CallRequest& request) {
  const Table& table = state_.table_;
  if (const auto refusal = RefuseTableChange(table, request.change_)) {
    return TableResultReply(*refusal);
  }
  const Table preview = PreviewTableChange(table, request.change_);
  const std::string reason =
      CheckGuarantees(Placement(*leadership_->controller_), preview);
  if (!reason.empty()) {
    return TableResultReply({.outcome_ = TableOutcome::kInvalid,
                             .version_ = table.version_,
                             .reason_ = reason});
  }
  if (!request.dry_run_) return std::nullopt;
  return TableResultReply({.outcome_ = TableOutcome::kAccepted,
                           .version_ = preview.version_,
                           .reason_ = ""});
}

void ControlCore::HandleTableApply(CallRequest request, CallResponder respond) {
  request.change_.operator_ = request.caller_;
  request.change_.at_ = clocks_.wall_();
  if (!CheckChange(request)) {
    ProposeChange(request.change_, std::move(respond));
    return;
  }
  WhenConfirmed(std::move(respond), [this, request](CallResponder answer) {
    // Checked again: records applied while leadership was being confirmed may
    // have made the change valid.
    if (const auto reply = CheckChange(request)) return answer(*reply);
    ProposeChange(request.change_, std::move(answer));
  });
}

void ControlCore::ProposeChange(const TableChange& change,
                                CallResponder respond) {
  ProposeForCaller(change, std::move(respond), [](const ApplyResult& result) {
    return TableResultReply(std::get<TableResult>(result));
  });
}

std::vector<NodeVersion> ControlCore::EntryVersions() const {
  std::map<NodeName, TableVersion> versions;
  for (const auto& [id, holder] : leadership_->entries_.holders_) {
    const auto [oldest, added] =
        versions.emplace(id.entry_, holder.oldest_version_);
    oldest->second = std::min(oldest->second, holder.oldest_version_);
  }
  std::vector<NodeVersion> nodes;
  nodes.reserve(versions.size());
  for (const auto& [name, version] : versions) {
    nodes.push_back({name, version});
  }
  return nodes;
}

CallReply ControlCore::ReadTableStatus() {
  const Leadership& lead = *leadership_;
  const ReplicaStatus status = replica_->Status();
  std::vector<NodeVersion> nodes;
  for (const VoterStatus& voter : status.voters_) {
    const LogIndex synced_to =
        voter.name_ == status.leader_name_ ? status.applied_ : voter.match_;
    nodes.push_back({voter.name_, VersionOf(synced_to)});
  }
  for (NodeVersion& entry : EntryVersions()) nodes.push_back(std::move(entry));
  const TableVersion version = state_.table_.version_;
  const bool in_force = InForce(lead.entries_, version, Now());
  return OkReply(TableStatusToJson(version, in_force, nodes));
}

// Evacuations.

std::optional<CallReply> ControlCore::CheckDomain(
    const FailureDomain& domain) const {
  if (state_.jobs_.evacuations_.contains(domain)) return std::nullopt;
  for (const WorkerView& worker : ViewWorkers(*leadership_->controller_)) {
    if (worker.report_.place_.failure_domain_ == domain) return std::nullopt;
  }
  const Duration settling = options_.placement_.settling_time_;
  if (Now() - leadership_->gained_at_ < settling) {
    return ErrorReply(CallError::kUnavailable,
                      "the leader does not know all workers yet", kRetryAfter);
  }
  return ErrorReply(CallError::kNotFound, "no worker is in failure domain \"" +
                                              domain.value() + "\"");
}

void ControlCore::HandleEvacuate(const CallRequest& request,
                                 CallResponder respond) {
  const EvacuationOrder order{.domain_ = request.domain_,
                              .evacuate_ = request.kind_ == CallKind::kEvacuate,
                              .number_ = 0,
                              .ordered_ = clocks_.wall_()};
  const auto propose = [this, order](CallResponder answer) {
    ProposeForCaller(order, std::move(answer), [this](const ApplyResult&) {
      Count("evacuation_orders");
      return ReadEvacuations();
    });
  };
  if (!CheckDomain(order.domain_)) return propose(std::move(respond));
  WhenConfirmed(std::move(respond),
                [this, order, propose](const CallResponder& answer) {
                  if (const auto refusal = CheckDomain(order.domain_))
                    return answer(*refusal);
                  propose(answer);
                });
}

CallReply ControlCore::ReadEvacuations() const {
  return OkReply(EvacuationsToJson(state_.jobs_.evacuations_));
}

// Jobs.

// The reply to a refused submission or to one that repeats an accepted one;
// nullopt if the job is to be proposed.
std::optional<CallReply> ControlCore::CheckSubmit(const CallRequest& request) {
  const JobSpec& spec = request.spec_;
  if (!MayAccess(request, spec.customer_)) {
    return ErrorReply(CallError::kForbidden,
                      "the token does not belong to customer \"" +
                          spec.customer_.value() + "\"");
  }
  const auto earlier =
      state_.jobs_.by_request_.find({spec.customer_, spec.request_id_});
  if (earlier != state_.jobs_.by_request_.end()) {
    const auto record = state_.jobs_.jobs_.find(earlier->second);
    if (record != state_.jobs_.jobs_.end() && record->second.spec_ != spec) {
      return ErrorReply(CallError::kRequestIdReused,
                        "request id \"" + spec.request_id_.value() +
                            "\" was used before for another job");
    }
    const auto view = ViewJob(*leadership_->controller_, earlier->second);
    if (view) return JobReply(*view);
  }
  if (spec.accelerators_ == Accelerators(0)) {
    return ErrorReply(CallError::kInvalid,
                      "field \"accelerators\" must be above 0");
  }
  const auto row = state_.table_.rows_.find(spec.customer_);
  if (row == state_.table_.rows_.end()) {
    const bool from_operator = request.on_behalf_of_.value().empty();
    return ErrorReply(
        from_operator ? CallError::kInvalid : CallError::kForbidden,
        "customer \"" + spec.customer_.value() + "\" has no row in the table");
  }
  const auto queued = QueuedJobs(*leadership_->controller_);
  const auto waiting = queued.find(spec.customer_);
  const auto in_flight = submitting_.find(spec.customer_);
  const std::uint64_t count =
      (waiting == queued.end() ? 0 : waiting->second) +
      (in_flight == submitting_.end() ? 0 : in_flight->second);
  if (count >= row->second.max_queued_) {
    return ErrorReply(CallError::kOverLimit,
                      "customer \"" + spec.customer_.value() + "\" has " +
                          std::to_string(count) +
                          " jobs queued; column \"max_queued\" allows " +
                          std::to_string(row->second.max_queued_),
                      kQueueRetryAfter);
  }
  return std::nullopt;
}

void ControlCore::HandleSubmit(const CallRequest& request,
                               CallResponder respond) {
  if (!CheckSubmit(request)) {
    ProposeWithinRate(request.spec_, std::move(respond));
    return;
  }
  WhenConfirmed(std::move(respond), [this, request](CallResponder answer) {
    if (const auto reply = CheckSubmit(request)) return answer(*reply);
    ProposeWithinRate(request.spec_, std::move(answer));
  });
}

// Each entry already refuses submissions that exceed the rate at that entry;
// here the rate is enforced over all entries.
void ControlCore::ProposeWithinRate(const JobSpec& spec,
                                    CallResponder respond) {
  const Row& row = state_.table_.rows_.at(spec.customer_);
  const Duration wait = TakeToken(leadership_->rates_, row, Now());
  if (wait == Duration(0)) return ProposeJob(spec, std::move(respond));
  const CallReply refusal =
      ErrorReply(CallError::kOverLimit,
                 "customer \"" + spec.customer_.value() +
                     "\" submits faster than column \"max_rate\" allows",
                 wait);
  WhenConfirmed(std::move(respond),
                [refusal](const CallResponder& answer) { answer(refusal); });
}

void ControlCore::ProposeJob(const JobSpec& spec, CallResponder respond) {
  const CustomerId& customer = spec.customer_;
  ++submitting_[customer];
  auto answered = [this, customer,
                   respond = std::move(respond)](const CallReply& reply) {
    if (--submitting_[customer] == 0) submitting_.erase(customer);
    respond(reply);
  };
  const JobAccepted accepted{.spec_ = spec, .at_ = clocks_.wall_()};
  ProposeForCaller(accepted, std::move(answered),
                   [this](const ApplyResult& result) {
                     return AcceptedReply(std::get<JobApplyResult>(result));
                   });
}

CallReply ControlCore::AcceptedReply(const JobApplyResult& result) const {
  if (result.outcome_ == ApplyOutcome::kRequestIdReused) {
    return ErrorReply(CallError::kRequestIdReused,
                      "the request id was used before for another job");
  }
  const auto view = leadership_
                        ? ViewJob(*leadership_->controller_, result.job_)
                        : ViewRecord(state_.jobs_, result.job_);
  if (view) return JobReply(*view);
  return ErrorReply(CallError::kOutcomeUnknown,
                    "the job's record no longer exists", kRetryAfter);
}

std::optional<JobView> ControlCore::FindJob(const CallRequest& request) const {
  auto view = ViewJob(*leadership_->controller_, request.job_);
  // Another customer's job is reported as not found.
  if (view && !MayAccess(request, view->spec_.customer_)) view.reset();
  return view;
}

CallReply ControlCore::ReadJob(const CallRequest& request) {
  const auto view = FindJob(request);
  if (!view) return ErrorReply(CallError::kNotFound, "no such job");
  CallReply reply = JobReply(*view);
  reply.status_ = kOkStatus;
  return reply;
}

CallReply ControlCore::ReadJobs(const CallRequest& request) {
  std::vector<JobView> jobs;
  const auto& records = state_.jobs_.jobs_;
  for (auto record = records.rbegin();
       record != records.rend() && jobs.size() < kMaxListedJobs; ++record) {
    if (!MayAccess(request, record->second.spec_.customer_)) continue;
    auto view = ViewJob(*leadership_->controller_, record->first);
    if (view) jobs.push_back(std::move(*view));
  }
  return OkReply(JobsToJson(jobs));
}

void ControlCore::HandleCancel(const CallRequest& request,
                               CallResponder respond) {
  WhenConfirmed(std::move(respond), [this, request](CallResponder answer) {
    const auto job = FindJob(request);
    if (!job) {
      return answer(ErrorReply(CallError::kNotFound, "no such job"));
    }
    if (IsTerminal(job->outcome_)) return answer(JobReply(*job));
    if (leadership_->waiters_.size() >= kMaxWaiters) {
      return answer(TooBusyReply());
    }
    const Time now = Now();
    leadership_->waiters_.push_back(
        {request.job_, now + kCancelWait, std::move(answer)});
    Run(OnCancel(*leadership_->controller_, request.job_, now));
  });
}

// Reads.

CallReply ControlCore::ReadStatus() {
  const JobController& controller = *leadership_->controller_;
  StatusView view;
  view.replica_ = replica_->Status();
  view.entries_ = EntryVersions();
  view.fragmentation_ = Fragmentation(Placement(controller));
  for (const auto& [customer, count] : QueuedJobs(controller)) {
    view.queued_ += count;
  }
  for (const auto& [id, record] : state_.jobs_.jobs_) {
    if (record.may_be_running_) ++view.running_;
  }
  view.guarantees_ = GuaranteeStatuses(Placement(controller));
  view.counters_ = counters_;
  const ExchangeCounters& exchanges = leadership_->exchanges_.counters();
  view.counters_["exchanges_answered"] = exchanges.answered_;
  view.counters_["commands_sent"] = exchanges.commands_;
  view.counters_["commands_without_route"] = exchanges.commands_without_route_;
  view.counters_["commands_dropped"] = exchanges.commands_dropped_;
  return OkReply(StatusToJson(view));
}

CallReply ControlCore::Read(const CallRequest& request) {
  switch (request.kind_) {
    case CallKind::kTableShow:
      return OkReply(TableToJson(state_.table_));
    case CallKind::kTableHistory:
      return OkReply(HistoryToJson(state_.table_));
    case CallKind::kTableStatus:
      return ReadTableStatus();
    case CallKind::kEvacuations:
      return ReadEvacuations();
    case CallKind::kJobShow:
      return ReadJob(request);
    case CallKind::kJobList:
      return ReadJobs(request);
    case CallKind::kWorkers:
      return OkReply(WorkersToJson(ViewWorkers(*leadership_->controller_)));
    case CallKind::kStatus:
      return ReadStatus();
    default:
      return ErrorReply(CallError::kInvalid, "unknown kind of call");
  }
}

}  // namespace flamingohollow
