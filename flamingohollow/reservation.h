// Reservations of large waiting gangs.
//
// A borrower that finds no room in its adjacency reserves the domain where
// enough gangs should end first. Others may fill that domain meanwhile only
// with gangs that can be taken back and are expected to end before; if the
// expectation was wrong, the waiting gang takes them back as soon as that
// makes it fit. So a stream of small jobs can't keep a large gang waiting.
//
// Expected ends use the declared run times, corrected by what was seen for
// the customer. Cost: O(G log G) for the G gangs of a domain, for a new
// reservation only.

#ifndef FLAMINGOHOLLOW_RESERVATION_H_
#define FLAMINGOHOLLOW_RESERVATION_H_

#include "flamingohollow/placement_state.h"

namespace flamingohollow {

inline constexpr std::size_t kMaxReservations = 1;

// Takes the seen run time of a finished gang into the customer's correction.
void LearnRunTime(PlacementState& state, const Gang& gang, Time now);
// The declared run time, corrected; an hour when none was declared.
Duration ExpectedRunTime(const PlacementState& state, const PlacementJob& job);

// The job's reservation, or null.
const Reservation* ReservationOf(const PlacementState& state, JobId job);
// Reserves for a job that found no room, unless enough others do or the job
// fits in no domain even if all leave.
void Reserve(PlacementState& state, const PlacementJob& job, Time now);
// Drops the reservations of jobs that no longer wait.
void DropStaleReservations(PlacementState& state);

// Free room without any reserved domain.
NodeSums UnreservedRoom(const PlacementState& state);
// Free room as this borrower may use it: without the domains that are reserved
// for others and that it would not have left in time.
NodeSums RoomFor(const PlacementState& state, const PlacementJob& job,
                 Time now);
// The room without the workers where the job failed lately.
NodeSums AvoidFailures(const PlacementState& state, const PlacementJob& job,
                       NodeSums room);
// The waiting job whose reserved domain one of the takes lies in.
std::optional<JobId> FilledReservation(const PlacementState& state,
                                       const std::vector<LeafTake>& takes);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_RESERVATION_H_
