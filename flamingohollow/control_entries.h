// The leader's view of the entries: their leases on the table, the oldest table
// version that each may still enforce, and the jobs whose worker leases they
// must not renew.
//
// Pure: no clock; `now` is the leader's monotonic time.
//
// Lease bound. The leader periodically confirms its leadership with a majority.
// Once the majority has answered, the leader knows that it still led at some
// moment at or after `confirmed_at_`, when it sent the request. An entry counts
// its lease from when it *sent* the sync, which is no later than when the
// leader received it, at `received`. The leader grants
//     table_lease_ - (received - confirmed_at_), at most table_lease_,
// so the lease ends no later than table_lease_ after a moment at which this
// node led. Any later leader is elected after that moment. It
// assumes that every unknown entry holds a lease until table_lease_ plus
// clock_margin_ have passed. The bound holds even if a frozen or partitioned
// former leader believes that it still leads. It requires only that clocks run
// at nearly the same rate; the margin covers the difference.
//
// In force. A version is in force when no process can enforce an older one:
// every holder of a live lease has confirmed the version, or first got a lease
// together with it, and the leases of all unknown holders have expired. A
// holder is one incarnation of one entry, so the previous incarnation of a
// restarted or replaced entry counts until its lease expires.

#ifndef FLAMINGOHOLLOW_CONTROL_ENTRIES_H_
#define FLAMINGOHOLLOW_CONTROL_ENTRIES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

struct EntriesOptions {
  // How long an entry may enforce its table without hearing from control.
  Duration table_lease_ = Duration(3000);
  // Covers clocks that run at different rates.
  Duration clock_margin_ = Duration(500);
  // Holders beyond this many get no lease.
  std::size_t max_holders_ = 256;
};

// One incarnation of one entry.
struct HolderId {
  NodeName entry_;
  Incarnation incarnation_;

  friend bool operator==(const HolderId&, const HolderId&) = default;
  friend auto operator<=>(const HolderId&, const HolderId&) = default;
};

struct Holder {
  // Invariant: until lease_until_ the entry may enforce a table of version
  // oldest_version_ or newer; afterwards none until it gets another lease.
  TableVersion oldest_version_;
  Time lease_until_;
};

struct Entries {
  EntriesOptions options_;
  // All leases granted by former leaders have expired by then.
  Time former_leases_until_;
  // When the newest successful confirmation of leadership was requested.
  std::optional<Time> confirmed_at_;
  std::map<HolderId, Holder> holders_;

  // Jobs whose leases the entries must not renew. The version grows with each
  // change and, since the term is in its upper half, with each leader.
  std::uint64_t exclusions_version_ = 0;
  std::set<JobId> exclusions_;
};

// For a leader elected at or before `now`.
Entries MakeEntries(const EntriesOptions& options, Term term, Time now);

// Records that this node led at some moment at or after `requested_at`.
void ConfirmLeading(Entries& entries, Time requested_at);

// Records that the entry enforces `version` or newer; 0 means no table.
void ConfirmVersion(Entries& entries, const HolderId& id, TableVersion version);

// Grants a lease, together with table `version`, to an entry whose sync was
// received at `received`. Returns its duration, 0 if none can be granted.
Duration GrantLease(Entries& entries, const HolderId& id, TableVersion version,
                    Time received, Time now);

// True if no entry can enforce a version older than `version`.
bool InForce(const Entries& entries, TableVersion version, Time now);

// Removes holders whose leases have expired.
void DropExpired(Entries& entries, Time now);

void SetExcluded(Entries& entries, JobId job, bool excluded);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CONTROL_ENTRIES_H_
