// Turns the plain structs into packed Cap'n Proto messages and back.
//
// Put(builder, value) fills one schema struct and Get(reader, value) reads
// one; lists go through PutList and GetList. Get throws BadValue inside this
// file for a number that stands for nothing; Decode turns it, and whatever
// Cap'n Proto throws, into a CodecError at the file's edge.

#include "flamingohollow/codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <utility>

#include "schema/wire.capnp.h"

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

struct BadValue {};

template <typename Enum>
Enum CheckedEnum(std::uint8_t value, Enum last) {
  if (value > static_cast<std::uint8_t>(last)) throw BadValue();
  return static_cast<Enum>(value);
}

capnp::Data::Reader AsData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string ToString(capnp::Data::Reader data) {
  const auto chars = data.asChars();
  return {chars.begin(), chars.size()};
}

// Element types of lists.
void Put(wire::Cell::Builder builder, const Cell& value);
void Get(wire::Cell::Reader reader, Cell& value);
void Put(wire::Row::Builder builder, const Row& value);
void Get(wire::Row::Reader reader, Row& value);
void Put(wire::ChangeRecord::Builder builder, const ChangeRecord& value);
void Get(wire::ChangeRecord::Reader reader, ChangeRecord& value);
void Put(wire::Slice::Builder builder, const Slice& value);
void Get(wire::Slice::Reader reader, Slice& value);
void Put(wire::LeaseReport::Builder builder, const LeaseReport& value);
void Get(wire::LeaseReport::Reader reader, LeaseReport& value);
void Put(wire::WorkerReport::Builder builder, const WorkerReport& value);
void Get(wire::WorkerReport::Reader reader, WorkerReport& value);
void Put(wire::WorkerCommand::Builder builder, const WorkerCommand& value);
void Get(wire::WorkerCommand::Reader reader, WorkerCommand& value);
void Put(wire::JobView::Builder builder, const JobView& value);
void Get(wire::JobView::Reader reader, JobView& value);

// Lists of structs: `builder` is a list builder of the right length.
template <typename ListBuilder, typename Container>
void PutList(ListBuilder builder, const Container& values) {
  unsigned position = 0;
  for (const auto& value : values) Put(builder[position++], value);
}

template <typename ListReader, typename Container>
void GetList(ListReader list, Container& values) {
  for (auto reader : list) {
    typename Container::value_type value;
    Get(reader, value);
    values.push_back(std::move(value));
  }
}

// Lists of strong ids over text or numbers.
template <typename ListBuilder, typename Id>
void PutIds(ListBuilder builder, const std::vector<Id>& ids) {
  unsigned position = 0;
  for (const Id& id : ids) {
    if constexpr (std::is_same_v<typename Id::ValueType, std::string>) {
      builder.set(position++, id.value().c_str());
    } else {
      builder.set(position++, id.value());
    }
  }
}

template <typename ListReader, typename Id>
void GetIds(ListReader list, std::vector<Id>& ids) {
  for (auto value : list) {
    if constexpr (std::is_same_v<typename Id::ValueType, std::string>) {
      ids.push_back(Id(ToString(value)));
    } else {
      ids.push_back(Id(value));
    }
  }
}

void PutParts(capnp::List<capnp::Data>::Builder builder,
              const std::vector<std::string>& parts) {
  unsigned position = 0;
  for (const std::string& part : parts) builder.set(position++, AsData(part));
}

void GetParts(capnp::List<capnp::Data>::Reader list,
              std::vector<std::string>& parts) {
  for (auto part : list) parts.push_back(ToString(part));
}

// --- The table.

void Put(wire::Cell::Builder builder, const Cell& cell) {
  builder.setCount(cell.count_);
  builder.setAccelerators(cell.accelerators_.value());
  builder.setAdjacency(static_cast<std::uint8_t>(cell.adjacency_));
}

void Get(wire::Cell::Reader reader, Cell& cell) {
  cell.count_ = reader.getCount();
  cell.accelerators_ = Accelerators(reader.getAccelerators());
  cell.adjacency_ = CheckedEnum(reader.getAdjacency(), Adjacency::kRegion);
}

void Put(wire::Row::Builder builder, const Row& row) {
  builder.setCustomer(row.customer_.value());
  builder.setWeight(row.weight_);
  PutList(builder.initGuaranteed(row.guaranteed_.size()), row.guaranteed_);
  builder.setMaxBorrowed(row.max_borrowed_);
  builder.setMaxQueued(row.max_queued_);
  builder.setMaxRate(row.max_rate_);
  builder.setVersion(row.version_.value());
}

void Get(wire::Row::Reader reader, Row& row) {
  row.customer_ = CustomerId(ToString(reader.getCustomer()));
  row.weight_ = reader.getWeight();
  GetList(reader.getGuaranteed(), row.guaranteed_);
  row.max_borrowed_ = reader.getMaxBorrowed();
  row.max_queued_ = reader.getMaxQueued();
  row.max_rate_ = reader.getMaxRate();
  row.version_ = TableVersion(reader.getVersion());
}

void Put(wire::TableChange::Builder builder, const TableChange& change) {
  builder.setRequestId(change.request_id_.value());
  builder.setBaseVersion(change.base_version_.value());
  PutList(builder.initUpserts(change.upserts_.size()), change.upserts_);
  PutIds(builder.initRemovals(change.removals_.size()), change.removals_);
  builder.setOperator(change.operator_);
  builder.setAtMs(change.at_.ms());
}

void Get(wire::TableChange::Reader reader, TableChange& change) {
  change.request_id_ = RequestId(ToString(reader.getRequestId()));
  change.base_version_ = TableVersion(reader.getBaseVersion());
  GetList(reader.getUpserts(), change.upserts_);
  GetIds(reader.getRemovals(), change.removals_);
  change.operator_ = ToString(reader.getOperator());
  change.at_ = Time(reader.getAtMs());
}

void Put(wire::TableResult::Builder builder, const TableResult& result) {
  builder.setOutcome(static_cast<std::uint8_t>(result.outcome_));
  builder.setVersion(result.version_.value());
  builder.setReason(result.reason_);
}

void Get(wire::TableResult::Reader reader, TableResult& result) {
  result.outcome_ =
      CheckedEnum(reader.getOutcome(), TableOutcome::kRequestIdReused);
  result.version_ = TableVersion(reader.getVersion());
  result.reason_ = ToString(reader.getReason());
}

void Put(wire::ChangeRecord::Builder builder, const ChangeRecord& record) {
  builder.setRequestId(record.request_id_.value());
  builder.setBodyHash(record.body_hash_);
  builder.setOperator(record.operator_);
  builder.setAtMs(record.at_.ms());
  PutIds(builder.initChanged(record.changed_.size()), record.changed_);
  Put(builder.initResult(), record.result_);
}

void Get(wire::ChangeRecord::Reader reader, ChangeRecord& record) {
  record.request_id_ = RequestId(ToString(reader.getRequestId()));
  record.body_hash_ = reader.getBodyHash();
  record.operator_ = ToString(reader.getOperator());
  record.at_ = Time(reader.getAtMs());
  GetIds(reader.getChanged(), record.changed_);
  Get(reader.getResult(), record.result_);
}

void Put(wire::Table::Builder builder, const Table& table) {
  builder.setVersion(table.version_.value());
  auto rows = builder.initRows(table.rows_.size());
  unsigned position = 0;
  for (const auto& [customer, row] : table.rows_) Put(rows[position++], row);
  PutList(builder.initHistory(table.history_.size()), table.history_);
}

void Get(wire::Table::Reader reader, Table& table) {
  table.version_ = TableVersion(reader.getVersion());
  for (auto row_reader : reader.getRows()) {
    Row row;
    Get(row_reader, row);
    const CustomerId customer = row.customer_;
    table.rows_.emplace(customer, std::move(row));
  }
  GetList(reader.getHistory(), table.history_);
}

// --- Jobs.

void Put(wire::JobSpec::Builder builder, const JobSpec& spec) {
  builder.setCustomer(spec.customer_.value());
  builder.setRequestId(spec.request_id_.value());
  builder.setAccelerators(spec.accelerators_.value());
  builder.setAdjacency(static_cast<std::uint8_t>(spec.adjacency_));
  builder.setUrgent(spec.urgent_);
  builder.setIdempotent(spec.idempotent_);
  builder.setReclaimable(spec.reclaimable_);
  builder.setRunTimeMs(spec.run_time_.ms());
  builder.setDeadlineMs(spec.deadline_.ms());
}

void Get(wire::JobSpec::Reader reader, JobSpec& spec) {
  spec.customer_ = CustomerId(ToString(reader.getCustomer()));
  spec.request_id_ = RequestId(ToString(reader.getRequestId()));
  spec.accelerators_ = Accelerators(reader.getAccelerators());
  spec.adjacency_ = CheckedEnum(reader.getAdjacency(), Adjacency::kRegion);
  spec.urgent_ = reader.getUrgent();
  spec.idempotent_ = reader.getIdempotent();
  spec.reclaimable_ = reader.getReclaimable();
  spec.run_time_ = Duration(reader.getRunTimeMs());
  spec.deadline_ = Duration(reader.getDeadlineMs());
}

void Put(wire::Slice::Builder builder, const Slice& slice) {
  builder.setWorker(slice.worker_.value());
  builder.setIncarnation(slice.incarnation_.value());
  builder.setAccelerators(slice.accelerators_.value());
}

void Get(wire::Slice::Reader reader, Slice& slice) {
  slice.worker_ = WorkerId(ToString(reader.getWorker()));
  slice.incarnation_ = Incarnation(reader.getIncarnation());
  slice.accelerators_ = Accelerators(reader.getAccelerators());
}

void Put(wire::JobAccepted::Builder builder, const JobAccepted& accepted) {
  Put(builder.initSpec(), accepted.spec_);
  builder.setAtMs(accepted.at_.ms());
}

void Get(wire::JobAccepted::Reader reader, JobAccepted& accepted) {
  Get(reader.getSpec(), accepted.spec_);
  accepted.at_ = Time(reader.getAtMs());
}

void Put(wire::JobMayRun::Builder builder, const JobMayRun& may_run) {
  builder.setJob(may_run.job_.value());
  builder.setAttempt(may_run.attempt_.value());
  PutList(builder.initSlices(may_run.slices_.size()), may_run.slices_);
  builder.setAtMs(may_run.at_.ms());
}

void Get(wire::JobMayRun::Reader reader, JobMayRun& may_run) {
  may_run.job_ = JobId(reader.getJob());
  may_run.attempt_ = AttemptId(reader.getAttempt());
  GetList(reader.getSlices(), may_run.slices_);
  may_run.at_ = Time(reader.getAtMs());
}

void Put(wire::JobRequeued::Builder builder, const JobRequeued& requeued) {
  builder.setJob(requeued.job_.value());
  builder.setAttempt(requeued.attempt_.value());
  builder.setReason(requeued.reason_);
  builder.setAtMs(requeued.at_.ms());
}

void Get(wire::JobRequeued::Reader reader, JobRequeued& requeued) {
  requeued.job_ = JobId(reader.getJob());
  requeued.attempt_ = AttemptId(reader.getAttempt());
  requeued.reason_ = ToString(reader.getReason());
  requeued.at_ = Time(reader.getAtMs());
}

void Put(wire::JobEnded::Builder builder, const JobEnded& ended) {
  builder.setJob(ended.job_.value());
  builder.setOutcome(static_cast<std::uint8_t>(ended.outcome_));
  builder.setReason(ended.reason_);
  builder.setRetryAfterMs(ended.retry_after_.ms());
  PutParts(builder.initParts(ended.parts_.size()), ended.parts_);
  builder.setAtMs(ended.at_.ms());
}

void Get(wire::JobEnded::Reader reader, JobEnded& ended) {
  ended.job_ = JobId(reader.getJob());
  ended.outcome_ = CheckedEnum(reader.getOutcome(), Outcome::kUnknown);
  ended.reason_ = ToString(reader.getReason());
  ended.retry_after_ = Duration(reader.getRetryAfterMs());
  GetParts(reader.getParts(), ended.parts_);
  ended.at_ = Time(reader.getAtMs());
}

void Put(wire::Command::Builder builder, const Command& command) {
  struct Visitor {
    wire::Command::Builder builder_;
    void operator()(const TableChange& change) {
      Put(builder_.initTableChange(), change);
    }
    void operator()(const JobAccepted& accepted) {
      Put(builder_.initJobAccepted(), accepted);
    }
    void operator()(const JobMayRun& may_run) {
      Put(builder_.initJobMayRun(), may_run);
    }
    void operator()(const JobRequeued& requeued) {
      Put(builder_.initJobRequeued(), requeued);
    }
    void operator()(const JobEnded& ended) {
      Put(builder_.initJobEnded(), ended);
    }
  };
  std::visit(Visitor{builder}, command);
}

// Reads one alternative of a Command.
template <typename Record, typename Reader>
Command GetRecord(Reader reader) {
  Record record;
  Get(reader, record);
  return record;
}

void Get(wire::Command::Reader reader, Command& command) {
  switch (reader.which()) {
    case wire::Command::TABLE_CHANGE:
      command = GetRecord<TableChange>(reader.getTableChange());
      return;
    case wire::Command::JOB_ACCEPTED:
      command = GetRecord<JobAccepted>(reader.getJobAccepted());
      return;
    case wire::Command::JOB_MAY_RUN:
      command = GetRecord<JobMayRun>(reader.getJobMayRun());
      return;
    case wire::Command::JOB_REQUEUED:
      command = GetRecord<JobRequeued>(reader.getJobRequeued());
      return;
    case wire::Command::JOB_ENDED:
      command = GetRecord<JobEnded>(reader.getJobEnded());
      return;
  }
  throw BadValue();
}

void Put(wire::JobRecord::Builder builder, const JobRecord& record) {
  builder.setId(record.id_.value());
  Put(builder.initSpec(), record.spec_);
  builder.setAcceptedAtMs(record.accepted_at_.ms());
  builder.setMayRunAttempt(record.may_run_attempt_.value());
  PutList(builder.initSlices(record.slices_.size()), record.slices_);
  builder.setMayBeRunning(record.may_be_running_);
  if (record.end_) Put(builder.getEnd().initSome(), *record.end_);
}

void Get(wire::JobRecord::Reader reader, JobRecord& record) {
  record.id_ = JobId(reader.getId());
  Get(reader.getSpec(), record.spec_);
  record.accepted_at_ = Time(reader.getAcceptedAtMs());
  record.may_run_attempt_ = AttemptId(reader.getMayRunAttempt());
  GetList(reader.getSlices(), record.slices_);
  record.may_be_running_ = reader.getMayBeRunning();
  if (reader.getEnd().isSome()) {
    Get(reader.getEnd().getSome(), record.end_.emplace());
  }
}

void Put(wire::JobRecords::Builder builder, const JobRecords& records) {
  auto jobs = builder.initJobs(records.jobs_.size());
  unsigned position = 0;
  for (const auto& [id, record] : records.jobs_) Put(jobs[position++], record);
}

void Get(wire::JobRecords::Reader reader, JobRecords& records) {
  for (auto record_reader : reader.getJobs()) {
    JobRecord record;
    Get(record_reader, record);
    const JobId id = record.id_;
    records.by_request_.emplace(
        std::pair(record.spec_.customer_, record.spec_.request_id_), id);
    records.jobs_.emplace(id, std::move(record));
  }
}

void Put(wire::JobView::Builder builder, const JobView& view) {
  builder.setJob(view.job_.value());
  Put(builder.initSpec(), view.spec_);
  builder.setOutcome(static_cast<std::uint8_t>(view.outcome_));
  builder.setReason(view.reason_);
  builder.setRetryAfterMs(view.retry_after_.ms());
  PutParts(builder.initParts(view.parts_.size()), view.parts_);
  builder.setAttempt(view.attempt_.value());
  PutList(builder.initSlices(view.slices_.size()), view.slices_);
}

void Get(wire::JobView::Reader reader, JobView& view) {
  view.job_ = JobId(reader.getJob());
  Get(reader.getSpec(), view.spec_);
  view.outcome_ = CheckedEnum(reader.getOutcome(), Outcome::kUnknown);
  view.reason_ = ToString(reader.getReason());
  view.retry_after_ = Duration(reader.getRetryAfterMs());
  GetParts(reader.getParts(), view.parts_);
  view.attempt_ = AttemptId(reader.getAttempt());
  GetList(reader.getSlices(), view.slices_);
}

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
}

void Get(wire::CallRequest::Reader reader, CallRequest& request) {
  request.kind_ = CheckedEnum(reader.getKind(), CallKind::kTableHistory);
  request.on_behalf_of_ = CustomerId(ToString(reader.getOnBehalfOf()));
  request.caller_ = ToString(reader.getCaller());
  Get(reader.getChange(), request.change_);
  request.dry_run_ = reader.getDryRun();
  Get(reader.getSpec(), request.spec_);
  request.job_ = JobId(reader.getJob());
  request.voter_ = NodeName(ToString(reader.getVoter()));
  request.address_ = ToString(reader.getAddress());
  request.trace_parent_ = ToString(reader.getTraceParent());
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

// --- Whole messages.

template <typename Root, typename Value>
std::string EncodeAs(const Value& value) {
  capnp::MallocMessageBuilder message;
  Put(message.initRoot<Root>(), value);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto chars = stream.getArray().asChars();
  return {chars.begin(), chars.size()};
}

template <typename Root, typename Value>
leaf::result<Value> DecodeAs(std::string_view bytes) {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxDecodedWords;
  try {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(stream, options);
    Value value;
    Get(message.getRoot<Root>(), value);
    return value;
  } catch (const BadValue&) {
    return leaf::new_error(CodecError::kBadValue);
  } catch (const kj::Exception&) {
    return leaf::new_error(CodecError::kMalformed);
  } catch (const std::exception&) {
    return leaf::new_error(CodecError::kMalformed);
  }
}

}  // namespace

std::string Encode(const Command& command) {
  return EncodeAs<wire::Command>(command);
}
std::string Encode(const Table& table) { return EncodeAs<wire::Table>(table); }
std::string Encode(const JobRecords& records) {
  return EncodeAs<wire::JobRecords>(records);
}
std::string Encode(const EntrySync& sync) {
  return EncodeAs<wire::EntrySync>(sync);
}
std::string Encode(const ControlSync& sync) {
  return EncodeAs<wire::ControlSync>(sync);
}
std::string Encode(const CallRequest& request) {
  return EncodeAs<wire::CallRequest>(request);
}
std::string Encode(const CallReply& reply) {
  return EncodeAs<wire::CallReply>(reply);
}

leaf::result<Command> DecodeCommand(std::string_view bytes) {
  return DecodeAs<wire::Command, Command>(bytes);
}
leaf::result<Table> DecodeTable(std::string_view bytes) {
  return DecodeAs<wire::Table, Table>(bytes);
}
leaf::result<JobRecords> DecodeJobRecords(std::string_view bytes) {
  return DecodeAs<wire::JobRecords, JobRecords>(bytes);
}
leaf::result<EntrySync> DecodeEntrySync(std::string_view bytes) {
  return DecodeAs<wire::EntrySync, EntrySync>(bytes);
}
leaf::result<ControlSync> DecodeControlSync(std::string_view bytes) {
  return DecodeAs<wire::ControlSync, ControlSync>(bytes);
}
leaf::result<CallRequest> DecodeCallRequest(std::string_view bytes) {
  return DecodeAs<wire::CallRequest, CallRequest>(bytes);
}
leaf::result<CallReply> DecodeCallReply(std::string_view bytes) {
  return DecodeAs<wire::CallReply, CallReply>(bytes);
}

}  // namespace flamingohollow
