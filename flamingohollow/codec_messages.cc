// Workers and the exchanges between entries and control, struct by struct.

#include "flamingohollow/codec_parts.h"

namespace flamingohollow::codec {

// --- Workers.

void Put(wire::LeaseReport::Builder builder, const LeaseReport& lease) {
  builder.setJob(lease.job_.value());
  builder.setAttempt(lease.attempt_.value());
  builder.setTask(lease.task_.value());
  builder.setAccelerators(lease.accelerators_.value());
  builder.setState(static_cast<std::uint8_t>(lease.state_));
  builder.setPart(AsData(lease.part_));
}

void Get(wire::LeaseReport::Reader reader, LeaseReport& lease) {
  lease.job_ = JobId(reader.getJob());
  lease.attempt_ = AttemptId(reader.getAttempt());
  lease.task_ = TaskIndex(reader.getTask());
  lease.accelerators_ = Accelerators(reader.getAccelerators());
  lease.state_ = CheckedEnum(reader.getState(), LeaseState::kNeverRan);
  lease.part_ = ToString(reader.getPart());
}

void Put(wire::WorkerReport::Builder builder, const WorkerReport& report) {
  builder.setWorker(report.worker_.value());
  builder.setIncarnation(report.incarnation_.value());
  builder.setSequence(report.sequence_);
  builder.setAddress(report.address_);
  builder.setRegion(report.place_.region_.value());
  builder.setFailureDomain(report.place_.failure_domain_.value());
  builder.setRack(report.place_.rack_.value());
  builder.setAccelerators(report.accelerators_.value());
  builder.setSlots(report.slots_);
  builder.setConnections(report.connections_);
  builder.setCores(report.cores_);
  builder.setMemoryBytes(report.memory_bytes_);
  builder.setUsedMemoryBytes(report.used_memory_bytes_);
  builder.setState(static_cast<std::uint8_t>(report.state_));
  PutList(builder.initLeases(report.leases_.size()), report.leases_);
}

void Get(wire::WorkerReport::Reader reader, WorkerReport& report) {
  report.worker_ = WorkerId(ToString(reader.getWorker()));
  report.incarnation_ = Incarnation(reader.getIncarnation());
  report.sequence_ = reader.getSequence();
  report.address_ = ToString(reader.getAddress());
  report.place_.region_ = Region(ToString(reader.getRegion()));
  report.place_.failure_domain_ =
      FailureDomain(ToString(reader.getFailureDomain()));
  report.place_.rack_ = Rack(ToString(reader.getRack()));
  report.accelerators_ = Accelerators(reader.getAccelerators());
  report.slots_ = reader.getSlots();
  report.connections_ = reader.getConnections();
  report.cores_ = reader.getCores();
  report.memory_bytes_ = reader.getMemoryBytes();
  report.used_memory_bytes_ = reader.getUsedMemoryBytes();
  report.state_ = CheckedEnum(reader.getState(), WorkerState::kLeaving);
  GetList(reader.getLeases(), report.leases_);
}

void Put(wire::WorkerCommand::Builder builder, const WorkerCommand& command) {
  builder.setKind(static_cast<std::uint8_t>(command.kind_));
  builder.setWorker(command.worker_.value());
  builder.setIncarnation(command.incarnation_.value());
  builder.setAddress(command.address_);
  builder.setJob(command.job_.value());
  builder.setAttempt(command.attempt_.value());
  builder.setTask(command.task_.value());
  builder.setTerm(command.term_.value());
  builder.setAccelerators(command.accelerators_.value());
  builder.setLeaseMs(command.lease_.ms());
  builder.setRequestId(command.request_id_.value());
  builder.setCustomer(command.customer_.value());
  builder.setRunTimeMs(command.run_time_.ms());
}

void Get(wire::WorkerCommand::Reader reader, WorkerCommand& command) {
  command.kind_ = CheckedEnum(reader.getKind(), WorkerCommandKind::kRelease);
  command.worker_ = WorkerId(ToString(reader.getWorker()));
  command.incarnation_ = Incarnation(reader.getIncarnation());
  command.address_ = ToString(reader.getAddress());
  command.job_ = JobId(reader.getJob());
  command.attempt_ = AttemptId(reader.getAttempt());
  command.task_ = TaskIndex(reader.getTask());
  command.term_ = Term(reader.getTerm());
  command.accelerators_ = Accelerators(reader.getAccelerators());
  command.lease_ = Duration(reader.getLeaseMs());
  command.request_id_ = RequestId(ToString(reader.getRequestId()));
  command.customer_ = CustomerId(ToString(reader.getCustomer()));
  command.run_time_ = Duration(reader.getRunTimeMs());
}

// --- Exchanges.

void Put(wire::EntrySync::Builder builder, const EntrySync& sync) {
  builder.setEntry(sync.entry_.value());
  builder.setIncarnation(sync.incarnation_.value());
  builder.setTableVersion(sync.table_version_.value());
  builder.setExclusionsVersion(sync.exclusions_version_);
  PutList(builder.initReports(sync.reports_.size()), sync.reports_);
  PutIds(builder.initAlive(sync.alive_.size()), sync.alive_);
  PutIds(builder.initWatched(sync.watched_.size()), sync.watched_);
  builder.setSequence(sync.sequence_);
  PutIds(builder.initSilent(sync.silent_.size()), sync.silent_);
}

void Get(wire::EntrySync::Reader reader, EntrySync& sync) {
  sync.entry_ = NodeName(ToString(reader.getEntry()));
  sync.incarnation_ = Incarnation(reader.getIncarnation());
  sync.table_version_ = TableVersion(reader.getTableVersion());
  sync.exclusions_version_ = reader.getExclusionsVersion();
  GetList(reader.getReports(), sync.reports_);
  GetIds(reader.getAlive(), sync.alive_);
  GetIds(reader.getWatched(), sync.watched_);
  sync.sequence_ = reader.getSequence();
  GetIds(reader.getSilent(), sync.silent_);
}

void Put(wire::ControlSync::Builder builder, const ControlSync& sync) {
  builder.setIsLeader(sync.is_leader_);
  builder.setLeaderAddress(sync.leader_address_);
  builder.setTerm(sync.term_.value());
  builder.setLeaseMs(sync.lease_.ms());
  builder.setTableVersion(sync.table_version_.value());
  if (sync.table_) Put(builder.getTable().initNewer(), *sync.table_);
  builder.setExclusionsVersion(sync.exclusions_version_);
  if (sync.exclusions_) {
    PutIds(builder.getExclusions().initNewer(sync.exclusions_->size()),
           *sync.exclusions_);
  }
  builder.setWorkerLeaseMs(sync.worker_lease_.ms());
  PutIds(builder.initAcknowledged(sync.acknowledged_.size()),
         sync.acknowledged_);
  builder.setSendAllReports(sync.send_all_reports_);
  PutList(builder.initCommands(sync.commands_.size()), sync.commands_);
  PutList(builder.initJobs(sync.jobs_.size()), sync.jobs_);
}

void Get(wire::ControlSync::Reader reader, ControlSync& sync) {
  sync.is_leader_ = reader.getIsLeader();
  sync.leader_address_ = ToString(reader.getLeaderAddress());
  sync.term_ = Term(reader.getTerm());
  sync.lease_ = Duration(reader.getLeaseMs());
  sync.table_version_ = TableVersion(reader.getTableVersion());
  if (reader.getTable().isNewer()) {
    Get(reader.getTable().getNewer(), sync.table_.emplace());
  }
  sync.exclusions_version_ = reader.getExclusionsVersion();
  if (reader.getExclusions().isNewer()) {
    GetIds(reader.getExclusions().getNewer(), sync.exclusions_.emplace());
  }
  sync.worker_lease_ = Duration(reader.getWorkerLeaseMs());
  GetIds(reader.getAcknowledged(), sync.acknowledged_);
  sync.send_all_reports_ = reader.getSendAllReports();
  GetList(reader.getCommands(), sync.commands_);
  GetList(reader.getJobs(), sync.jobs_);
}

void Put(wire::CallRequest::Builder builder, const CallRequest& request) {
  builder.setKind(static_cast<std::uint8_t>(request.kind_));
  builder.setOnBehalfOf(request.on_behalf_of_.value());
  builder.setCaller(request.caller_);
  Put(builder.initChange(), request.change_);
  builder.setDryRun(request.dry_run_);
  Put(builder.initSpec(), request.spec_);
  builder.setJob(request.job_.value());
  builder.setVoter(request.voter_.value());
  builder.setAddress(request.address_);
  builder.setTraceParent(request.trace_parent_);
  builder.setDomain(request.domain_.value());
}

void Get(wire::CallRequest::Reader reader, CallRequest& request) {
  request.kind_ = CheckedEnum(reader.getKind(), CallKind::kEvacuations);
  request.on_behalf_of_ = CustomerId(ToString(reader.getOnBehalfOf()));
  request.caller_ = ToString(reader.getCaller());
  Get(reader.getChange(), request.change_);
  request.dry_run_ = reader.getDryRun();
  Get(reader.getSpec(), request.spec_);
  request.job_ = JobId(reader.getJob());
  request.voter_ = NodeName(ToString(reader.getVoter()));
  request.address_ = ToString(reader.getAddress());
  request.trace_parent_ = ToString(reader.getTraceParent());
  request.domain_ = FailureDomain(ToString(reader.getDomain()));
}

void Put(wire::CallReply::Builder builder, const CallReply& reply) {
  builder.setIsLeader(reply.is_leader_);
  builder.setLeaderAddress(reply.leader_address_);
  builder.setStatus(reply.status_);
  builder.setBody(reply.body_);
  builder.setRetryAfterMs(reply.retry_after_.ms());
  if (reply.job_) Put(builder.getJob().initSome(), *reply.job_);
}

void Get(wire::CallReply::Reader reader, CallReply& reply) {
  reply.is_leader_ = reader.getIsLeader();
  reply.leader_address_ = ToString(reader.getLeaderAddress());
  reply.status_ = reader.getStatus();
  reply.body_ = ToString(reader.getBody());
  reply.retry_after_ = Duration(reader.getRetryAfterMs());
  if (reader.getJob().isSome()) {
    Get(reader.getJob().getSome(), reply.job_.emplace());
  }
}

}  // namespace flamingohollow::codec
