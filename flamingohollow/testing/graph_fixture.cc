// Builders for tests of graph jobs.

#include "flamingohollow/testing/graph_fixture.h"

#include <fmt/format.h>

#include <utility>

namespace flamingohollow::testing {

PoolWorkerReport MakeReport(const std::string& id, const std::string& rack) {
  PoolWorkerReport report;
  report.id_ = WorkerId(id);
  report.incarnation_ = WorkerIncarnation(1);
  report.sequence_ = 1;
  report.pool_ = PoolName("pool");
  report.address_ = "10.0.0.1:" + id;
  report.rack_ = Rack(rack);
  report.labels_ = {"a", rack};
  report.capacity_ = kWorkerSize;
  return report;
}

FleetWorker MakeFleetWorker(const std::string& id, const std::string& rack,
                            Time now) {
  FleetWorker worker;
  worker.report_ = MakeReport(id, rack);
  worker.reported_ = true;
  worker.last_heard_at_ = now;
  worker.clock_at_ = now;
  worker.answered_poll_ = true;
  worker.lease_end_ = now + Duration(10000);
  return worker;
}

Fleet MakeFleet(int racks, int per_rack, Time now) {
  Fleet fleet;
  for (int i = 0; i < racks * per_rack; ++i) {
    const std::string id = fmt::format("w{}", i);
    const std::string rack = fmt::format("r{}", i / per_rack);
    fleet.emplace(WorkerId(id), MakeFleetWorker(id, rack, now));
  }
  return fleet;
}

StepSpec MakeStep(std::uint32_t tasks, std::int64_t accelerators,
                  Duration estimate) {
  StepSpec step;
  step.tasks_ = tasks;
  step.need_ = {1000, 1000, accelerators};
  step.estimate_ = estimate;
  return step;
}

StepSpec MakeGang(std::uint32_t tasks, std::int64_t accelerators,
                  Duration estimate, bool same_rack) {
  StepSpec step = MakeStep(tasks, accelerators, estimate);
  step.gang_ = true;
  step.same_rack_ = same_rack;
  return step;
}

GraphJobKey MakeKey(std::uint64_t number) {
  return GraphJobKey(fmt::format("{:016x}", number));
}

SubmitRecord MakeSubmit(std::uint64_t number, std::vector<StepSpec> steps,
                        const JobOptions& options) {
  SubmitRecord record;
  record.key_ = MakeKey(number);
  record.queue_ = QueueName("queue");
  record.customer_ = CustomerId(options.customer_);
  record.terms_ = {PoolName("pool"), options.priority_, options.max_attempts_,
                   options.slack_, Duration(1000)};
  record.spec_.payload_ = "payload";
  record.spec_.steps_ = std::move(steps);
  record.accepted_ = options.accepted_;
  return record;
}

void Submit(GraphState& state, std::uint64_t number,
            std::vector<StepSpec> steps, const JobOptions& options) {
  ApplyRecord(state, MakeSubmit(number, std::move(steps), options));
}

void RunTask(GraphState& state, Fleet& fleet, std::uint64_t job,
             std::uint32_t index, const std::string& worker, Time began) {
  const TaskRef task{MakeKey(job), Occurrence(), StepIndex(), TaskIndex(index)};
  const AttemptRef attempt{task, AttemptId(1)};
  ApplyRecord(state,
              OpenRecord{{{attempt, WorkerId(worker), WorkerIncarnation(1)}}});
  Run run;
  run.phase_ = RunPhase::kRunning;
  const GraphJob& record = *FindJob(state, MakeKey(job));
  run.need_ = record.spec_.steps_[0].need_;
  run.urgent_ = record.terms_.priority_ == 0;
  run.began_ = began;
  AddRun(fleet.at(WorkerId(worker)), attempt, std::move(run));
}

void SetGuarantee(GraphState& state, const std::string& customer,
                  std::int64_t accelerators) {
  state.catalog_.customers_.push_back({CustomerId(customer), {}, accelerators});
}

}  // namespace flamingohollow::testing
