// Records the needs of urgent jobs, decaying, and decides what to keep free.

#include "flamingohollow/urgent_demand.h"

#include <algorithm>
#include <cmath>

namespace flamingohollow {
namespace {

// After this time a recorded need, or preempted task, counts half.
constexpr double kNeedHalfLifeMs = 6000;
constexpr double kPreemptedHalfLifeMs = 10'000;
// Room is kept from this many preempted tasks of the last seconds on for each
// accelerator that urgent jobs needed.
constexpr double kContendedFrom = 0.5;

double DecayOver(Duration span, double half_life_ms) {
  return std::exp2(-static_cast<double>(span.ms()) / half_life_ms);
}

void AdvanceTo(UrgentDemand& demand, Time now) {
  const Duration span = std::max(now - demand.updated_, Duration(0));
  demand.millicores_ *= DecayOver(span, kNeedHalfLifeMs);
  demand.accelerators_ *= DecayOver(span, kNeedHalfLifeMs);
  demand.preempted_ *= DecayOver(span, kPreemptedHalfLifeMs);
  demand.updated_ = now;
}

bool IsReady(const OccurrenceRecord& occurrence, const StepSpec& spec) {
  return std::all_of(spec.after_.begin(), spec.after_.end(),
                     [&occurrence](std::uint32_t step) {
                       return IsDone(occurrence.steps_[step]);
                     });
}

// Returns the part of `level` that exceeds `need`.
std::int64_t Excess(double level, std::int64_t need) {
  return std::max(static_cast<std::int64_t>(level) - need, std::int64_t{0});
}

}  // namespace

ResourcesByPool UrgentNeed(const GraphState& state) {
  ResourcesByPool sums;
  for (const auto& [key, job] : state.jobs_) {
    if (job.state_ != GraphJobState::kActive) continue;
    if (job.terms_.priority_ != 0) continue;
    Resources& sum = sums[job.terms_.pool_];
    for (const auto& [number, occurrence] : job.occurrences_) {
      for (std::size_t i = 0; i < occurrence.steps_.size(); ++i) {
        const StepRecord& step = occurrence.steps_[i];
        const StepSpec& spec = job.spec_.steps_[i];
        if (!IsReady(occurrence, spec)) continue;
        const auto tasks =
            static_cast<std::int64_t>(step.tasks_.size() - step.done_);
        const Resources need = ReservedResources(spec);
        sum.millicores_ += tasks * need.millicores_;
        sum.accelerators_ += tasks * need.accelerators_;
      }
    }
  }
  return sums;
}

void RecordNeed(UrgentDemands& demands, const ResourcesByPool& need, Time now) {
  for (const auto& [pool, sum] : need) {
    UrgentDemand& demand = demands[pool];
    AdvanceTo(demand, now);
    demand.millicores_ =
        std::max(demand.millicores_, static_cast<double>(sum.millicores_));
    demand.accelerators_ =
        std::max(demand.accelerators_, static_cast<double>(sum.accelerators_));
  }
}

void RecordPreempted(UrgentDemands& demands, const PoolName& pool,
                     std::size_t tasks, Time now) {
  UrgentDemand& demand = demands[pool];
  AdvanceTo(demand, now);
  demand.preempted_ += static_cast<double>(tasks);
}

ResourcesByPool RoomToKeep(const UrgentDemands& demands,
                           const ResourcesByPool& need, Time now) {
  ResourcesByPool room;
  for (const auto& [pool, recorded] : demands) {
    UrgentDemand demand = recorded;
    AdvanceTo(demand, now);
    if (demand.preempted_ < kContendedFrom * demand.accelerators_) continue;
    const auto found = need.find(pool);
    const Resources needed = found == need.end() ? Resources() : found->second;
    room[pool] = {
        .millicores_ = Excess(demand.millicores_, needed.millicores_),
        .accelerators_ = Excess(demand.accelerators_, needed.accelerators_)};
  }
  return room;
}

}  // namespace flamingohollow
