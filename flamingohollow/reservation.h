// Reservations of large waiting gangs.
//
// A borrower that has waited long and fits in no domain of its adjacency
// reserves the domain where enough gangs are expected to end first. Until then
// other borrowers that are not urgent may backfill that domain only if they are
// expected to end by the reserved start. If that expectation was wrong, the
// waiting gang reclaims the backfills as soon as that makes it fit. So a stream
// of small jobs can't starve a large gang.
//
// Expected ends are declared run times, scaled by the customer's ratio of
// actual to declared run time. Cost: O(G log G) for the G gangs of a domain,
// only when a reservation is made.

#ifndef FLAMINGOHOLLOW_RESERVATION_H_
#define FLAMINGOHOLLOW_RESERVATION_H_

#include "flamingohollow/placement_state.h"

namespace flamingohollow {

inline constexpr std::size_t kMaxReservations = 1;

// Updates the customer's ratio with the run time of a gang that ends now.
void RecordRunTime(PlacementState& state, const Gang& gang, Time now);
// The declared run time times the customer's ratio; one hour if none is
// declared.
Duration ExpectedRunTime(const PlacementState& state, const PlacementJob& job);

// The job's reservation, or null.
const Reservation* ReservationOf(const PlacementState& state, JobId job);
// Reserves a domain for a job that could not be placed. No effect when
// kMaxReservations are held, when the job has not waited long enough, or when
// it fits in no domain even after all gangs there have ended.
void Reserve(PlacementState& state, const PlacementJob& job, Time now);
// Drops the reservations of jobs that no longer wait.
void DropStaleReservations(PlacementState& state);

// Free accelerators outside all reserved domains.
NodeSums FreeOutsideReservations(const PlacementState& state);
// Free accelerators that this borrower may use: without the domains that are
// reserved for other jobs, unless it is expected to end before their start.
NodeSums FreeForBorrower(const PlacementState& state, const PlacementJob& job,
                         Time now);
// Returns `free` without the workers where the job failed recently.
NodeSums ExcludeFailedWorkers(const PlacementState& state,
                              const PlacementJob& job, NodeSums free);
// The job whose reserved domain contains one of the takes, if any.
std::optional<JobId> ReservationOwner(const PlacementState& state,
                                      const std::vector<LeafTake>& takes);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_RESERVATION_H_
