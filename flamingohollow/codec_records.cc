// The table and the durable records, struct by struct.

#include "flamingohollow/codec_parts.h"

namespace flamingohollow::codec {

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
  builder.setOnOrder(requeued.on_order_);
}

void Get(wire::JobRequeued::Reader reader, JobRequeued& requeued) {
  requeued.job_ = JobId(reader.getJob());
  requeued.attempt_ = AttemptId(reader.getAttempt());
  requeued.reason_ = ToString(reader.getReason());
  requeued.at_ = Time(reader.getAtMs());
  requeued.on_order_ = reader.getOnOrder();
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

// --- Evacuations.

void Put(wire::EvacuationOrder::Builder builder, const EvacuationOrder& order) {
  builder.setDomain(order.domain_.value());
  builder.setEvacuate(order.evacuate_);
  builder.setNumber(order.number_);
  builder.setAtMs(order.ordered_.ms());
}

void Get(wire::EvacuationOrder::Reader reader, EvacuationOrder& order) {
  order.domain_ = FailureDomain(ToString(reader.getDomain()));
  order.evacuate_ = reader.getEvacuate();
  order.number_ = reader.getNumber();
  order.ordered_ = Time(reader.getAtMs());
}

namespace {

void PutEvacuations(wire::JobRecords::Builder builder,
                    const Evacuations& evacuations) {
  auto list = builder.initEvacuations(evacuations.size());
  unsigned position = 0;
  for (const auto& [domain, evacuation] : evacuations) {
    auto item = list[position++];
    item.setDomain(domain.value());
    item.setInForce(evacuation.in_force_);
    item.setNumber(evacuation.number_);
    item.setOrderedMs(evacuation.ordered_.ms());
  }
}

void GetEvacuations(wire::JobRecords::Reader reader, Evacuations& evacuations) {
  for (auto item : reader.getEvacuations()) {
    evacuations[FailureDomain(ToString(item.getDomain()))] = {
        item.getInForce(), item.getNumber(), Time(item.getOrderedMs())};
  }
}

}  // namespace

// --- Commands and job records.

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
    void operator()(const EvacuationOrder& order) {
      Put(builder_.initEvacuation(), order);
    }
  };
  std::visit(Visitor{builder}, command);
}

namespace {

// Reads one alternative of a Command.
template <typename Record, typename Reader>
Command GetRecord(Reader reader) {
  Record record;
  Get(reader, record);
  return record;
}

}  // namespace

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
    case wire::Command::EVACUATION:
      command = GetRecord<EvacuationOrder>(reader.getEvacuation());
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
  builder.setMayRunAttempts(record.may_run_attempts_);
  builder.setAttemptsStoppedOnOrder(record.attempts_stopped_on_order_);
  if (record.end_) Put(builder.getEnd().initSome(), *record.end_);
}

void Get(wire::JobRecord::Reader reader, JobRecord& record) {
  record.id_ = JobId(reader.getId());
  Get(reader.getSpec(), record.spec_);
  record.accepted_at_ = Time(reader.getAcceptedAtMs());
  record.may_run_attempt_ = AttemptId(reader.getMayRunAttempt());
  GetList(reader.getSlices(), record.slices_);
  record.may_be_running_ = reader.getMayBeRunning();
  record.may_run_attempts_ = reader.getMayRunAttempts();
  record.attempts_stopped_on_order_ = reader.getAttemptsStoppedOnOrder();
  // Earlier versions did not count the attempts.
  const bool ran = record.may_run_attempt_ != AttemptId(0);
  if (ran && record.may_run_attempts_ == 0) record.may_run_attempts_ = 1;
  if (reader.getEnd().isSome()) {
    Get(reader.getEnd().getSome(), record.end_.emplace());
  }
}

void Put(wire::JobRecords::Builder builder, const JobRecords& records) {
  auto jobs = builder.initJobs(records.jobs_.size());
  unsigned position = 0;
  for (const auto& [id, record] : records.jobs_) Put(jobs[position++], record);
  PutEvacuations(builder, records.evacuations_);
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
  GetEvacuations(reader, records.evacuations_);
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

}  // namespace flamingohollow::codec
