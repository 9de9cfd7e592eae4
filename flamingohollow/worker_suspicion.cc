// The evidence of an end is its probability on a faulty worker, relative to
// that on a sound one.

#include "flamingohollow/worker_suspicion.h"

#include <algorithm>
#include <cmath>

namespace flamingohollow {
namespace {

// Probabilities that a task fails.
constexpr double kFailsOnSound = 0.035;
constexpr double kFailsOnFaulty = 0.5;
// The evidence halves in this time.
constexpr Duration kHalfLife(6000);
// Bounds the time until a worker that recovered is trusted again.
constexpr double kMaxEvidence = 10;
// About half of the evidence of one failure.
constexpr double kSuspectFrom = 1.3;

double EvidenceAt(const WorkerSuspicion& suspicion, Time now) {
  const auto age = static_cast<double>((now - suspicion.updated_).ms());
  return suspicion.evidence_ *
         std::exp2(-age / static_cast<double>(kHalfLife.ms()));
}

}  // namespace

void RecordOutcome(WorkerSuspicion& suspicion, bool failed, Time now) {
  const double change =
      failed ? std::log(kFailsOnFaulty / kFailsOnSound)
             : std::log((1 - kFailsOnFaulty) / (1 - kFailsOnSound));
  suspicion.evidence_ =
      std::clamp(EvidenceAt(suspicion, now) + change, 0.0, kMaxEvidence);
  suspicion.updated_ = now;
}

bool IsSuspect(const WorkerSuspicion& suspicion, Time now) {
  return EvidenceAt(suspicion, now) >= kSuspectFrom;
}

bool IsLikelyFaulty(const WorkerSuspicion& suspicion, Time now) {
  const double prior = std::log(kFaultyPrior / (1 - kFaultyPrior));
  return prior + EvidenceAt(suspicion, now) > 0;
}

}  // namespace flamingohollow
