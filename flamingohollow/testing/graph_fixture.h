// Builders for tests of graph jobs.

#ifndef FLAMINGOHOLLOW_TESTING_GRAPH_FIXTURE_H_
#define FLAMINGOHOLLOW_TESTING_GRAPH_FIXTURE_H_

#include <string>
#include <vector>

#include "flamingohollow/fleet.h"
#include "flamingohollow/graph_records.h"
#include "flamingohollow/graph_state.h"

namespace flamingohollow::testing {

inline constexpr Resources kWorkerSize{
    .millicores_ = 32000, .memory_mb_ = 128000, .accelerators_ = 8};

PoolWorkerReport MakeReport(const std::string& id, const std::string& rack);
// Returns a worker that has reported, has answered a poll, and accepts tasks at
// `now`.
FleetWorker MakeFleetWorker(const std::string& id, const std::string& rack,
                            Time now);
// Returns `racks` racks of `per_rack` workers, named "w0", "w1", ...
Fleet MakeFleet(int racks, int per_rack, Time now);

StepSpec MakeStep(std::uint32_t tasks, std::int64_t accelerators,
                  Duration estimate);
StepSpec MakeGang(std::uint32_t tasks, std::int64_t accelerators,
                  Duration estimate, bool same_rack);

struct JobOptions {
  std::uint32_t priority_ = 1;
  std::uint32_t max_attempts_ = 3;
  std::string customer_ = "acme";
  double slack_ = 3;
  Time accepted_ = Time(1);
};

// Returns `number` as 16 hexadecimal digits.
GraphJobKey MakeKey(std::uint64_t number);
SubmitRecord MakeSubmit(std::uint64_t number, std::vector<StepSpec> steps,
                        const JobOptions& options);
void Submit(GraphState& state, std::uint64_t number,
            std::vector<StepSpec> steps, const JobOptions& options);
// Opens the first attempt of a task of the job's first step, in the state and
// on the worker, as running since `began`.
void RunTask(GraphState& state, Fleet& fleet, std::uint64_t job,
             std::uint32_t index, const std::string& worker, Time began);
void SetGuarantee(GraphState& state, const std::string& customer,
                  std::int64_t accelerators);

}  // namespace flamingohollow::testing

#endif  // FLAMINGOHOLLOW_TESTING_GRAPH_FIXTURE_H_
